"""The log lines of one stream, each with what decided it."""

import logging
from collections.abc import Iterable

import msgspec

from minttide.ids import UpstreamId
from minttide.layers.paths import Path, RequestSize
from minttide.routing.outcome import ExchangeOutcome
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)


class Progress(msgspec.Struct):
    """How far a stream has come. Times are in seconds."""

    sends: int = 0
    moves: int = 0
    events: int = 0
    last_id: int | None = None
    first_s: float | None = None
    longest_gap_s: float = 0.0


def format_path(path: Path) -> str:
    """Return a path as engines read it."""
    return ",".join(f"{s.address}={s.layers.first}-{s.layers.last}" for s in path)


class StreamLog:
    """Writes the lines of one stream."""

    def __init__(self, state: GatewayState, request: GatewayRequest, work: RequestSize):
        self._state = state
        self._request = request
        self._work = work

    def sent(self, path: Path, end: ExchangeOutcome, reason: str, progress: Progress) -> None:
        """Tell of a send whose first event, or failure, has come."""
        plain_success = end is ExchangeOutcome.ANSWERED and progress.sends == 1
        log.log(
            logging.INFO if plain_success else logging.WARNING,
            "stream sent",
            extra={
                "request": self._request.attempt,
                "route": self._request.route.name,
                "path": format_path(path),
                "prompt": self._work.prompt,
                "answer": self._work.answer,
                "send": progress.sends,
                "end": end.value,
                "reason": reason,
                "last_event": progress.last_id,
                "config": self._state.table.version if self._state.table else None,
                "list_age_s": self._state.list_age_s,
                "left_s": self._request.end_s - now_s(),
            },
        )

    def moved(
        self, moved: bool, path: Path, dead: Iterable[UpstreamId], reason: str, progress: Progress
    ) -> None:
        """Tell of an order to use another path."""
        log.warning(
            "stream moved" if moved else "stream not moved",
            extra={
                "request": self._request.attempt,
                "dead": sorted(dead),
                "path": format_path(path),
                "events": progress.events,
                "reason": reason,
            },
        )

    def broke_off(self, reason: str, progress: Progress) -> None:
        """Tell of an answer that ended early."""
        log.warning(
            "stream broke off",
            extra={
                "request": self._request.attempt,
                "reason": reason,
                "last_event": progress.last_id,
                "events": progress.events,
                "resumable": self._request.route.resumable,
            },
        )

    def ended(self, cut: bool, progress: Progress) -> None:
        """Tell of the end; `cut` when the caller left or the stream broke off."""
        log.info(
            "stream ended",
            extra={
                "request": self._request.attempt,
                "events": progress.events,
                "last_event": progress.last_id,
                "cut": cut,
                "sends": progress.sends,
                "moves": progress.moves,
                "first_s": progress.first_s,
                "longest_gap_s": progress.longest_gap_s,
            },
        )
