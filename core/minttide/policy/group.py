"""Groups engines into chains by dynamic programming over the cuts of an ordered list of engines.

Within one zone all links are equal, so that only the set of a chain's engines matters. The engines
are ordered in a few ways, and each order is cut where the sum of the chains' scores is highest.
"""

from collections.abc import Generator, Mapping, Sequence

from minttide.ids import UpstreamId
from minttide.policy.chain_rating import ChainRating, rate_chain
from minttide.policy.links import Links
from minttide.policy.profiles import EngineLevel, EngineProfile, ServiceProfile

MAX_STAGES = 16
"""Maximum number of engines in one chain."""

RatedGroup = tuple[tuple[EngineProfile, ...], ChainRating]

GroupingSteps = Generator[None, None, list[RatedGroup]]
"""Grouping in short steps: it yields between them, so that the event loop can run other tasks."""


class ChainRater:
    """Rates groups of engines for one service, and caches the ratings of equivalent groups."""

    def __init__(
        self,
        profile: ServiceProfile,
        levels: Mapping[UpstreamId, EngineLevel],
        links: Links,
        headroom: float,
    ):
        self.profile = profile
        self.levels = levels
        self.links = links
        self._headroom = headroom
        self._class_ids: dict[tuple[object, ...], int] = {}
        self._ratings: dict[tuple[object, ...], ChainRating | None] = {}

    def _class_id(self, engine: EngineProfile) -> int:
        """Return a number shared by all engines of equal capability and power level."""
        key = (engine.capability_key, self.levels[engine.engine])
        return self._class_ids.setdefault(key, len(self._class_ids))

    def rate(self, engines: Sequence[EngineProfile]) -> ChainRating | None:
        """Rate a chain of `engines` in this order, or return None if the model doesn't fit."""
        key = tuple((self._class_id(e), e.zone) for e in engines)
        if key not in self._ratings:
            levels = [self.levels[e.engine] for e in engines]
            self._ratings[key] = rate_chain(
                self.profile, engines, levels, self.links, self._headroom
            )
        return self._ratings[key]


def _by_kind(engines: Sequence[EngineProfile], rater: ChainRater) -> list[EngineProfile]:
    return sorted(
        engines, key=lambda e: (e.capability_key, e.zone, rater.levels[e.engine].watts, e.engine)
    )


def _interleaved(engines: Sequence[EngineProfile], rater: ChainRater) -> list[EngineProfile]:
    """Spread each kind evenly over the list, so that every run of it holds a similar mix."""
    kinds: dict[tuple[object, ...], list[EngineProfile]] = {}
    for engine in _by_kind(engines, rater):
        kinds.setdefault((engine.capability_key, rater.levels[engine.engine]), []).append(engine)
    placed = [
        ((i + 0.5) / len(group), str(key), engine)
        for key, group in kinds.items()
        for i, engine in enumerate(group)
    ]
    return [engine for _, _, engine in sorted(placed, key=lambda p: (p[0], p[1], p[2].engine))]


def _by_zone(engines: Sequence[EngineProfile], rater: ChainRater) -> list[EngineProfile]:
    return sorted(_by_kind(engines, rater), key=lambda e: e.zone)


def _stage_order(engines: Sequence[EngineProfile]) -> tuple[EngineProfile, ...]:
    """Put engines of one zone in a canonical order, so that equivalent groups are rated once."""
    if any(e.zone != engines[0].zone for e in engines):
        return tuple(engines)
    return tuple(sorted(engines, key=lambda e: e.capability_key))


def cut_into_chains(ordered: Sequence[EngineProfile], rater: ChainRater) -> GroupingSteps:
    """Cut `ordered` into chains, leaving engines out where that improves the total score."""
    best = [0.0] * (len(ordered) + 1)
    chosen: list[RatedGroup | None] = [None] * (len(ordered) + 1)
    for end in range(1, len(ordered) + 1):
        yield
        best[end] = best[end - 1]
        for start in range(max(0, end - MAX_STAGES), end):
            engines = _stage_order(ordered[start:end])
            rating = rater.rate(engines)
            if rating is not None and best[start] + rating.score > best[end]:
                best[end] = best[start] + rating.score
                chosen[end] = (engines, rating)
    groups: list[RatedGroup] = []
    end = len(ordered)
    while end > 0:
        group = chosen[end]
        if group is None:
            end -= 1
            continue
        groups.append(group)
        end -= len(group[0])
    return groups[::-1]


def group_engines(engines: Sequence[EngineProfile], rater: ChainRater) -> GroupingSteps:
    """Group the engines of one zone, trying several orders; returns the best grouping."""
    tried = []
    for order in (_by_kind, _interleaved):
        tried.append((yield from cut_into_chains(order(engines, rater), rater)))
    return max(tried, key=total_score)


def group_over_zones(engines: Sequence[EngineProfile], rater: ChainRater) -> GroupingSteps:
    """Group the engines left over in several zones into chains that span zones."""
    return (yield from cut_into_chains(_by_zone(engines, rater), rater))


def total_score(groups: Sequence[RatedGroup]) -> float:
    """Return the sum of the scores of `groups`."""
    return sum(rating.score for _, rating in groups)
