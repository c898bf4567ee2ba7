"""What the parts of a daemon ask of a follower of a log stream."""

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from minttide.agree.fold import Fold, Verdict
from minttide.ids import Offset, StreamName
from minttide.records import FORMAT, Body, Envelope, encode
from minttided.node import Node


class StreamFollower(Protocol):
    """Follows one stream of the platform log into a fold."""

    async def wait_synced(self) -> None:
        """Wait until the stream's state is known and has been read to its end once."""

    async def wait_applied(self, offset: Offset) -> None:
        """Wait until the record at `offset` has been folded."""

    async def append(self, payload: bytes) -> Offset:
        """Append to the stream. Raises as `PlatformLog.append`."""


OnVerdicts = Callable[[Sequence[Verdict]], None]
Follow = Callable[[StreamName, Fold, OnVerdicts], AbstractAsyncContextManager[StreamFollower]]


def seal(node: Node, body: Body) -> bytes:
    """Encode a record that `node` writes now."""
    return encode(Envelope(FORMAT, node.cfg.host, node.incarnation, node.wall_ms(), body))
