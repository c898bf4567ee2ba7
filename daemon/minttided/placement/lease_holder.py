"""Takes, renews and gives up the lease of a placement domain."""

import asyncio
import logging

from minttide.ids import Offset
from minttide.interfaces import LogUnavailableError, LogUncertainError
from minttide.lease import LeaseTimer
from minttide.records import Body, LeaseRelease, LeaseRenewal, LeaseTake
from minttide.rendezvous import rank_hosts
from minttided.drafts.streams import seal
from minttided.node import Node
from minttided.placement.placement_view import PlacementView

log = logging.getLogger(__name__)

LEASE_MS = 6_000
RENEW_S = 2.0
CHECK_S = 0.25

STAGGER_S = 0.5
"""How much later than the host ranked before it a host takes a free lease, in seconds."""

APPEND_TIMEOUT_S = 2.0
RELEASE_TIMEOUT_S = 1.0


class LeaseHolder:
    """One host's part in the lease. Use as an async context manager; leaving gives it up."""

    def __init__(self, node: Node, view: PlacementView):
        self._node = node
        self._view = view
        self._timer = LeaseTimer(node.cfg.host, node.incarnation)
        self._renew_at = 0.0
        self._free_since: float | None = None
        self._given_up = False
        self._task: asyncio.Task[None] | None = None
        view.listen(self._observe)

    async def __aenter__(self) -> "LeaseHolder":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._release()

    @property
    def term(self) -> Offset | None:
        """Return the term of this host's lease, if the log names it as holder."""
        return self._timer.term()

    def holds(self) -> bool:
        """Return whether this host may act as the holder now."""
        stopped = self._view.fold.stopped_at is not None
        return not stopped and not self._given_up and self._timer.holds(self._now())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _observe(self) -> None:
        self._timer.observe(self._view.fold.lease, self._now())

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
                log.warning("lease not looked after", extra={"error": repr(exc)})
            await asyncio.sleep(CHECK_S)

    async def _step(self) -> None:
        fold = self._view.fold
        self._observe()
        if fold.stopped_at is not None or self._node.config.stopped_at is not None:
            return
        if self._timer.is_own(fold.lease):
            await self._keep()
        elif self._is_due():
            log.info("taking the lease", extra={"domain": self._node.cfg.domain})
            await self._ask(LeaseTake(fold.lease.changed, LEASE_MS))

    async def _keep(self) -> None:
        if self._is_leaving():
            await self._release()
        elif self._now() >= self._renew_at:
            lease = self._view.fold.lease
            self._renew_at = self._now() + RENEW_S
            await self._ask(LeaseRenewal(lease.term, lease.changed))

    def _is_leaving(self) -> bool:
        members = self._node.members
        return members is not None and members.leaving

    def _is_due(self) -> bool:
        if self._is_leaving() or not self._timer.may_take(self._now()):
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = self._now()
        return self._now() >= self._free_since + self._rank() * STAGGER_S

    def _rank(self) -> int:
        members = self._node.members
        live = {m.host for m in members.hosts() if not m.leaving} if members else set()
        name = f"placement-{self._node.cfg.domain}"
        return rank_hosts(name, live | {self._node.cfg.host}).index(self._node.cfg.host)

    async def _ask(self, body: Body) -> None:
        self._given_up = False
        self._timer.note_asked(self._now())
        offset = await self._view.follower.append(seal(self._node, body))
        await self._view.follower.wait_applied(offset)

    async def _release(self) -> None:
        lease = self._view.fold.lease
        if not self._timer.is_own(lease):
            return
        # From here on this host doesn't act, whether or not the release reaches the log.
        self._given_up = True
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._view.follower.append(seal(self._node, LeaseRelease(lease.term)))
        except (LogUnavailableError, LogUncertainError, TimeoutError) as exc:
            log.info("lease not released", extra={"error": str(exc)})
