"""The prefix cache of a stand-in engine, and its events, which may be delayed or missing."""

from collections import OrderedDict, deque
from collections.abc import Sequence

from minttide.ids import UpstreamId
from minttide.prefix import PREFIX_BLOCK_TOKENS
from minttide.steps import CacheEvent

MAX_EVENTS = 512
"""Events that an engine retains for readers."""


class PrefixCache:
    """An LRU cache of named prefixes. Readers don't get the latest `lag` events yet.

    An event whose sequence number is a multiple of `gap_every` is lost.
    """

    def __init__(
        self, engine: UpstreamId, capacity: int = 256, lag: int = 0, gap_every: int = 0
    ) -> None:
        self._engine = engine
        self._capacity = capacity
        self._names: OrderedDict[str, int] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self.lag = lag
        self.gap_every = gap_every

    def cached_tokens(self, names: Sequence[str]) -> int:
        """Return how many tokens of a prompt with these prefix names are cached."""
        for count in range(len(names), 0, -1):
            if names[count - 1] in self._names:
                self._names.move_to_end(names[count - 1])
                return count * PREFIX_BLOCK_TOKENS
        return 0

    def add(self, names: Sequence[str]) -> None:
        """Add the prefixes of a prompt, and evict the least recently used beyond the capacity."""
        for index, name in enumerate(names):
            if name not in self._names:
                self._names[name] = (index + 1) * PREFIX_BLOCK_TOKENS
                self._record_cached(name, True)
        while len(self._names) > self._capacity:
            name, tokens = self._names.popitem(last=False)
            self._record(name, tokens, False)

    def clear(self) -> None:
        """Remove all prefixes, as when other layers are loaded."""
        while self._names:
            name, tokens = self._names.popitem()
            self._record(name, tokens, False)

    def _record_cached(self, name: str, present: bool) -> None:
        self._record(name, self._names[name], present)

    def _record(self, name: str, tokens: int, present: bool) -> None:
        self._sequence += 1
        if self.gap_every and self._sequence % self.gap_every == 0:
            return
        self._events.append(CacheEvent(self._engine, self._sequence, name, tokens, present))

    def events(self, after: int) -> list[CacheEvent]:
        """Return the retained events above `after`, without the latest `lag`."""
        newest = self._sequence - self.lag
        return [e for e in self._events if after < e.sequence <= newest]
