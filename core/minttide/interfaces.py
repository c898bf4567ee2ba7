"""Interfaces to the platform, engines and upstreams, implemented by adapters elsewhere."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from minttide.ids import (
    AccountId,
    Address,
    HostId,
    IdempotencyKey,
    Offset,
    RequestId,
    ServiceName,
    StreamName,
    UpstreamId,
    ZoneId,
)
from minttide.steps import (
    CacheEvent,
    EngineState,
    LoadReport,
    Order,
    StepBatch,
    StepReplies,
)


class LogUnavailableError(Exception):
    """The platform log refused the call or could not be reached; nothing was appended."""


class LogUncertainError(Exception):
    """The response to an append was lost; the record may be in the log or still be appended."""


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a log stream."""

    offset: Offset
    payload: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Records read from a log stream.

    `first` is the oldest offset still retained, `end` the offset of the next append. A read below
    `first` starts at `first`.
    """

    first: Offset
    end: Offset
    records: list[LogRecord]


class PlatformLog(Protocol):
    """The platform's append-only log service."""

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Append one record and return its offset.

        Raises `LogUnavailableError` if it was not appended and `LogUncertainError` if that is
        unknown.
        """

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read up to `limit` records from `start`, waiting up to `wait_s` for the first.

        Raises `LogUnavailableError`.
        """


class ListedHost(msgspec.Struct, frozen=True):
    """An entry of the platform's host list: an entry host, engine or upstream."""

    id: str
    group: str
    address: Address
    zone: ZoneId
    leaving: bool


class HostList(Protocol):
    """The platform's list of running and leaving hosts, which lags behind their actual state."""

    async def list(self) -> Sequence[ListedHost]:
        """Return the whole list. Raises `OSError` if it can't be read."""


class EngineError(Exception):
    """An engine could not be reached, or the connection broke before its response."""


class StaleFencingError(Exception):
    """An engine refused an order because it has accepted a newer fencing token."""


def always_allowed() -> bool:
    """Return true: the default `may_send`, by which a message may be sent at any time."""
    return True


class EngineClient(Protocol):
    """A client of one model engine. Every call raises `EngineError` if the engine can't answer."""

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps."""

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Discard all state that the engine keeps for these requests."""

    async def read_state(self) -> EngineState:
        """Read the engine's current state."""

    async def order(
        self, order: Order, may_send: Callable[[], bool] = always_allowed
    ) -> EngineState:
        """Send an order. Raises `StaleFencingError` if the engine rejects its fencing token.

        `may_send` is called once the connection to the engine is established; the order is then
        sent at once or, if it returns false, not at all (`EngineError`). An order therefore never
        reaches an engine process that started after its sender was last allowed to send it.
        """

    async def report(self) -> LoadReport:
        """Read the engine's latest load report."""

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the retained cache events with a sequence number above `after`."""

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return a handle for its import."""


class CallNotSentError(Exception):
    """No byte of the call left this host, so it has not run."""


class CallOutcomeUnknownError(Exception):
    """The connection broke after the call may have been sent; whether it ran is unknown."""


class UpstreamCall(msgspec.Struct, frozen=True):
    """A call to a plain service. Headers are pairs of lower-case name and value."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class UpstreamReply(msgspec.Struct, frozen=True):
    """The complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class KeyedCall(msgspec.Struct, frozen=True):
    """A call with an idempotency key of one account. `deadline` is event loop time in seconds."""

    account: AccountId
    service: ServiceName
    key: IdempotencyKey
    call: UpstreamCall
    deadline: float


class UpstreamClient(Protocol):
    """A client of one process of a plain service."""

    async def call(self, call: UpstreamCall, timeout_s: float) -> UpstreamReply:
        """Make one call, on a connection that no other call has used.

        Raises `CallNotSentError` or `CallOutcomeUnknownError`.
        """


class ClientFactory(Protocol):
    """Returns clients by address; tests substitute fakes."""

    def engine(self, engine: UpstreamId, address: Address) -> EngineClient:
        """Return the client of an engine."""

    def upstream(self, address: Address) -> UpstreamClient:
        """Return the client of a plain service's process."""


class MemberView(msgspec.Struct, frozen=True):
    """One entry host as seen by this host."""

    host: HostId
    incarnation: int
    zone: ZoneId
    callers: Address
    peer: Address
    leaving: bool
    suspect: bool
    load: float  # 0 to 1: of a daemon its open streams, of a gateway the level that it reports
    applied: Offset  # configuration offset in force there
    cut_off: tuple[ServiceName, ...] = ()  # services whose upstreams it can't reach
