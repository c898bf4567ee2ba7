"""Which upstreams to keep away from because they failed lately.

Answers an upstream that has died and is still listed, as while the platform's list can't be read:
requests must not find it out one after the other. An upstream that failed is avoided for a while,
and is on trial after that. Engines on trial are asked by a probe before streams use them again;
plain services are tried with a request. Each failure on trial doubles the time of avoidance.
"""

import msgspec

from minttide.ids import UpstreamId

INITIAL_AVOIDANCE_S = 2.0
"""How long an upstream is avoided after its first failure."""

MAX_AVOIDANCE_S = 8.0


class _Avoidance(msgspec.Struct):
    until_s: float
    duration_s: float


class SuspectUpstreams:
    """Upstreams that failed and haven't answered since. Times are in loop seconds."""

    def __init__(self) -> None:
        self._avoided: dict[UpstreamId, _Avoidance] = {}

    def add(self, upstream: UpstreamId, now_s: float) -> bool:
        """Avoid an upstream that failed; return whether that is news."""
        current = self._avoided.get(upstream)
        if current is not None and now_s < current.until_s:
            return False
        duration_s = (
            min(MAX_AVOIDANCE_S, 2 * current.duration_s)
            if current is not None
            else INITIAL_AVOIDANCE_S
        )
        self._avoided[upstream] = _Avoidance(now_s + duration_s, duration_s)
        return True

    def add_for(self, upstream: UpstreamId, now_s: float, duration_s: float) -> bool:
        """Avoid an upstream for a given time at least; return whether that is news."""
        current = self._avoided.get(upstream)
        if current is None:
            self._avoided[upstream] = _Avoidance(now_s + duration_s, duration_s)
            return True
        is_new = current.until_s <= now_s
        current.until_s = max(current.until_s, now_s + duration_s)
        return is_new

    def clear(self, upstream: UpstreamId) -> None:
        """Trust an upstream again, since it has answered or has started anew."""
        self._avoided.pop(upstream, None)

    def avoided(self, now_s: float) -> set[UpstreamId]:
        """Return the upstreams that aren't tried now."""
        return {u for u, a in self._avoided.items() if a.until_s > now_s}

    def on_trial(self, now_s: float) -> set[UpstreamId]:
        """Return the upstreams whose time is over and that haven't answered since."""
        return {u for u, a in self._avoided.items() if a.until_s <= now_s}

    def suspected(self) -> set[UpstreamId]:
        """Return the upstreams that are avoided or on trial."""
        return set(self._avoided)
