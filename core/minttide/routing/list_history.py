"""History of changes to the list of upstreams, so that a peer is sent only what it lacks."""

from collections.abc import Mapping

import msgspec

from minttide.ids import UpstreamId
from minttide.routing.routes import UpstreamEntry

MAX_REMOVED = 1_000
"""Removed upstreams that are kept in the history."""


class ListVersion(msgspec.Struct, frozen=True):
    """A version of one host's list. `epoch` is unique to a process of a host."""

    epoch: int
    number: int


NO_LIST_VERSION = ListVersion(0, 0)
"""The version of a host that has no list."""


class ListChanges(msgspec.Struct, frozen=True):
    """The changes from an earlier version of a list to the current one."""

    changed: list[UpstreamEntry] = []
    gone: list[UpstreamId] = []


class ListHistory:
    """Records the versions of one host's list."""

    def __init__(self, epoch: int):
        self.version = ListVersion(epoch, 0)
        self._changed: dict[UpstreamId, int] = {}
        self._removed: dict[UpstreamId, int] = {}
        self._oldest = 0  # the history holds all changes since this version

    def record(
        self,
        before: Mapping[UpstreamId, UpstreamEntry],
        after: Mapping[UpstreamId, UpstreamEntry],
    ) -> None:
        """Record the changes from `before`, the list's current state, to `after`, its next one."""
        number = self.version.number + 1
        self.version = ListVersion(self.version.epoch, number)
        for upstream, entry in after.items():
            if before.get(upstream) != entry:
                self._changed[upstream] = number
                self._removed.pop(upstream, None)
        for upstream in before.keys() - after.keys():
            self._changed.pop(upstream, None)
            self._removed[upstream] = number
        while len(self._removed) > MAX_REMOVED:
            first = min(self._removed, key=self._removed.__getitem__)
            self._oldest = max(self._oldest, self._removed.pop(first))

    def since(
        self, version: ListVersion, entries: Mapping[UpstreamId, UpstreamEntry]
    ) -> ListChanges | None:
        """Return the changes since a version, or None if the history doesn't reach back to it.

        `entries` is the current list.
        """
        if version.epoch != self.version.epoch or version.number < self._oldest:
            return None
        changed = [entries[u] for u, n in self._changed.items() if n > version.number]
        return ListChanges(changed, [u for u, n in self._removed.items() if n > version.number])
