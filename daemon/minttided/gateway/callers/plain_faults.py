"""Records which upstreams of plain services fail calls, and how retries of failed calls fare."""

import logging

from minttide.ids import UpstreamId
from minttide.policy.request_attempts import RequestAttempts
from minttide.routing.outcome import ExchangeOutcome, is_own_failure
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

NO_LAYERS = 0
"""Layers of a plain service, each of whose upstreams serves whole calls."""


class PlainFaults:
    """The results of one call. Without `fault_tracking` nothing is recorded and all is allowed."""

    def __init__(self, state: GatewayState, request: GatewayRequest):
        self._state = state
        self._request = request
        self._attempts = RequestAttempts(state.path_faults, request.service)
        self._has_failed = False  # with the last send, by an upstream's own failure

    @property
    def _is_on(self) -> bool:
        return self._state.cfg.fault_tracking

    def record(self, upstream: UpstreamId, outcome: ExchangeOutcome, status: int) -> None:
        """Record the result of a send, `status` 0 without a complete response."""
        if not self._is_on:
            return
        now = now_s()
        answered = outcome is ExchangeOutcome.ANSWERED
        failed = is_own_failure(outcome, status)
        if self._has_failed and (answered or failed):
            self._state.path_faults.record_retry(self._request.service, answered, now)
        if answered:
            self._attempts.record_answered((upstream,), now)
        elif failed:
            self._attempts.record_failed((upstream,), 1, now)
        self._has_failed = failed

    def allows_retry(self) -> bool:
        """Return whether another send is worth it, by how retries of failed calls have fared.

        After anything but an upstream's own failure it is.
        """
        if not self._has_failed:
            return True
        service = self._request.service
        share = self._state.path_faults.retry_share(service, now_s())
        if self._state.rng.random() < share:
            return True
        self._state.metrics.count_decision("retry left out")
        extra = {"request": self._request.attempt_id, "service": service, "share": share}
        log.info("retry left out", extra=extra)
        return False

    def find_usable(self, upstreams: list[UpstreamEntry], is_retry: bool) -> list[UpstreamEntry]:
        """Return the upstreams that aren't accused of failing calls, or one for a trial.

        Only the first send of a call that may be repeated makes a trial.
        """
        if not self._is_on:
            return upstreams
        faults, service, now = self._state.path_faults, self._request.service, now_s()
        accused = faults.find_accused(service, upstreams, NO_LAYERS, now)
        if not accused:
            return upstreams
        if not is_retry and self._request.route.repeatable:
            tried = faults.choose_trial(service, accused, now, self._state.rng.random())
            if tried is not None:
                return [u for u in upstreams if u.id == tried]
        return [u for u in upstreams if u.id not in accused]
