"""Relays configuration records between peers, so that they arrive sooner or during a log outage.

Relayed records only advance the configuration. Leases and the at-most-once execution of calls
never depend on them.
"""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Sequence

from minttide.folds.checkpoint import Checkpoint
from minttide.folds.config import ConfigFold
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
"""Time for the platform log to deliver a record before it is pulled from a peer."""

SNAPSHOT_PEERS = 3
SNAPSHOT_GRACE_S = 0.2
"""Time to wait for a later snapshot of other peers after the first one has arrived."""


class RecordTail:
    """The latest records of a stream, limited in number and bytes, for peers that lag behind."""

    def __init__(self) -> None:
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def add(self, record: LogRecord) -> None:
        """Add a record; if it doesn't follow the last one, drop all earlier records."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append(record)
        self._bytes += len(record.payload)
        while len(self._records) > MAX_TAIL_RECORDS or self._bytes > MAX_TAIL_BYTES:
            self._bytes -= len(self._records.popleft().payload)

    def records_from(self, start: Offset) -> list[LogRecord] | None:
        """Return the records from `start` on, or None if some of them are no longer kept."""
        if not self._records or start < self._records[0].offset:
            return None
        return [record for record in self._records if record.offset >= start]


class ConfigRelay:
    """Pulls configuration records from peers that are ahead, and serves peers that lag behind."""

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
        """Set the follower that pulled records are applied to and served from."""
        self._follower = follower

    def record_peer_offset(self, address: Address, offset: Offset) -> None:
        """Record the applied configuration offset of the peer at `address`."""
        if self._follower is not None and offset > self._follower.applied:
            self._offsets_ahead = (
                {address: offset} if len(self._offsets_ahead) > 8 else self._offsets_ahead
            )
            self._offsets_ahead[address] = offset
            self._peer_is_ahead.set()

    async def run(self, ready: Ready = lambda: None) -> None:
        """Pull records from peers that are ahead of this host, until cancelled."""
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
        """Return whether to restore a peer's snapshot.

        A host that isn't synced yet starts from the platform log unless that is unavailable.
        """
        return follower.synced or follower.outage_start_s is not None

    async def fetch_snapshot(self) -> Checkpoint | None:
        """Request a snapshot from a few peers and return the one with the highest offset."""
        members = list(self._peers())
        chosen = self._rng.sample(members, min(SNAPSHOT_PEERS, len(members)))
        snapshots: list[Checkpoint] = []
        pending = {asyncio.create_task(self._pull_snapshot(member)) for member in chosen}
        try:
            while pending:
                grace_s = SNAPSHOT_GRACE_S if snapshots else None
                done, pending = await asyncio.wait(
                    pending, timeout=grace_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                snapshots.extend(s for s in (task.result() for task in done) if s is not None)
        finally:
            for task in pending:
                task.cancel()
        return max(snapshots, key=lambda snapshot: snapshot.covers, default=None)

    async def _pull_snapshot(self, member: Member) -> Checkpoint | None:
        try:
            reply = await self._client.pull(member.peer, Pull(Offset(0)), PULL_TIMEOUT_S)
        except PeerError:
            return None
        return reply.snapshot

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return records from an offset on.

        Returns a snapshot instead for offset 0, or if some of the records are no longer kept.
        """
        follower = self._follower
        if follower is None or not follower.synced or follower.applied == NO_OFFSET:
            return PullReply()
        records = self.tail.records_from(pull.start) if pull.start > 0 else None
        if records is not None:
            return PullReply(records)
        if follower.stopped:
            return PullReply()
        return PullReply(snapshot=Checkpoint(follower.applied, follower.fold.snapshot()))
