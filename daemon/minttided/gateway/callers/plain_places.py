"""Records the calls to plain services by which hosts share the places of upstreams."""

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping, Sequence

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.usage import Usage
from minttide.policy.shared_places import CallSums, SharedPlaces
from minttide.routing.outcome import SERVICE_UNAVAILABLE, ExchangeOutcome
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.callers.permissions import age_s, left_s
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

TOO_MANY_REQUESTS = 429

FULL_STATUSES = frozenset({SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS})
"""Statuses of a rejection that says that an upstream has no place."""

OBJECTIVE_FRACTION = 0.5
"""Part of what is left of a call's objective that it may wait; the rest is for its answer."""


class PlainPlaces:
    """The places of plain services as this host's calls and other hosts' reports show them.

    Without `load_balancing` nothing is recorded, and no upstream counts as contended.
    """

    def __init__(self, state: GatewayState):
        self._state = state
        self.shared = SharedPlaces(state.rng, on_change=self._log_change)

    def narrow(
        self, candidates: Sequence[UpstreamEntry], running: Counter[UpstreamId]
    ) -> Sequence[UpstreamEntry]:
        """Return the upstreams to choose from, see `SharedPlaces.narrow`."""
        return self.shared.narrow(candidates, running, now_s())

    async def wait(self, request: GatewayRequest) -> None:
        """Delay a call that isn't repeatable while all upstreams are full.

        It waits for at most `OBJECTIVE_FRACTION` of the time left to its objective or deadline.
        """
        if request.route.repeatable:
            return
        objective_left_s = request.route.objective_s - age_s(self._state, request)
        limit_s = OBJECTIVE_FRACTION * min(objective_left_s, left_s(self._state, request))
        wait_s = self.shared.draw_wait_s(request.service, limit_s, now_s())
        if wait_s <= 0.0:
            return
        self._state.metrics.count_contended_call(request.service, "waited")
        log.info("call waits", extra={"request": request.attempt_id, "wait_s": wait_s})
        await asyncio.sleep(wait_s)

    def record_refusal(self, service: ServiceName) -> None:
        """Count a call that was refused while there was contention."""
        if self.shared.is_contended(service):
            self._state.metrics.count_contended_call(service, "refused")

    def local_usages(self) -> dict[str, Usage]:
        """Return this host's recent calls as other hosts read them."""
        return self.shared.local_usages(now_s())

    def record(
        self,
        upstream: UpstreamEntry,
        outcome: ExchangeOutcome,
        status: int,
        sent_s: float,
        end_s: float,
    ) -> None:
        """Record the end of a call that was sent at `sent_s` and had to end by `end_s`.

        `status` is 0 without a complete response. A failure isn't recorded, since a failing
        upstream may be quicker than one that works.
        """
        now = now_s()
        if not self._state.cfg.load_balancing:
            return
        rejected = outcome is ExchangeOutcome.REJECTED and status in FULL_STATUSES
        silent = outcome is ExchangeOutcome.UNKNOWN and now >= end_s
        if rejected:
            self._state.metrics.count_contended_call(upstream.service, "rejected")
        if rejected or silent or outcome is ExchangeOutcome.ANSWERED:
            self.shared.record(upstream, now, now - sent_s, rejected)

    def _log_change(self, service: ServiceName, sums: Mapping[UpstreamId, CallSums]) -> None:
        contended = self.shared.is_contended(service)
        self._state.metrics.set_contended(service, contended)
        log.log(
            logging.WARNING if contended else logging.INFO,
            "upstreams contended" if contended else "upstreams no longer contended",
            extra={
                "service": service,
                "rejections": {u: s.rejections for u, s in sums.items()},
                "answers": {u: s.answers for u, s in sums.items()},
                "weights": {u: round(w, 2) for u, w in self.shared.weights(service).items()},
            },
        )
