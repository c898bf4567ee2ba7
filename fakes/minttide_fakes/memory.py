"""In-memory platform log and host list, with fault injection."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from minttide.ids import HostId, Offset, StreamName
from minttide.interfaces import (
    ListedHost,
    LogPage,
    LogRecord,
    LogUnavailableError,
    LogUncertainError,
)
from minttide_fakes.faults import AppendFault, FaultInjector, ScheduledFault


@dataclass
class _Stream:
    first: int = 0
    payloads: list[bytes] = field(default_factory=list)
    written_s: list[float] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.payloads)


class MemoryLog:
    """An in-memory platform log. `down` simulates an outage; `delay_s` delays every call.

    `keep_records` and `keep_s` limit the retention by count and by age; `appends_per_s` limits the
    rate of appends over all streams.
    """

    def __init__(
        self,
        seed: int = 0,
        keep_records: int | None = None,
        keep_s: float | None = None,
        appends_per_s: float | None = None,
    ) -> None:
        self.faults = FaultInjector(seed)
        self.delay_s = 0.0
        self.keep_records = keep_records
        self.keep_s = keep_s
        self.appends_per_s = appends_per_s
        self.appends = 0
        self.reads = 0
        self.bytes_appended = 0
        self._streams: dict[StreamName, _Stream] = {}
        self._down = False
        self._next_append_s = 0.0
        self._delayed: set[asyncio.TimerHandle] = set()

    @property
    def down(self) -> bool:
        """Return whether an outage is simulated."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        for stream in self._streams.values():
            _notify_readers(stream)

    def view(self, host: HostId) -> "HostLog":
        """Return the log as seen by one host, with faults of its own."""
        return HostLog(self, host)

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Append one record as `PlatformLog.append`, with the faults of the log."""
        return await self.append_with(self.faults, stream, payload)

    async def append_with(
        self, faults: FaultInjector, stream: StreamName, payload: bytes
    ) -> Offset:
        """Append one record with the faults of `faults`."""
        await self._delay_append()
        if self._down:
            raise LogUnavailableError("the log has an outage")
        scheduled = faults.next_for(stream)
        if scheduled is None:
            return self.put(stream, payload)
        return self._append_with_fault(scheduled, stream, payload)

    async def _delay_append(self) -> None:
        loop = asyncio.get_running_loop()
        wait_s = self.delay_s
        if self.appends_per_s:
            self._next_append_s = max(self._next_append_s, loop.time()) + 1.0 / self.appends_per_s
            wait_s += self._next_append_s - loop.time()
        await asyncio.sleep(wait_s)

    def _append_with_fault(
        self, scheduled: ScheduledFault, stream: StreamName, payload: bytes
    ) -> Offset:
        match scheduled.fault:
            case AppendFault.REFUSED:
                raise LogUnavailableError("the log rejected the append")
            case AppendFault.ANSWER_LOST:
                self.put(stream, payload)
            case AppendFault.LANDS_LATER:
                self._put_delayed(scheduled.delay_s, stream, payload)
            case AppendFault.REPEATED:
                offset = self.put(stream, payload)
                self.put(stream, payload)
                return offset
        raise LogUncertainError("the response to the append was lost")

    def _put_delayed(self, delay_s: float, stream: StreamName, payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        self._delayed.add(loop.call_later(delay_s, self.put, stream, payload))

    def put(self, stream: StreamName, payload: bytes) -> Offset:
        """Append a record immediately, without faults or delay, and return its offset."""
        stream_state = self._stream(stream)
        stream_state.payloads.append(payload)
        stream_state.written_s.append(_now_s())
        self.appends += 1
        self.bytes_appended += len(payload)
        offset = Offset(stream_state.end - 1)
        self._apply_retention(stream_state)
        _notify_readers(stream_state)
        return offset

    def _stream(self, stream: StreamName) -> _Stream:
        return self._streams.setdefault(stream, _Stream())

    def _apply_retention(self, stream_state: _Stream) -> None:
        drop = 0
        if self.keep_records is not None:
            drop = max(0, len(stream_state.payloads) - self.keep_records)
        if self.keep_s is not None:
            cutoff_s = _now_s() - self.keep_s
            drop = max(drop, sum(1 for written_s in stream_state.written_s if written_s < cutoff_s))
        self._drop_first(stream_state, drop)

    def _drop_first(self, stream_state: _Stream, count: int) -> None:
        stream_state.first += count
        del stream_state.payloads[:count]
        del stream_state.written_s[:count]

    def expire(self, stream: StreamName, before: int) -> None:
        """Delete the records of a stream below offset `before`."""
        stream_state = self._stream(stream)
        self._drop_first(
            stream_state, min(max(0, before - stream_state.first), len(stream_state.payloads))
        )

    def records(self, stream: StreamName) -> list[LogRecord]:
        """Return the retained records of a stream."""
        stream_state = self._stream(stream)
        return [
            LogRecord(Offset(stream_state.first + i), p)
            for i, p in enumerate(stream_state.payloads)
        ]

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read a page, waiting up to `wait_s` for a record at `start`."""
        self.reads += 1
        await asyncio.sleep(self.delay_s)
        stream_state = self._stream(stream)
        self._apply_retention(stream_state)
        if stream_state.end <= start and wait_s > 0 and not self._down:
            await _wait_for_event(stream_state.changed, wait_s)
        if self._down:
            raise LogUnavailableError("the log has an outage")
        return _make_page(stream_state, start, limit)


class HostLog:
    """The platform log as seen by one host. `cut` disconnects the host from the log."""

    def __init__(self, log: MemoryLog, host: HostId) -> None:
        self.host = host
        self.faults = FaultInjector(sum(host.encode()))
        self.on_append: Callable[[StreamName, bytes], None] | None = None
        self._log = log
        self._cut = asyncio.Event()

    @property
    def cut(self) -> bool:
        """Return whether the host is disconnected from the log."""
        return self._cut.is_set()

    @cut.setter
    def cut(self, value: bool) -> None:
        if value:
            self._cut.set()
        else:
            self._cut.clear()

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Append one record as `PlatformLog.append`."""
        self._check()
        if self.on_append is not None:
            self.on_append(stream, payload)
        scheduled = self.faults.next_for(stream)
        if scheduled is None:
            return await self._log.append(stream, payload)
        once = FaultInjector()
        once.inject(scheduled.fault, delay_s=scheduled.delay_s)
        return await self._log.append_with(once, stream, payload)

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read a page as `PlatformLog.read`; a waiting read fails when the host is cut."""
        self._check()
        reading = asyncio.ensure_future(self._log.read(stream, start, limit, wait_s))
        cut = asyncio.ensure_future(self._cut.wait())
        try:
            await asyncio.wait({reading, cut}, return_when=asyncio.FIRST_COMPLETED)
            self._check()
            return await reading
        finally:
            cut.cancel()
            reading.cancel()

    def _check(self) -> None:
        if self.cut:
            raise LogUnavailableError("this host can't reach the log")


class MemoryHostList:
    """An in-memory host list. Changes become visible after `lag_s`; with `down`, reads fail."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self._hosts: dict[str, list[tuple[float, ListedHost | None]]] = {}

    def put(self, host: ListedHost) -> None:
        """Add a host to the list, or replace its entry."""
        self._hosts.setdefault(host.id, []).append((_now_s(), host))

    def remove(self, host_id: str) -> None:
        """Remove a host from the list."""
        self._hosts.setdefault(host_id, []).append((_now_s(), None))

    async def list(self) -> Sequence[ListedHost]:
        """Return the list as of `lag_s` ago. Raises `OSError` when down."""
        await asyncio.sleep(0)
        if self.down:
            raise OSError("the host list can't be reached")
        entries = [_as_of(changes, _now_s() - self.lag_s) for changes in self._hosts.values()]
        return [host for host in entries if host is not None]


def _as_of(changes: list[tuple[float, ListedHost | None]], time_s: float) -> ListedHost | None:
    visible = [host for changed_s, host in changes if changed_s <= time_s]
    return visible[-1] if visible else None


def _now_s() -> float:
    """Return the event loop's time in seconds, or 0 if no loop is running."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0


def _notify_readers(stream: _Stream) -> None:
    stream.changed.set()
    stream.changed = asyncio.Event()


async def _wait_for_event(event: asyncio.Event, wait_s: float) -> None:
    # Not `wait_for`: on Python 3.11 it swallows a cancellation that coincides with the event.
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return


def _make_page(stream_state: _Stream, start: int, limit: int) -> LogPage:
    begin = max(start, stream_state.first)
    payloads = stream_state.payloads[begin - stream_state.first :][:limit]
    records = [LogRecord(Offset(begin + i), p) for i, p in enumerate(payloads)]
    return LogPage(Offset(stream_state.first), Offset(stream_state.end), records)
