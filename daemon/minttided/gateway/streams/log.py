"""Writes the log lines of one stream, with the data that each decision was based on."""

import logging
from collections.abc import Iterable

import msgspec

from minttide.ids import UpstreamId
from minttide.layers.paths import Path, RequestSize
from minttide.routing.outcome import ExchangeOutcome
from minttided.gateway.callers.request import GatewayRequest, parse_prompt_parts
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)


class Progress(msgspec.Struct):
    """The progress of one stream so far. Times are in seconds.

    `first_event_s` is the time from the request to the first event.
    """

    sends: int = 0
    moves: int = 0
    events: int = 0
    last_event_id: int | None = None
    first_event_s: float | None = None
    longest_gap_s: float = 0.0


def format_path(path: Path) -> str:
    """Return a path in the format of the engines."""
    return ",".join(f"{s.address}={s.layers.first}-{s.layers.last}" for s in path)


class StreamLog:
    """Writes the log lines of one stream."""

    def __init__(self, state: GatewayState, request: GatewayRequest, request_size: RequestSize):
        self._state = state
        self._request = request
        self._request_size = request_size

    def sent(
        self,
        path: Path,
        outcome: ExchangeOutcome,
        reason: str,
        send: int,
        last_event_id: int | None,
        ran: int,
    ) -> None:
        """Log a send when its first event has arrived or it has failed.

        `send` is its number; others may have been sent since. `ran` is the number of engines that
        may have run the request and still respond.
        """
        first_send_succeeded = outcome is ExchangeOutcome.ANSWERED and send == 1
        log.log(
            logging.INFO if first_send_succeeded else logging.WARNING,
            "stream sent",
            extra={
                "request": self._request.attempt_id,
                "route": self._request.route.name,
                "service": self._request.service,
                "path": format_path(path),
                "prompt": self._request_size.prompt,
                "answer": self._request_size.answer,
                "parts": parse_prompt_parts(self._request.req, self._state.headers),
                "send": send,
                "ran": ran,
                "max_attempts": self._request.max_attempts,
                "end": outcome.value,
                "reason": reason,
                "last_event": last_event_id,
                "config": self._state.table.version if self._state.table else None,
                "list_age_s": self._state.list_age_s,
                "left_s": self._request.end_s - now_s(),
            },
        )

    def moved(
        self, moved: bool, path: Path, dead: Iterable[UpstreamId], reason: str, progress: Progress
    ) -> None:
        """Log an order to continue on another path, and whether the first engine accepted it."""
        log.warning(
            "stream moved" if moved else "stream not moved",
            extra={
                "request": self._request.attempt_id,
                "dead": sorted(dead),
                "path": format_path(path),
                "events": progress.events,
                "reason": reason,
            },
        )

    def replacing(self, silent: UpstreamId, reason: str, silent_s: float, sent: bool) -> None:
        """Log that the attempt at engine `silent` goes on while another may replace it.

        `sent` says whether the request was sent again.
        """
        log.warning(
            "replacement sent" if sent else "replacement not sent",
            extra={
                "request": self._request.attempt_id,
                "silent": silent,
                "reason": reason,
                "silent_s": silent_s,
            },
        )

    def chosen(self, engine: UpstreamId, abandoned: Iterable[UpstreamId]) -> None:
        """Log which of several attempts has begun or gone on to answer, and the abandoned ones."""
        log.info(
            "attempt chosen",
            extra={
                "request": self._request.attempt_id,
                "engine": engine,
                "abandoned": sorted(abandoned),
            },
        )

    def interrupted(self, reason: str, progress: Progress) -> None:
        """Log a response that was interrupted before its end."""
        log.warning(
            "stream interrupted",
            extra={
                "request": self._request.attempt_id,
                "reason": reason,
                "last_event": progress.last_event_id,
                "events": progress.events,
                "resumable": self._request.route.resumable,
            },
        )

    def ended(self, cut: bool, progress: Progress) -> None:
        """Log the end of a stream; `cut` if the caller disconnected or it was interrupted."""
        log.info(
            "stream ended",
            extra={
                "request": self._request.attempt_id,
                "events": progress.events,
                "last_event": progress.last_event_id,
                "cut": cut,
                "sends": progress.sends,
                "moves": progress.moves,
                "first_s": progress.first_event_s,
                "longest_gap_s": progress.longest_gap_s,
            },
        )
