"""What upstreams say of themselves in the headers of their answers, beside the answer itself."""

import logging
import random
from collections.abc import Callable, Iterable

from minttide.ids import HostId, UpstreamId, ZoneId
from minttide.policy.requested_pauses import RequestedPauses, parse_pause
from minttide.policy.upstream_limits import SharingHosts, UpstreamLimits, parse_limit
from minttide.routing.headers import HeaderNames, ReadHeader
from minttide.routing.outcome import MISDIRECTED_REQUEST, SERVICE_UNAVAILABLE
from minttide.routing.routes import UpstreamEntry
from minttided.operators.metrics import Metrics

log = logging.getLogger(__name__)

RETRY_AFTER = "retry-after"
IS_LEAVING = "1"


class UpstreamNotices:
    """The notices of upstreams to this host. Times are in loop seconds.

    `on_leaving` is called with the entry of an upstream that says that it leaves.
    """

    def __init__(
        self,
        names: HeaderNames,
        metrics: Metrics,
        host: HostId,
        rng: random.Random,
        on_leaving: Callable[[UpstreamEntry], None],
    ):
        self._on_leaving = on_leaving
        self._names = names
        self._metrics = metrics
        self.limits = UpstreamLimits(host, rng, _share_with_none(host))
        self.pauses = RequestedPauses(rng)

    def record(
        self,
        entry: UpstreamEntry,
        status: int,
        read_header: ReadHeader,
        now_s: float,
        is_request: bool = True,
    ) -> None:
        """Record what the head of an answer says; that of another process says nothing.

        Without `is_request` it answers a report or an order, and may leave the limit out.
        """
        if status == MISDIRECTED_REQUEST:
            return
        limit = read_header(self._names.limit)
        if limit is not None or is_request:
            self._record_limit(entry.id, limit, now_s)
        if status == SERVICE_UNAVAILABLE:
            self._record_pause(entry, read_header(RETRY_AFTER), now_s)
        if read_header(self._names.leaving) == IS_LEAVING:
            self._on_leaving(entry)

    def _record_limit(self, upstream: UpstreamId, text: str | None, now_s: float) -> None:
        """Record the limit that an answer names, None if it names none; ignore odd texts."""
        limit_per_s = parse_limit(text) if text is not None else None
        if text is not None and limit_per_s is None:
            log.warning("limit ignored", extra={"upstream": upstream, "limit": text})
        elif self.limits.record(upstream, limit_per_s, now_s):
            event = "upstream limited" if limit_per_s is not None else "upstream limit ended"
            log.info(event, extra={"upstream": upstream, "limit_per_s": limit_per_s})

    def _record_pause(self, entry: UpstreamEntry, text: str | None, now_s: float) -> None:
        """Record the pause that an answer asks for, if it asks for one."""
        pause_s = parse_pause(text) if text is not None else 0.0
        if pause_s is None:
            log.warning("pause ignored", extra={"upstream": entry.id, "pause": text})
        elif pause_s > 0.0 and self.pauses.record(entry.process, pause_s, now_s):
            self._metrics.count_decision("pause of upstream")
            extra = {"upstream": entry.id, "pause_s": pause_s}
            log.warning("upstream asked for a pause", extra=extra)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the limit of an upstream that is no longer listed, or has restarted."""
        self.limits.forget(upstream)

    def delay_s(self, entry: UpstreamEntry, now_s: float) -> float:
        """Return the time until this host may send a request to an upstream, 0 if it may now."""
        return max(self.limits.delay_s(entry, now_s), self.pauses.delay_s(entry.process, now_s))

    def is_paused(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Return whether an upstream wants nothing from this host now, not even a probe."""
        return self.pauses.is_paused(entry.process, now_s)

    def closed(self, entries: Iterable[UpstreamEntry], now_s: float) -> set[UpstreamId]:
        """Return the upstreams to which this host may send no request now."""
        return {entry.id for entry in entries if self.delay_s(entry, now_s) > 0.0}

    def shortest_delay_s(self, entries: Iterable[UpstreamEntry], now_s: float) -> float:
        """Return the time until this host may send a request to one of some upstreams."""
        return min((self.delay_s(entry, now_s) for entry in entries), default=0.0)

    def take(self, entry: UpstreamEntry, now_s: float) -> None:
        """Count a request that is being sent to an upstream."""
        self.limits.take(entry, now_s)
        self.pauses.take(entry.process, now_s)


def _share_with_none(host: HostId) -> Callable[[ZoneId | None], SharingHosts]:
    return lambda _: SharingHosts((host,), 1)
