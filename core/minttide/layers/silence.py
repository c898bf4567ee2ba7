"""Judges a stream that has fallen silent, from what the engines of its path answer.

Answers the loss of a stage in mid-stream: engines behind one that has died stall for seconds, while
a caller counts a pause of a fraction of a second as late.
"""

from collections.abc import Collection, Iterable, Set
from enum import Enum

import msgspec

from minttide.ids import UpstreamId
from minttide.layers.paths import Path
from minttide.routing.sources import EngineReport

LOST_S = 0.5
"""Least silence after which an answer counts as lost although all engines live."""

BUSY_SHARE = 0.85
"""Part of its memory from which on an engine counts as busy."""

LONG_AFTER = 3.0
"""Silence after which all engines are asked for reports, in multiples of the usual one."""

LOST_AFTER = 3.0
"""The same in multiples of the silence after which engines are asked."""


class Remedy(Enum):
    """What to do about a silent stream."""

    WAIT = "wait"
    MOVE = "move"  # order the first engine onto a path around the dead ones
    RESTART = "restart"  # begin anew on another path, after the last event


class Silence(msgspec.Struct, frozen=True):
    """A silent stream. `probe_after_s` is the silence after which engines are asked, in seconds.

    `may_restart` says whether the request may be sent once more to engines that may have run it.
    """

    silent_s: float
    probe_after_s: float
    may_restart: bool

    @property
    def needs_reports(self) -> bool:
        """Return whether the engines' own reports are worth asking for."""
        return self.silent_s >= LONG_AFTER * self.probe_after_s


class Judgement(msgspec.Struct, frozen=True):
    """The remedy, the engines of the path that don't answer, and the reason."""

    remedy: Remedy
    dead: frozenset[UpstreamId] = frozenset()
    reason: str = ""


def choose_remedy(
    path: Path,
    silent: Set[UpstreamId],
    reports: Collection[EngineReport],
    stalled_at: Set[UpstreamId],
    silence: Silence,
) -> Judgement:
    """Judge by the engines that are silent themselves and the reports of others.

    `stalled_at` holds engines that the first engine says the request waits for.
    """
    dead = frozenset(s.engine for s in path if s.engine in silent or s.engine in stalled_at)
    head = path[0].engine
    if head in dead:
        return Judgement(Remedy.RESTART, dead, "the first engine doesn't answer")
    if dead:
        return Judgement(Remedy.MOVE, dead, "an engine on the path doesn't answer")
    if _seems_lost(silence) and not _is_busy(reports):
        return Judgement(Remedy.RESTART, dead, "the answer seems lost")
    return Judgement(Remedy.WAIT)


def _seems_lost(silence: Silence) -> bool:
    """Return whether the silence is too long for an answer that is only late."""
    long_s = max(LOST_S, LOST_AFTER * silence.probe_after_s)
    return silence.may_restart and silence.silent_s >= long_s


def _is_busy(reports: Iterable[EngineReport]) -> bool:
    """Return whether an engine has requests waiting, or little memory left.

    A silence there comes from load, and sending the request again would add to it.
    """
    return any(r.waiting > 0 or r.memory_used > BUSY_SHARE * r.memory_total for r in reports)
