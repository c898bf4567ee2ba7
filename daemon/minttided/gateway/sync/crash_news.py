"""Which news of crashes a host has exchanged with each peer."""

from minttide.ids import HostId
from minttide.policy.crash_news import NO_NEWS, NewsVersion
from minttide.policy.crash_reports import shift_times
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.sync.messages import CrashUpdate


class CrashNewsState:
    """Which news this host has exchanged with each peer. News carries ages, not times."""

    def __init__(self, state: GatewayState):
        self._state = state
        self._sent: dict[HostId, NewsVersion] = {}
        self._received: dict[HostId, NewsVersion] = {}

    @property
    def version(self) -> NewsVersion:
        """Return the version of all news of this host."""
        return self._state.crash_news.version

    def lacks_news(self, peer: HostId) -> bool:
        """Return whether there is news that wasn't sent to a peer."""
        return self._sent.get(peer, NO_NEWS) != self.version

    def make_request(self, peer: HostId) -> CrashUpdate:
        """Return the news that a peer lacks, for a request to it."""
        update = self._make_update(self._sent.get(peer, NO_NEWS))
        update.seen = self._received.get(peer, NO_NEWS)
        return update

    def needs_reply(self, request: CrashUpdate) -> bool:
        """Return whether the sender of a request lacks news, and is of a release that takes it."""
        return request.version != NO_NEWS and request.seen != self.version

    def make_reply(self, request: CrashUpdate) -> CrashUpdate:
        """Return the news that the sender of a request lacks."""
        return self._make_update(request.seen)

    def _make_update(self, since: NewsVersion) -> CrashUpdate:
        now = now_s()
        news = [shift_times(item, -now) for item in self._state.crash_news.since(since)]
        return CrashUpdate(news, self.version)

    def apply_request(self, request: CrashUpdate) -> None:
        """Apply the news of a request."""
        self._apply(request)

    def apply_reply(self, peer: HostId, request: CrashUpdate, reply: CrashUpdate) -> None:
        """Apply the news of a peer's reply to `request`, which the peer has received."""
        before = self._received.get(peer)
        self._received[peer] = reply.version
        # A process that started anew lacks what was sent to the one before it.
        restarted = before is not None and before.epoch != reply.version.epoch
        self._sent[peer] = NO_NEWS if restarted else request.version
        self._apply(reply)

    def _apply(self, update: CrashUpdate) -> None:
        now = now_s()
        self._state.prompt_crashes.add([shift_times(item, now) for item in update.news])
