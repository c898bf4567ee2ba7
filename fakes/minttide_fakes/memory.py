"""The platform's log and host list in memory, with faults that a test can order or draw."""

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
    """The platform log. `down` is an outage, `delay_s` slowness of every call.

    `keep_records` and `keep_s` limit retention by count and by age; `appends_per_s` limits the rate
    of appends over all streams.
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
        self._free_at = 0.0
        self._late: set[asyncio.TimerHandle] = set()

    @property
    def down(self) -> bool:
        """Return whether the log has an outage."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        for stream in self._streams.values():
            _wake(stream)

    def view(self, host: HostId) -> "HostLog":
        """Return the log as one host reaches it, with its own faults."""
        return HostLog(self, host)

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Append one record, unless a fault says otherwise."""
        return await self.append_with(self.faults, stream, payload)

    async def append_with(
        self, faults: FaultInjector, stream: StreamName, payload: bytes
    ) -> Offset:
        """Append one record under the faults of `faults`."""
        await self._pace()
        if self._down:
            raise LogUnavailableError("the log has an outage")
        ordered = faults.next_for(stream)
        if ordered is None:
            return self.put(stream, payload)
        return self._append_faulty(ordered, stream, payload)

    async def _pace(self) -> None:
        loop = asyncio.get_running_loop()
        wait_s = self.delay_s
        if self.appends_per_s:
            self._free_at = max(self._free_at, loop.time()) + 1.0 / self.appends_per_s
            wait_s += self._free_at - loop.time()
        await asyncio.sleep(wait_s)

    def _append_faulty(self, ordered: ScheduledFault, stream: StreamName, payload: bytes) -> Offset:
        match ordered.fault:
            case AppendFault.REFUSED:
                raise LogUnavailableError("the log refused the append")
            case AppendFault.ANSWER_LOST:
                self.put(stream, payload)
            case AppendFault.LANDS_LATER:
                self._put_later(ordered.delay_s, stream, payload)
            case AppendFault.REPEATED:
                offset = self.put(stream, payload)
                self.put(stream, payload)
                return offset
        raise LogUncertainError("the answer of the append was lost")

    def _put_later(self, delay_s: float, stream: StreamName, payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        self._late.add(loop.call_later(delay_s, self.put, stream, payload))

    def put(self, stream: StreamName, payload: bytes) -> Offset:
        """Put a record into a stream at once, past all faults, and return its offset."""
        held = self._stream(stream)
        held.payloads.append(payload)
        held.written_s.append(_now_s())
        self.appends += 1
        self.bytes_appended += len(payload)
        offset = Offset(held.end - 1)
        self._drop_old(held)
        _wake(held)
        return offset

    def _stream(self, stream: StreamName) -> _Stream:
        return self._streams.setdefault(stream, _Stream())

    def _drop_old(self, held: _Stream) -> None:
        drop = 0
        if self.keep_records is not None:
            drop = max(0, len(held.payloads) - self.keep_records)
        if self.keep_s is not None:
            oldest_s = _now_s() - self.keep_s
            drop = max(drop, sum(1 for written_s in held.written_s if written_s < oldest_s))
        self._drop(held, drop)

    def _drop(self, held: _Stream, count: int) -> None:
        held.first += count
        del held.payloads[:count]
        del held.written_s[:count]

    def expire(self, stream: StreamName, before: int) -> None:
        """Drop all records of a stream below offset `before`."""
        held = self._stream(stream)
        self._drop(held, min(max(0, before - held.first), len(held.payloads)))

    def records(self, stream: StreamName) -> list[LogRecord]:
        """Return the records that a stream still keeps, for a test to look at."""
        held = self._stream(stream)
        return [LogRecord(Offset(held.first + i), p) for i, p in enumerate(held.payloads)]

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read a page, waiting up to `wait_s` for a record at `start`."""
        self.reads += 1
        await asyncio.sleep(self.delay_s)
        held = self._stream(stream)
        self._drop_old(held)
        if held.end <= start and wait_s > 0 and not self._down:
            await _wait(held.changed, wait_s)
        if self._down:
            raise LogUnavailableError("the log has an outage")
        return _page(held, start, limit)


class HostLog:
    """The platform log as one host reaches it. `cut` parts the host from the log."""

    def __init__(self, log: MemoryLog, host: HostId) -> None:
        self.host = host
        self.faults = FaultInjector(sum(host.encode()))
        self.on_append: Callable[[StreamName, bytes], None] | None = None
        self._log = log
        self._cut = asyncio.Event()

    @property
    def cut(self) -> bool:
        """Return whether the host is cut from the log."""
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
        ordered = self.faults.next_for(stream)
        if ordered is None:
            return await self._log.append(stream, payload)
        own = FaultInjector()
        own.inject(ordered.fault, delay_s=ordered.delay_s)
        return await self._log.append_with(own, stream, payload)

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read a page as `PlatformLog.read`; a cut ends a read that waits."""
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
    """The platform's host list. A change shows after `lag_s`; `down` lets reads fail."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self._hosts: dict[str, list[tuple[float, ListedHost | None]]] = {}

    def put(self, host: ListedHost) -> None:
        """List a host, or change its entry."""
        self._hosts.setdefault(host.id, []).append((_now_s(), host))

    def remove(self, host_id: str) -> None:
        """Take a host off the list."""
        self._hosts.setdefault(host_id, []).append((_now_s(), None))

    async def list(self) -> Sequence[ListedHost]:
        """Return the list as it stood `lag_s` ago. Raises `OSError` when down."""
        await asyncio.sleep(0)
        if self.down:
            raise OSError("the host list can't be reached")
        shown = [_as_of(changes, _now_s() - self.lag_s) for changes in self._hosts.values()]
        return [host for host in shown if host is not None]


def _as_of(changes: list[tuple[float, ListedHost | None]], when_s: float) -> ListedHost | None:
    seen = [host for changed_s, host in changes if changed_s <= when_s]
    return seen[-1] if seen else None


def _now_s() -> float:
    """Return the loop's time in seconds, or 0 where no loop runs yet."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0


def _wake(stream: _Stream) -> None:
    stream.changed.set()
    stream.changed = asyncio.Event()


async def _wait(event: asyncio.Event, wait_s: float) -> None:
    # Not `wait_for`: on Python 3.11 it loses a cancellation that comes together with the event.
    try:
        async with asyncio.timeout(wait_s):
            await event.wait()
    except TimeoutError:
        return


def _page(held: _Stream, start: int, limit: int) -> LogPage:
    begin = max(start, held.first)
    chosen = held.payloads[begin - held.first :][:limit]
    records = [LogRecord(Offset(begin + i), p) for i, p in enumerate(chosen)]
    return LogPage(Offset(held.first), Offset(held.end), records)
