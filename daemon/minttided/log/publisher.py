"""Publishes service files through the platform log and resolves appends with unknown outcome."""

import asyncio
import logging
import uuid
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import Enum
from typing import Any, Self

import msgspec

from minttide.config.service import ServiceFile
from minttide.folds.config import ConfigFold
from minttide.folds.fold import ChangeResult, Decision
from minttide.ids import (
    CONFIG_STREAM,
    HostId,
    Incarnation,
    Offset,
    PublishId,
    ServiceName,
)
from minttide.interfaces import LogUnavailableError, LogUncertainError, PlatformLog
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttided.log.follower import Follower
from minttided.node import read_wall_ms

log = logging.getLogger(__name__)

SYNC_TIMEOUT_S = 10.0
PUBLISH_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.2

NEWER_FORMAT_DETAIL = "the log has a record of a newer format; use a newer version of minttide"


class ServiceAction(Enum):
    """What a publish does to one service."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


class Edit(msgspec.Struct, frozen=True):
    """One value of a service file that changes; an absent value is None.

    `place` is the JSON path of the value.
    """

    place: str
    before: Any
    after: Any


class Difference(msgspec.Struct, frozen=True):
    """The change of one service against the configuration in force.

    `seen` is the offset of the last change of the service when the difference was computed.
    """

    service: ServiceName
    action: ServiceAction
    seen: Offset
    file: ServiceFile | None
    edits: list[Edit] = []


class PublishResult(Enum):
    """The result of a publish."""

    ACCEPTED = "accepted"
    LOST = "lost"  # another publish changed one of the services first
    REJECTED = "rejected"
    UNKNOWN = "unknown"  # the log could not be read back in time


class Publication(msgspec.Struct, frozen=True):
    """The outcome of a publish. `offset` is the offset of its record in the log, or -1."""

    publish_id: PublishId
    result: PublishResult = msgspec.field(name="settled")
    offset: Offset = Offset(-1)
    detail: str = ""


class ConfigUnknownError(Exception):
    """The configuration in force can't be read."""


def find_differences(
    fold: ConfigFold, files: Sequence[ServiceFile], withdrawn: Sequence[ServiceName] = ()
) -> list[Difference]:
    """Return how `files` and withdrawals differ from the configuration of `fold`."""
    found = [_find_difference(fold, file) for file in files]
    found += [
        Difference(name, ServiceAction.WITHDRAW, fold.changed(name), None)
        for name in withdrawn
        if fold.find(name) is not None
    ]
    return [difference for difference in found if difference is not None]


def _find_difference(fold: ConfigFold, file: ServiceFile) -> Difference | None:
    before = fold.find(file.service)
    if before == file:
        return None
    action = ServiceAction.ADD if before is None else ServiceAction.CHANGE
    edits = [] if before is None else list_edits(_to_builtins(before), _to_builtins(file))
    return Difference(file.service, action, fold.changed(file.service), file, edits)


def _to_builtins(file: ServiceFile) -> Any:
    return msgspec.to_builtins(file)


def list_edits(before: Any, after: Any, place: str = "$") -> list[Edit]:
    """Return the places at which two decoded JSON values differ."""
    if isinstance(before, dict) and isinstance(after, dict):
        keys = [*before, *(key for key in after if key not in before)]
        pairs = [(f"{place}.{key}", before.get(key), after.get(key)) for key in keys]
    elif isinstance(before, list) and isinstance(after, list):
        pairs = [
            (f"{place}[{i}]", _get_item(before, i), _get_item(after, i))
            for i in range(max(len(before), len(after)))
        ]
    else:
        return [] if before == after else [Edit(place, before, after)]
    return [edit for at, old, new in pairs for edit in list_edits(old, new, at)]


def _get_item(values: list[Any], index: int) -> Any:
    return values[index] if index < len(values) else None


class Publisher:
    """Publishes for an operator; a context manager that follows the log while it is open."""

    def __init__(
        self,
        platform_log: PlatformLog,
        author: str,
        now_ms: Callable[[], int] = read_wall_ms,
    ) -> None:
        self.fold = ConfigFold()
        self._author = author
        self._now_ms = now_ms
        self._host = HostId(f"publisher-{uuid.uuid4().hex[:12]}")
        self._change_results: dict[PublishId, ChangeResult] = {}
        self._follower = Follower(
            platform_log, CONFIG_STREAM, self.fold, self._collect_change_results
        )

    async def __aenter__(self) -> Self:
        await self._follower.__aenter__()
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                await self._follower.wait_synced()
        except TimeoutError:
            await self._follower.__aexit__(None, None, None)
            raise ConfigUnknownError(
                "the configuration could not be read from the platform log"
            ) from None
        if self._follower.stopped:
            await self._follower.__aexit__(None, None, None)
            raise ConfigUnknownError(NEWER_FORMAT_DETAIL)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._follower.__aexit__(*exc)

    def _collect_change_results(self, change_results: Sequence[ChangeResult]) -> None:
        for change_result in change_results:
            if isinstance(change_result.body, Publish) and change_result.host == self._host:
                self._change_results.setdefault(change_result.body.publish_id, change_result)

    async def publish(self, differences: Sequence[Difference]) -> Publication:
        """Publish the differences atomically, and resolve appends with an unknown outcome."""
        publish_id = PublishId(uuid.uuid4().hex)
        changes = [ServiceChange(d.service, d.seen, d.file) for d in differences]
        body = Publish(publish_id, self._author, changes)
        envelope = Envelope(RECORD_FORMAT, self._host, Incarnation(0), self._now_ms(), body)
        payload = encode(envelope)
        try:
            async with asyncio.timeout(PUBLISH_TIMEOUT_S):
                return await self._append_until_visible(publish_id, payload)
        except TimeoutError:
            detail = "the platform log did not confirm it in time; publishing again is safe"
            return Publication(publish_id, PublishResult.UNKNOWN, detail=detail)

    async def _append_until_visible(self, publish_id: PublishId, payload: bytes) -> Publication:
        """Append until the record is read back; the fold accepts at most one of its copies."""
        while True:
            try:
                await self._follower.append(payload)
            except LogUncertainError:
                log.info("append uncertain", extra={"publish": publish_id})
            except LogUnavailableError:
                log.info("platform log unavailable", extra={"publish": publish_id})
            if await self._read_change_result(publish_id):
                return self._publication(publish_id)
            if self._follower.stopped:
                # Hosts of the newer version may accept the record; this version can't decide that.
                return Publication(publish_id, PublishResult.UNKNOWN, detail=NEWER_FORMAT_DETAIL)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read_change_result(self, publish_id: PublishId) -> bool:
        try:
            await self._follower.read_to_end()
        except (LogUnavailableError, TimeoutError):
            return False
        return publish_id in self._change_results

    def _publication(self, publish_id: PublishId) -> Publication:
        change_result = self._change_results[publish_id]
        result = _RESULTS.get(change_result.decision, PublishResult.REJECTED)
        return Publication(publish_id, result, change_result.offset, change_result.detail)


_RESULTS = {
    Decision.ACCEPTED: PublishResult.ACCEPTED,
    Decision.REPEATED: PublishResult.ACCEPTED,
    Decision.STALE: PublishResult.LOST,
}

ReadAppliedOffsets = Callable[[], Awaitable[Mapping[HostId, Offset]]]
"""Reads the configuration offset that each live host has applied, by host."""


async def wait_until_applied(
    read_applied: ReadAppliedOffsets, offset: Offset, timeout_s: float
) -> Mapping[HostId, Offset]:
    """Wait until every live host has applied `offset`; return the lagging hosts with their offset.

    Returns after `timeout_s` seconds at the latest.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    while True:
        applied = await read_applied()
        lagging = {host: at for host, at in applied.items() if at < offset}
        in_force = bool(applied) and not lagging
        if in_force or asyncio.get_running_loop().time() >= deadline:
            return lagging
        await asyncio.sleep(POLL_INTERVAL_S)
