"""Upstreams to avoid for a while because they failed, or because a peer or engine reported them.

An upstream that has died may still be listed, for example while the platform's host list can't be
read, and each request would have to detect the failure by itself. Therefore an upstream that failed
is avoided for a while and is on trial afterwards. Engines on trial are probed before streams use
them again; upstreams of plain services are tried with a request. Each failure on trial doubles the
avoidance time.
"""

import msgspec

from minttide.ids import UpstreamId

INITIAL_AVOIDANCE_S = 2.0
"""How long an upstream is avoided after its first failure."""

MAX_AVOIDANCE_S = 8.0


class _Avoidance(msgspec.Struct):
    until_s: float
    duration_s: float


class AvoidedUpstreams:
    """Upstreams that are avoided, or on trial until they answer. Times are in loop seconds."""

    def __init__(self) -> None:
        self._avoided: dict[UpstreamId, _Avoidance] = {}

    def add(self, upstream: UpstreamId, now_s: float) -> bool:
        """Avoid an upstream that failed; return false if it is being avoided already."""
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
        """Avoid an upstream for at least `duration_s`.

        Returns false if it is being avoided already.
        """
        current = self._avoided.get(upstream)
        if current is None:
            self._avoided[upstream] = _Avoidance(now_s + duration_s, duration_s)
            return True
        is_new = current.until_s <= now_s
        current.until_s = max(current.until_s, now_s + duration_s)
        return is_new

    def clear(self, upstream: UpstreamId) -> None:
        """Remove an upstream from the list because it has answered or restarted."""
        self._avoided.pop(upstream, None)

    def avoided(self, now_s: float) -> set[UpstreamId]:
        """Return the upstreams that are not to be used now."""
        return {u for u, a in self._avoided.items() if a.until_s > now_s}

    def on_trial(self, now_s: float) -> set[UpstreamId]:
        """Return the upstreams whose avoidance time is over and that haven't answered since."""
        return {u for u, a in self._avoided.items() if a.until_s <= now_s}

    def suspected(self) -> set[UpstreamId]:
        """Return the upstreams that are avoided or on trial."""
        return set(self._avoided)
