"""Narrow interfaces to the platform, engines and upstreams. Adapters stay behind them."""

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
    """The platform log refused or could not be reached; nothing was appended."""


class LogUncertainError(Exception):
    """An append's answer was lost; the record may stand in the log or may still arrive there."""


class LogRecord(msgspec.Struct, frozen=True):
    """One record as it stands in a stream."""

    offset: Offset
    payload: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Records from the log. `first` is the oldest offset still kept, `end` the next to be given.

    A read below `first` starts at `first`.
    """

    first: Offset
    end: Offset
    records: list[LogRecord]


class PlatformLog(Protocol):
    """The platform's append-only log service."""

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Append one record and return its offset.

        Raises `LogUnavailableError` when it was not appended, `LogUncertainError` when unknown.
        """

    async def read(
        self, stream: StreamName, start: Offset, limit: int, wait_s: float = 0.0
    ) -> LogPage:
        """Read up to `limit` records from `start`, waiting up to `wait_s` for the first.

        Raises `LogUnavailableError`.
        """


class ListedHost(msgspec.Struct, frozen=True):
    """An entry of the platform's lagging list: an entry host, engine or upstream."""

    id: str
    group: str
    address: Address
    zone: ZoneId
    leaving: bool


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which lags."""

    async def list(self) -> Sequence[ListedHost]:
        """Return the whole list. Raises `OSError` when it can't be had."""


class EngineError(Exception):
    """An engine could not be reached or broke the exchange off."""


class StaleFencingError(Exception):
    """An engine refused an order because it has taken a newer fencing number."""


def always() -> bool:
    """Let a message be sent at any time."""
    return True


class EngineClient(Protocol):
    """One model engine. Every call raises `EngineError` when the engine can't answer."""

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps."""

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Drop all that the engine keeps for these requests."""

    async def read_state(self) -> EngineState:
        """Read what the engine holds now."""

    async def order(self, order: Order, may_send: Callable[[], bool] = always) -> EngineState:
        """Give an order. Raises `StaleFencingError` where the engine checks the number.

        `may_send` is asked once a connection to the engine stands, and the order is sent at once
        or, when it returns false, not at all (`EngineError`). So an order reaches no process of the
        engine that started after its sender was last allowed to send it.
        """

    async def report(self) -> LoadReport:
        """Read the engine's last load report."""

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return cache events with a sequence above `after`, as far as they are still kept."""

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return the handle to import it by."""


class CallNotSentError(Exception):
    """No byte of the call left this host; it has not run."""


class CallOutcomeUnknownError(Exception):
    """The exchange broke off after the call may have left; whether it ran is unknown."""


class UpstreamCall(msgspec.Struct, frozen=True):
    """A call to a plain service. Headers are lower-case names with values."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class UpstreamReply(msgspec.Struct, frozen=True):
    """The whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class KeyedCall(msgspec.Struct, frozen=True):
    """A call with an idempotency key, for one account. `deadline` is in loop time, seconds."""

    account: AccountId
    service: ServiceName
    key: IdempotencyKey
    call: UpstreamCall
    deadline: float


class UpstreamClient(Protocol):
    """A process of a plain service."""

    async def call(self, call: UpstreamCall, fresh: bool, timeout_s: float) -> UpstreamReply:
        """Make one call, on a connection opened for it when `fresh`.

        Raises `CallNotSentError` or `CallOutcomeUnknownError`.
        """


class ClientFactory(Protocol):
    """Gives the clients for addresses, so that tests can put fakes in their place."""

    def engine(self, engine: UpstreamId, address: Address) -> EngineClient:
        """Return the client of an engine."""

    def upstream(self, address: Address) -> UpstreamClient:
        """Return the client of a plain service's process."""


class MemberView(msgspec.Struct, frozen=True):
    """What this host believes of one entry host."""

    host: HostId
    incarnation: int
    zone: ZoneId
    callers: Address
    peer: Address
    leaving: bool
    suspect: bool
    load: float  # open streams over the bound, 0 to 1
    applied: Offset  # configuration offset in force there
