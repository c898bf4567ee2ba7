"""The prompt prefixes cached on engines, as known from their cache events.

Events arrive with a delay, so that an engine's cache may have changed since.
"""

from collections.abc import Sequence

from minttide.ids import UpstreamId
from minttide.steps import CacheEvent

MAX_PREFIXES = 2_048
"""Maximum number of prefixes tracked for one engine; beyond it, all are dropped."""


class EnginePrefixCache:
    """The prefixes cached on one engine, as far as known.

    A gap in the sequence of events drops all earlier prefixes.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._prefixes: dict[str, int] = {}

    def apply(self, events: Sequence[CacheEvent]) -> None:
        """Apply cache events; those already applied are skipped."""
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

    def cached_tokens(self, prefixes: Sequence[str]) -> int:
        """Return the token count of the longest cached prefix among `prefixes`."""
        return max((self._prefixes.get(prefix, 0) for prefix in prefixes), default=0)


class PrefixCacheView:
    """The prefix caches of the engines that this daemon uses."""

    def __init__(self) -> None:
        self._caches: dict[UpstreamId, EnginePrefixCache] = {}

    def sequence(self, engine: UpstreamId) -> int:
        """Return the sequence number of the last event applied for an engine, or 0."""
        cache = self._caches.get(engine)
        return cache.sequence if cache else 0

    def apply(self, engine: UpstreamId, events: Sequence[CacheEvent]) -> None:
        """Apply the cache events of one engine."""
        self._caches.setdefault(engine, EnginePrefixCache()).apply(events)

    def discard(self, engine: UpstreamId) -> None:
        """Drop the cache of an engine that has restarted or loaded other layers."""
        self._caches.pop(engine, None)

    def retain(self, engines: set[UpstreamId]) -> None:
        """Drop the caches of all other engines."""
        for engine in set(self._caches) - engines:
            del self._caches[engine]

    def cached(
        self, engines: Sequence[UpstreamId], prefixes: Sequence[str]
    ) -> dict[UpstreamId, int]:
        """Return how many tokens of a prompt each engine has cached, without those with none.

        `prefixes` are the digests of the prompt's prefixes.
        """
        tokens_by_engine = {}
        for engine in engines:
            cache = self._caches.get(engine)
            tokens = cache.cached_tokens(prefixes) if cache and prefixes else 0
            if tokens:
                tokens_by_engine[engine] = tokens
        return tokens_by_engine
