"""What this daemon believes of the prompt caches of engines, from events that come late."""

from collections.abc import Sequence

from minttide.ids import UpstreamId
from minttide.steps import CacheEvent

MAX_PREFIXES = 2_048
"""Prefixes that are remembered for each engine; beyond, the engine's cache counts as unknown."""


class EngineCache:
    """The prefixes believed cached on one engine. After a gap nothing is known of older ones."""

    def __init__(self) -> None:
        self.sequence = 0
        self._prefixes: dict[str, int] = {}

    def apply(self, events: Sequence[CacheEvent]) -> None:
        """Take events in, which follow those seen before unless there is a gap."""
        for event in sorted(events, key=lambda e: e.sequence):
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1 or len(self._prefixes) >= MAX_PREFIXES:
                self._prefixes.clear()
            self.sequence = event.sequence
            if event.present:
                self._prefixes[event.prefix] = event.tokens
            else:
                self._prefixes.pop(event.prefix, None)

    def cached_tokens(self, names: Sequence[str]) -> int:
        """Return the tokens of the longest cached prefix among `names`, the shortest first."""
        return max((self._prefixes.get(name, 0) for name in names), default=0)


class CacheView:
    """The caches of the engines that this daemon follows."""

    def __init__(self) -> None:
        self._caches: dict[UpstreamId, EngineCache] = {}

    def sequence(self, engine: UpstreamId) -> int:
        """Return the sequence of the last event seen of an engine."""
        cache = self._caches.get(engine)
        return cache.sequence if cache else 0

    def apply(self, engine: UpstreamId, events: Sequence[CacheEvent]) -> None:
        """Take the events of one engine in."""
        self._caches.setdefault(engine, EngineCache()).apply(events)

    def forget(self, engine: UpstreamId) -> None:
        """Drop what is known of an engine that was restarted or holds other layers now."""
        self._caches.pop(engine, None)

    def keep_only(self, engines: set[UpstreamId]) -> None:
        """Drop all other engines."""
        for engine in set(self._caches) - engines:
            del self._caches[engine]

    def cached(self, engines: Sequence[UpstreamId], names: Sequence[str]) -> dict[UpstreamId, int]:
        """Return for each engine the tokens of the prompt that are believed cached there."""
        found = {}
        for engine in engines:
            cache = self._caches.get(engine)
            tokens = cache.cached_tokens(names) if cache and names else 0
            if tokens:
                found[engine] = tokens
        return found
