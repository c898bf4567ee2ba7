"""Upstreams that turned a request of this host away and asked it for a pause.

The requests that wait for the end of a pause would arrive together, and be turned away again.
Therefore a host returns to an upstream gradually, and hosts that were told at the same moment begin
at different ones.
"""

import random

import msgspec

from minttide.routing.routes import ProcessKey

MAX_PAUSE_S = 3600.0
"""Longest pause; an upstream that names a longer one is asked again after this."""

START_SPREAD_S = 0.25
"""Random time after the end of a pause before the first request."""

RAMP_S = 1.0
"""Time after the end of a pause in which requests are spaced."""

FIRST_GAP_S = 0.5
"""Gap between the first two requests after a pause; each further one is half as long."""


def parse_pause(text: str) -> float | None:
    """Return the seconds of a Retry-After, `MAX_PAUSE_S` at most, None if it isn't a number."""
    try:
        pause_s = float(text)
    except ValueError:
        return None
    return min(pause_s, MAX_PAUSE_S) if pause_s >= 0.0 else None


class _Pause(msgspec.Struct):
    """A pause until `end_s`, and from when on this host may send its next request."""

    end_s: float
    next_s: float
    gap_s: float = FIRST_GAP_S


class RequestedPauses:
    """The pauses that upstreams have asked this host for, by process. Times are in loop seconds."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._pauses: dict[ProcessKey, _Pause] = {}

    def record(self, process: ProcessKey, pause_s: float, now_s: float) -> bool:
        """Record that an upstream asks for a pause; return whether it wasn't paused already."""
        end_s = now_s + pause_s
        known = self._pauses.get(process)
        is_new = known is None or known.end_s <= now_s
        if is_new:
            self._drop_ended(now_s)
        if known is None or known.end_s < end_s:
            next_s = end_s + START_SPREAD_S * self._rng.random()
            self._pauses[process] = _Pause(end_s, next_s)
        return is_new

    def _drop_ended(self, now_s: float) -> None:
        ended = [key for key, pause in self._pauses.items() if now_s >= pause.end_s + RAMP_S]
        for key in ended:
            del self._pauses[key]

    def is_paused(self, process: ProcessKey, now_s: float) -> bool:
        """Return whether an upstream wants nothing from this host now."""
        pause = self._pauses.get(process)
        return pause is not None and now_s < pause.end_s

    def delay_s(self, process: ProcessKey, now_s: float) -> float:
        """Return the time until this host may send a request to an upstream, 0 if it may now."""
        pause = self._pauses.get(process)
        if pause is None:
            return 0.0
        if now_s >= pause.end_s + RAMP_S:
            del self._pauses[process]
            return 0.0
        return max(0.0, pause.next_s - now_s)

    def take(self, process: ProcessKey, now_s: float) -> None:
        """Count a request that is being sent to an upstream."""
        pause = self._pauses.get(process)
        if pause is not None:
            pause.next_s = max(pause.next_s, now_s) + pause.gap_s
            pause.gap_s /= 2
