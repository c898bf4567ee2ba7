"""Upstreams that were announced as leaving, as received by this host."""

from collections.abc import Iterator

from minttide.gossip import LeavingUpstream, UpdateQueue
from minttide.ids import UpstreamId

LEAVING_TTL_S = 120.0
"""How long an upstream counts as leaving after it was last announced."""

_TTL_MS = int(LEAVING_TTL_S * 1000)
_RENEW_MS = _TTL_MS // 4
"""Minimum time between two announcements of one upstream that are both forwarded."""

MAX_ANNOUNCEMENTS_PER_MESSAGE = 16
MAX_UPSTREAMS = 4096


class LeavingUpstreams:
    """The latest announcement of each leaving upstream. Times are wall clock milliseconds."""

    def __init__(self) -> None:
        self._announced: dict[UpstreamId, int] = {}
        self._updates = UpdateQueue()
        self.has_new_announcement = False  # set on a new announcement; reset by the caller

    def __iter__(self) -> Iterator[UpstreamId]:
        return iter(list(self._announced))

    def receive(self, announcement: LeavingUpstream) -> None:
        """Store an announcement and queue it for forwarding, unless a recent one is stored."""
        known_ms = self._announced.get(announcement.upstream, 0)
        if (
            announcement.announced_ms <= known_ms + _RENEW_MS
            or len(self._announced) >= MAX_UPSTREAMS
        ):
            return
        self._announced[announcement.upstream] = announcement.announced_ms
        self._updates.add(announcement.upstream)
        self.has_new_announcement = True

    def announce(self, upstream: UpstreamId, now_ms: int) -> None:
        """Announce that an upstream is leaving, as detected by this host itself."""
        self.receive(LeavingUpstream(upstream, now_ms))

    def is_leaving(self, upstream: UpstreamId, now_ms: int) -> bool:
        """Return whether an upstream was announced as leaving within `LEAVING_TTL_S`."""
        announced_ms = self._announced.get(upstream)
        return announced_ms is not None and now_ms < announced_ms + _TTL_MS

    def expire(self, now_ms: int) -> None:
        """Remove expired announcements."""
        old = [u for u, ms in self._announced.items() if ms + _TTL_MS < now_ms]
        for upstream in old:
            del self._announced[upstream]
            self._updates.drop(upstream)

    def take_updates(self, hosts: int) -> list[LeavingUpstream]:
        """Return the announcements to forward next, in a site of `hosts` hosts."""
        names = [
            UpstreamId(name) for name in self._updates.take(MAX_ANNOUNCEMENTS_PER_MESSAGE, hosts)
        ]
        return [LeavingUpstream(name, self._announced[name]) for name in names]
