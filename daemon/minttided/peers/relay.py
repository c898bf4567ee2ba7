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
from minttided.peers.link import PeerError, PeerLink, Pull, Pulled
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

TAIL_RECORDS = 256
TAIL_BYTES = 256 * 1024
PULL_TIMEOUT_S = 3.0
PATIENCE_S = 0.2
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
        while len(self._records) > TAIL_RECORDS or self._bytes > TAIL_BYTES:
            self._bytes -= len(self._records.popleft().payload)

    def since(self, start: Offset) -> list[LogRecord] | None:
        """Return the records from `start` on, or none when older ones would be needed."""
        if not self._records or start < self._records[0].offset:
            return None
        return [record for record in self._records if record.offset >= start]


class Relay:
    """Pulls configuration records from peers that are ahead, and serves those that lag."""

    def __init__(
        self,
        link: PeerLink,
        peers: Callable[[], Sequence[Member]],
        rng: random.Random | None = None,
    ):
        self.tail = RecordTail()
        self.pulled = 0
        self._link = link
        self._peers = peers
        self._rng = rng or random.Random()
        self._follower: Follower[ConfigFold] | None = None
        self._ahead: dict[Address, Offset] = {}
        self._heard = asyncio.Event()

    def attach(self, follower: Follower[ConfigFold]) -> None:
        """Serve and feed this follower."""
        self._follower = follower

    def hear(self, address: Address, offset: Offset) -> None:
        """Take note of the configuration offset of the peer at `address`."""
        if self._follower is not None and offset > self._follower.applied:
            self._ahead = {address: offset} if len(self._ahead) > 8 else self._ahead
            self._ahead[address] = offset
            self._heard.set()

    async def run(self, ready: Ready = lambda: None) -> None:
        """Pull from peers that are ahead of the log's own delivery, until cancelled."""
        ready()
        while True:
            await self._heard.wait()
            self._heard.clear()
            await asyncio.sleep(PATIENCE_S * (0.5 + 0.5 * self._rng.random()))
            ahead, self._ahead = self._ahead, {}
            for address, offset in sorted(ahead.items(), key=lambda item: -item[1]):
                if self._lags(offset):
                    await self._pull(address)

    def _lags(self, offset: Offset) -> bool:
        follower = self._follower
        return follower is not None and not follower.stopped and follower.applied < offset

    async def _pull(self, address: Address) -> None:
        follower = self._follower
        assert follower is not None
        before = follower.applied
        start = Offset(before + 1) if follower.synced else Offset(0)
        try:
            pulled = await self._link.pull(address, Pull(start), PULL_TIMEOUT_S)
        except PeerError as exc:
            log.info("records not pulled", extra={"address": address, "reason": str(exc)})
            return
        if pulled.snapshot is not None and self._may_restore(follower):
            follower.restore_peer_snapshot(pulled.snapshot)
        self.pulled += follower.apply_relayed(pulled.records)
        if follower.applied > before:
            log.info(
                "records relayed",
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
        waiting = {asyncio.create_task(self._ask_snapshot(member)) for member in chosen}
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

    async def _ask_snapshot(self, member: Member) -> Checkpoint | None:
        try:
            pulled = await self._link.pull(member.peer, Pull(Offset(0)), PULL_TIMEOUT_S)
        except PeerError:
            return None
        return pulled.snapshot

    async def on_pull(self, pull: Pull) -> Pulled:
        """Return records from an offset on; the folded state for 0 or where records are gone."""
        follower = self._follower
        if follower is None or not follower.synced or follower.applied == NO_OFFSET:
            return Pulled()
        records = self.tail.since(pull.start) if pull.start > 0 else None
        if records is not None:
            return Pulled(records)
        if follower.stopped:
            return Pulled()
        return Pulled(snapshot=Checkpoint(follower.applied, follower.fold.snapshot()))
