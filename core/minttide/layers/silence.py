"""Chooses what to do about a stream without events, from what the engines of its path report.

When one engine of a path dies in mid-stream, the engines behind it may stall for seconds, while a
caller counts a pause of a fraction of a second as late.
"""

from collections.abc import Collection, Iterable, Set
from enum import Enum

import msgspec

from minttide.ids import UpstreamId
from minttide.layers.paths import Path
from minttide.routing.sources import EngineReport

MIN_LOST_ANSWER_S = 0.5
"""Shortest silence after which an answer counts as lost although all engines respond."""

BUSY_MEMORY_FRACTION = 0.85
"""Fraction of its memory in use above which an engine counts as busy."""

REPORTS_FACTOR = 3.0
"""Silence that calls for reports of all engines, as a multiple of `Silence.probe_after_s`."""

LOST_ANSWER_FACTOR = 3.0
"""Silence after which an answer counts as lost, as a multiple of `Silence.probe_after_s`."""


class Remedy(Enum):
    """What to do about a silent stream."""

    WAIT = "wait"
    MOVE = "move"  # order the first engine to continue on a path without the dead engines
    RESTART = "restart"  # start again on another path, after the last event delivered


class Silence(msgspec.Struct, frozen=True):
    """A stream without events for `silent_s`; its engines are probed after `probe_after_s`.

    Times are in seconds. `may_restart` says whether the request may be sent again to engines that
    may already have run it.
    """

    silent_s: float
    probe_after_s: float
    may_restart: bool

    @property
    def needs_reports(self) -> bool:
        """Return whether the silence is long enough to ask all engines for reports."""
        return self.silent_s >= REPORTS_FACTOR * self.probe_after_s


class RemedyChoice(msgspec.Struct, frozen=True):
    """The chosen remedy, the engines of the path that don't respond, and the reason."""

    remedy: Remedy
    dead: frozenset[UpstreamId] = frozenset()
    reason: str = ""


def choose_remedy(
    path: Path,
    unresponsive: Set[UpstreamId],
    reports: Collection[EngineReport],
    stalled_at: Set[UpstreamId],
    silence: Silence,
) -> RemedyChoice:
    """Choose a remedy from the engines that don't respond and the reports of the others.

    `unresponsive` holds engines that don't respond, `stalled_at` those that the request waits for
    according to the first engine's report.
    """
    dead = frozenset(s.engine for s in path if s.engine in unresponsive or s.engine in stalled_at)
    head = path[0].engine
    if head in dead:
        return RemedyChoice(Remedy.RESTART, dead, "the first engine doesn't respond")
    if dead:
        return RemedyChoice(Remedy.MOVE, dead, "an engine on the path doesn't respond")
    if _is_answer_lost(silence) and not _any_busy(reports):
        return RemedyChoice(Remedy.RESTART, dead, "the answer seems lost")
    return RemedyChoice(Remedy.WAIT)


def _is_answer_lost(silence: Silence) -> bool:
    """Return whether the silence is too long for an answer that is merely late."""
    lost_after_s = max(MIN_LOST_ANSWER_S, LOST_ANSWER_FACTOR * silence.probe_after_s)
    return silence.may_restart and silence.silent_s >= lost_after_s


def _any_busy(reports: Iterable[EngineReport]) -> bool:
    """Return whether any engine has requests waiting or little free memory.

    Silence then comes from load, and sending the request again would add to it.
    """
    return any(
        r.waiting > 0 or r.memory_used > BUSY_MEMORY_FRACTION * r.memory_total for r in reports
    )
