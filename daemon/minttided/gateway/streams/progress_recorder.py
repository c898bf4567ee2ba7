"""Records the progress of one stream: its delivered events, their gaps, and its first event."""

from minttided.gateway.callers.crash_guard import CrashGuard
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.events import DeliveredEvents, Event
from minttided.gateway.streams.log import Progress


class ProgressRecorder:
    """Records each event that is delivered in `progress`, `delivered` and the metrics."""

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        progress: Progress,
        delivered: DeliveredEvents,
        crash_guard: CrashGuard,
    ):
        self._context = context
        self._request = request
        self._progress = progress
        self._delivered = delivered
        self._crash_guard = crash_guard
        self._last_event_s = request.received_s

    def record(self, event: Event) -> None:
        """Record an event that is delivered."""
        self._progress.events += 1
        if not event.is_comment:
            self._record_time()
        self._delivered.record(event)
        self._progress.last_event_id = self._delivered.last_id

    def _record_time(self) -> None:
        """Record the time of an event that isn't only a comment."""
        now = now_s()
        progress = self._progress
        if progress.first_event_s is None:
            self._crash_guard.record_start()
            progress.first_event_s = now - self._request.received_s
            metrics = self._context.state.metrics
            metrics.observe_first_token(self._request.service, progress.first_event_s)
        else:
            gap_s = now - self._last_event_s
            progress.longest_gap_s = max(progress.longest_gap_s, gap_s)
            self._context.silence_threshold.observe(gap_s)
        self._last_event_s = now
