"""Which upstreams to keep away from because they failed lately.

Answers an upstream that has died and is still listed, as while the platform's list can't be read:
requests must not find it out one after the other. An upstream that failed is avoided for a while,
and is on trial after that. Engines on trial are asked by a probe before streams use them again;
plain services are tried with a request. Each failure on trial doubles the time of avoidance.
"""

import msgspec

from minttide.ids import UpstreamId

FIRST_S = 2.0
"""How long an upstream is avoided after its first failure."""

LONGEST_S = 8.0


class _Failure(msgspec.Struct):
    until_s: float
    span_s: float


class Suspects:
    """Upstreams that failed and haven't answered since. Times are in loop seconds."""

    def __init__(self) -> None:
        self._failures: dict[UpstreamId, _Failure] = {}

    def add(self, upstream: UpstreamId, now_s: float) -> bool:
        """Avoid an upstream that failed; return whether that is news."""
        known = self._failures.get(upstream)
        if known is not None and now_s < known.until_s:
            return False
        span_s = min(LONGEST_S, 2 * known.span_s) if known is not None else FIRST_S
        self._failures[upstream] = _Failure(now_s + span_s, span_s)
        return True

    def add_for(self, upstream: UpstreamId, now_s: float, for_s: float) -> bool:
        """Avoid an upstream for a given time at least; return whether that is news."""
        known = self._failures.get(upstream)
        if known is None:
            self._failures[upstream] = _Failure(now_s + for_s, for_s)
            return True
        is_news = known.until_s <= now_s
        known.until_s = max(known.until_s, now_s + for_s)
        return is_news

    def clear(self, upstream: UpstreamId) -> None:
        """Trust an upstream again, since it has answered or has started anew."""
        self._failures.pop(upstream, None)

    def avoided(self, now_s: float) -> set[UpstreamId]:
        """Return the upstreams that aren't tried now."""
        return {u for u, f in self._failures.items() if f.until_s > now_s}

    def on_trial(self, now_s: float) -> set[UpstreamId]:
        """Return the upstreams whose time is over and that haven't answered since."""
        return {u for u, f in self._failures.items() if f.until_s <= now_s}

    def untrusted(self) -> set[UpstreamId]:
        """Return the upstreams that are avoided or on trial."""
        return set(self._failures)
