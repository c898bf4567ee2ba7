"""Which upstreams were announced as leaving, as far as this host has heard."""

from collections.abc import Iterator

from minttide.gossip import LeavingUpstream, UpdateQueue
from minttide.ids import UpstreamId

LEAVING_KEEP_S = 120.0
"""How long an upstream counts as leaving after it was last announced."""

_KEEP_MS = int(LEAVING_KEEP_S * 1000)
_RENEW_MS = _KEEP_MS // 4
"""Least time between two announcements of one upstream that are both passed on."""

MAX_NOTICES = 16
MAX_UPSTREAMS = 4096


class LeavingUpstreams:
    """Announcements by upstream. Times are wall clock times in milliseconds."""

    def __init__(self) -> None:
        self._announced: dict[UpstreamId, int] = {}
        self._news = UpdateQueue()
        self.has_new_announcement = False  # set when an announcement was news; the caller resets it

    def __iter__(self) -> Iterator[UpstreamId]:
        return iter(list(self._announced))

    def hear(self, notice: LeavingUpstream) -> None:
        """Take in one announcement, and pass it on if it is news."""
        known_ms = self._announced.get(notice.upstream, 0)
        if notice.announced_ms <= known_ms + _RENEW_MS or len(self._announced) >= MAX_UPSTREAMS:
            return
        self._announced[notice.upstream] = notice.announced_ms
        self._news.add(notice.upstream)
        self.has_new_announcement = True

    def announce(self, upstream: UpstreamId, now_ms: int) -> None:
        """Note that an upstream is leaving, as this host saw itself."""
        self.hear(LeavingUpstream(upstream, now_ms))

    def is_leaving(self, upstream: UpstreamId, now_ms: int) -> bool:
        """Return whether an upstream was announced a short time ago."""
        announced_ms = self._announced.get(upstream)
        return announced_ms is not None and now_ms < announced_ms + _KEEP_MS

    def expire(self, now_ms: int) -> None:
        """Forget old announcements."""
        old = [u for u, ms in self._announced.items() if ms + _KEEP_MS < now_ms]
        for upstream in old:
            del self._announced[upstream]
            self._news.drop(upstream)

    def take_news(self, hosts: int) -> list[LeavingUpstream]:
        """Return the announcements to pass on next, for a site of that many hosts."""
        names = [UpstreamId(name) for name in self._news.take(MAX_NOTICES, hosts)]
        return [LeavingUpstream(name, self._announced[name]) for name in names]
