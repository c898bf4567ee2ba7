"""Acquires, renews and releases the lease of a placement domain."""

import asyncio
import logging

from minttide.ids import Offset
from minttide.interfaces import LogUnavailableError, LogUncertainError
from minttide.lease import LeaseTimer
from minttide.records import Body, LeaseAcquire, LeaseRelease, LeaseRenewal
from minttide.rendezvous import rank_hosts
from minttided.drafts.log_stream import encode_record
from minttided.node import Node
from minttided.placement.placement_view import PlacementView

log = logging.getLogger(__name__)

LEASE_DURATION_MS = 6_000
RENEW_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.25

RANK_DELAY_S = 0.5
"""Delay per rank before a host acquires a free lease, in seconds, so that one host acts first."""

APPEND_TIMEOUT_S = 2.0
RELEASE_TIMEOUT_S = 1.0


class LeaseManager:
    """Manages the lease for this host. Use as an async context manager; exit releases the lease."""

    def __init__(self, node: Node, view: PlacementView):
        self._node = node
        self._view = view
        self._timer = LeaseTimer(node.cfg.host, node.incarnation)
        self._renew_at_s = 0.0
        self._free_since_s: float | None = None
        self._release_started = False
        self._task: asyncio.Task[None] | None = None
        view.add_listener(self._observe)

    async def __aenter__(self) -> "LeaseManager":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._release()

    @property
    def term(self) -> Offset | None:
        """Return the term of this host's lease, None unless the log names this host as holder."""
        return self._timer.term()

    def holds(self) -> bool:
        """Return whether this host may act as the lease holder now."""
        stopped = self._view.fold.stopped_at is not None
        return not stopped and not self._release_started and self._timer.holds(self._loop_time_s())

    def _loop_time_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _observe(self) -> None:
        self._timer.observe(self._view.fold.lease, self._loop_time_s())

    async def _run(self) -> None:
        await self._view.follower.wait_synced()
        self._observe()
        while True:
            try:
                async with asyncio.timeout(APPEND_TIMEOUT_S):
                    await self._step()
            except (LogUnavailableError, LogUncertainError, TimeoutError) as exc:
                log.debug("lease record not settled", extra={"error": str(exc)})
            except Exception as exc:
                log.warning("lease check failed", extra={"error": repr(exc)})
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _step(self) -> None:
        fold = self._view.fold
        self._observe()
        if fold.stopped_at is not None or self._node.config.stopped_at is not None:
            return
        if self._timer.is_own(fold.lease):
            await self._renew_or_release()
        elif self._may_acquire_lease():
            log.info("taking the lease", extra={"domain": self._node.cfg.domain})
            await self._append(LeaseAcquire(fold.lease.changed, LEASE_DURATION_MS))

    async def _renew_or_release(self) -> None:
        if self._is_leaving():
            await self._release()
        elif self._loop_time_s() >= self._renew_at_s:
            lease = self._view.fold.lease
            self._renew_at_s = self._loop_time_s() + RENEW_INTERVAL_S
            await self._append(LeaseRenewal(lease.term, lease.changed))

    def _is_leaving(self) -> bool:
        members = self._node.members
        return members is not None and members.leaving

    def _may_acquire_lease(self) -> bool:
        if self._is_leaving() or not self._timer.may_acquire(self._loop_time_s()):
            self._free_since_s = None
            return False
        if self._free_since_s is None:
            self._free_since_s = self._loop_time_s()
        return self._loop_time_s() >= self._free_since_s + self._rank() * RANK_DELAY_S

    def _rank(self) -> int:
        members = self._node.members
        active_hosts = {m.host for m in members.hosts() if not m.leaving} if members else set()
        name = f"placement-{self._node.cfg.domain}"
        return rank_hosts(name, active_hosts | {self._node.cfg.host}).index(self._node.cfg.host)

    async def _append(self, body: Body) -> None:
        self._release_started = False
        self._timer.record_request(self._loop_time_s())
        offset = await self._view.follower.append(encode_record(self._node, body))
        await self._view.follower.wait_applied(offset)

    async def _release(self) -> None:
        lease = self._view.fold.lease
        if not self._timer.is_own(lease):
            return
        # From now on this host doesn't act as holder, whether or not the release reaches the log.
        self._release_started = True
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._view.follower.append(
                    encode_record(self._node, LeaseRelease(lease.term))
                )
        except (LogUnavailableError, LogUncertainError, TimeoutError) as exc:
            log.info("lease not released", extra={"error": str(exc)})
