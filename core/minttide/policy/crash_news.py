"""The news of one host for others, by version, so that each item is passed on once."""

import secrets
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import msgspec

from minttide.policy.crash_reports import CrashNews, CrashReport, PartBlock, PartStart

MAX_NEWS = 4096
"""Items kept for hosts that haven't received them yet."""

MAX_FIRST_NEWS = 256
"""Items sent to a host that has received none yet, beside the blocks."""

_EPOCH_BITS = 63


class NewsVersion(msgspec.Struct, frozen=True, array_like=True):
    """How many items of one process's news have been received; `epoch` identifies the process."""

    epoch: int = 0
    items: int = 0


NO_NEWS = NewsVersion()


class CrashNewsLog:
    """The latest news of one host, from itself and from others.

    A host that has received another process's news, or too little of it, gets `blocks` first, since
    the items that led to them may no longer be kept.
    """

    def __init__(self, blocks: Callable[[], Iterable[PartBlock]]) -> None:
        self._blocks = blocks
        self._epoch = 1 + secrets.randbits(_EPOCH_BITS)
        self._items: deque[CrashReport | PartStart | PartBlock] = deque(maxlen=MAX_NEWS)
        self._added = 0

    @property
    def version(self) -> NewsVersion:
        """Return the version that includes all news so far."""
        return NewsVersion(self._epoch, self._added)

    def append(self, item: CrashNews) -> None:
        """Add an item."""
        self._items.append(item)
        self._added += 1

    def since(self, version: NewsVersion) -> Sequence[CrashNews]:
        """Return the news after `version`."""
        missing = self._added - version.items
        if version.epoch != self._epoch or not 0 <= missing <= len(self._items):
            return [*self._blocks(), *list(self._items)[-MAX_FIRST_NEWS:]]
        return list(self._items)[len(self._items) - missing :]
