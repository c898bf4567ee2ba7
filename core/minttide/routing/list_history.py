"""What has changed in the list of upstreams, so that a peer is told only what it lacks."""

from collections.abc import Mapping

import msgspec

from minttide.ids import UpstreamId
from minttide.routing.routes import UpstreamEntry

MAX_REMOVED = 1_000
"""Upstreams that have left the list and are still remembered."""


class ListVersion(msgspec.Struct, frozen=True):
    """A state of one host's list. `epoch` tells apart hosts, and processes of one host."""

    epoch: int
    number: int


NO_LIST_VERSION = ListVersion(0, 0)
"""Stands for a host that has no list."""


class ListChanges(msgspec.Struct, frozen=True):
    """What leads from one state of a list to the present one."""

    changed: list[UpstreamEntry] = []
    gone: list[UpstreamId] = []


class ListHistory:
    """The versions of one host's list."""

    def __init__(self, epoch: int):
        self.version = ListVersion(epoch, 0)
        self._changed: dict[UpstreamId, int] = {}
        self._gone: dict[UpstreamId, int] = {}
        self._oldest = 0  # changes since this version are known

    def record(
        self,
        before: Mapping[UpstreamId, UpstreamEntry],
        after: Mapping[UpstreamId, UpstreamEntry],
    ) -> None:
        """Take in the next state of the list."""
        number = self.version.number + 1
        self.version = ListVersion(self.version.epoch, number)
        for upstream, entry in after.items():
            if before.get(upstream) != entry:
                self._changed[upstream] = number
                self._gone.pop(upstream, None)
        for upstream in before.keys() - after.keys():
            self._changed.pop(upstream, None)
            self._gone[upstream] = number
        while len(self._gone) > MAX_REMOVED:
            first = min(self._gone, key=self._gone.__getitem__)
            self._oldest = max(self._oldest, self._gone.pop(first))

    def since(
        self, version: ListVersion, entries: Mapping[UpstreamId, UpstreamEntry]
    ) -> ListChanges | None:
        """Return what has changed since a version, none where that isn't known any more.

        `entries` is the list as it is now.
        """
        if version.epoch != self.version.epoch or version.number < self._oldest:
            return None
        changed = [entries[u] for u, n in self._changed.items() if n > version.number]
        return ListChanges(changed, [u for u, n in self._gone.items() if n > version.number])
