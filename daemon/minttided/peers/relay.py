"""Relays configuration records between peers, so that they arrive sooner or despite an outage.

What a peer relays only moves the configuration forward; nothing that must run at most once and no
lease follows from it.
"""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Sequence

from minttide.agree.checkpoint import Checkpoint
from minttide.agree.config import ConfigFold
from minttide.gossip import Member
from minttide.ids import NO_OFFSET, Address, Offset
from minttide.interfaces import LogRecord
from minttided.log.follower import Follower
from minttided.peers.interfaces import PeerClient, PeerError, Pull, PullReply
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

MAX_TAIL_RECORDS = 256
MAX_TAIL_BYTES = 256 * 1024
PULL_TIMEOUT_S = 3.0
LOG_DELIVERY_GRACE_S = 0.2
"""How long the log itself gets to deliver a record before a peer is asked for it."""

SNAPSHOT_PEERS = 3
SNAPSHOT_GRACE_S = 0.2
"""How long other peers get to answer with a later state once one has answered."""


class RecordTail:
    """The latest records of a stream, bounded by number and size, for peers that lag."""

    def __init__(self) -> None:
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def add(self, record: LogRecord) -> None:
        """Add the next record; a gap drops the older ones."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append(record)
        self._bytes += len(record.payload)
        while len(self._records) > MAX_TAIL_RECORDS or self._bytes > MAX_TAIL_BYTES:
            self._bytes -= len(self._records.popleft().payload)

    def records_from(self, start: Offset) -> list[LogRecord] | None:
        """Return the records from `start` on, or none when older ones would be needed."""
        if not self._records or start < self._records[0].offset:
            return None
        return [record for record in self._records if record.offset >= start]


class ConfigRelay:
    """Pulls configuration records from peers that are ahead, and serves those that lag."""

    def __init__(
        self,
        client: PeerClient,
        peers: Callable[[], Sequence[Member]],
        rng: random.Random | None = None,
    ):
        self.tail = RecordTail()
        self.records_pulled = 0
        self._client = client
        self._peers = peers
        self._rng = rng or random.Random()
        self._follower: Follower[ConfigFold] | None = None
        self._offsets_ahead: dict[Address, Offset] = {}
        self._peer_is_ahead = asyncio.Event()

    def attach(self, follower: Follower[ConfigFold]) -> None:
        """Serve and feed this follower."""
        self._follower = follower

    def note_peer_offset(self, address: Address, offset: Offset) -> None:
        """Take note of the configuration offset of the peer at `address`."""
        if self._follower is not None and offset > self._follower.applied:
            self._offsets_ahead = (
                {address: offset} if len(self._offsets_ahead) > 8 else self._offsets_ahead
            )
            self._offsets_ahead[address] = offset
            self._peer_is_ahead.set()

    async def run(self, ready: Ready = lambda: None) -> None:
        """Pull from peers that are ahead of the log's own delivery, until cancelled."""
        ready()
        while True:
            await self._peer_is_ahead.wait()
            self._peer_is_ahead.clear()
            await asyncio.sleep(LOG_DELIVERY_GRACE_S * (0.5 + 0.5 * self._rng.random()))
            offsets_ahead, self._offsets_ahead = self._offsets_ahead, {}
            for address, offset in sorted(offsets_ahead.items(), key=lambda item: -item[1]):
                if self._is_behind(offset):
                    await self._pull(address)

    def _is_behind(self, offset: Offset) -> bool:
        follower = self._follower
        return follower is not None and not follower.stopped and follower.applied < offset

    async def _pull(self, address: Address) -> None:
        follower = self._follower
        assert follower is not None
        before = follower.applied
        start = Offset(before + 1) if follower.synced else Offset(0)
        try:
            reply = await self._client.pull(address, Pull(start), PULL_TIMEOUT_S)
        except PeerError as exc:
            log.info(
                "failed to pull records from a peer", extra={"address": address, "reason": str(exc)}
            )
            return
        if reply.snapshot is not None and self._may_restore(follower):
            follower.restore_peer_snapshot(reply.snapshot)
        self.records_pulled += follower.apply_relayed(reply.records)
        if follower.applied > before:
            log.info(
                "applied records from a peer",
                extra={"address": address, "before": before, "applied": follower.applied},
            )

    @staticmethod
    def _may_restore(follower: Follower[ConfigFold]) -> bool:
        """A host that can read the log starts from the log, not from what a peer says."""
        return follower.synced or follower.outage_start_s is not None

    async def fetch_snapshot(self) -> Checkpoint | None:
        """Ask a few peers for the folded state and return the one that is furthest on."""
        members = list(self._peers())
        chosen = self._rng.sample(members, min(SNAPSHOT_PEERS, len(members)))
        found: list[Checkpoint] = []
        waiting = {asyncio.create_task(self._pull_snapshot(member)) for member in chosen}
        try:
            while waiting:
                grace_s = SNAPSHOT_GRACE_S if found else None
                done, waiting = await asyncio.wait(
                    waiting, timeout=grace_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                found.extend(s for s in (task.result() for task in done) if s is not None)
        finally:
            for task in waiting:
                task.cancel()
        return max(found, key=lambda snapshot: snapshot.covers, default=None)

    async def _pull_snapshot(self, member: Member) -> Checkpoint | None:
        try:
            reply = await self._client.pull(member.peer, Pull(Offset(0)), PULL_TIMEOUT_S)
        except PeerError:
            return None
        return reply.snapshot

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return records from an offset on; the folded state for 0 or where records are gone."""
        follower = self._follower
        if follower is None or not follower.synced or follower.applied == NO_OFFSET:
            return PullReply()
        records = self.tail.records_from(pull.start) if pull.start > 0 else None
        if records is not None:
            return PullReply(records)
        if follower.stopped:
            return PullReply()
        return PullReply(snapshot=Checkpoint(follower.applied, follower.fold.snapshot()))
