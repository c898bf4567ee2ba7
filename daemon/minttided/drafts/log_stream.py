"""Interface to the followers of platform log streams, and the encoding of records."""

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from minttide.folds.fold import ChangeResult, Fold
from minttide.ids import Offset, StreamName
from minttide.records import RECORD_FORMAT, Body, Envelope, encode
from minttided.node import Node


class StreamFollower(Protocol):
    """Reads one stream of the platform log and applies its records to a fold."""

    async def wait_synced(self) -> None:
        """Wait until the stream has been read to its end once."""

    async def wait_applied(self, offset: Offset) -> None:
        """Wait until the record at `offset` has been applied to the fold."""

    async def append(self, payload: bytes) -> Offset:
        """Append a record to the stream; raises the same errors as `PlatformLog.append`."""


OnResults = Callable[[Sequence[ChangeResult]], None]
FollowStream = Callable[[StreamName, Fold, OnResults], AbstractAsyncContextManager[StreamFollower]]


def encode_record(node: Node, body: Body) -> bytes:
    """Encode a record of `node` with the current time."""
    return encode(Envelope(RECORD_FORMAT, node.cfg.host, node.incarnation, node.wall_ms(), body))
