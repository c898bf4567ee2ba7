"""Messages between the router and engines: batches of steps, orders, state and load reports."""

from enum import Enum

import msgspec

from minttide.ids import AdapterName, ModelVersion, Offset, RequestId, ServiceName, UpstreamId


class Step(msgspec.Struct, frozen=True):
    """One prefill or decode step of a request on one stage.

    At stage 0, a prefill step carries the whole prefix (prompt and delivered tokens) in `tokens`,
    and `position` is its length; a decode step carries only the token before `position`. Later
    stages get `handle`, under which the previous stage keeps its output: activations are
    transferred between engines, never through the router.
    """

    request: RequestId
    attempt: int
    position: int
    stage: int
    service: ServiceName
    version: ModelVersion
    first: int
    last: int  # layers first to last - 1
    final: bool  # the last stage samples a token
    prefill: bool
    tokens: list[int] = []
    handle: str = ""
    source: UpstreamId | None = None  # the engine that keeps the output of `handle`
    adapter: AdapterName | None = None
    priority: int = 0
    kv_handle: str | None = None  # import this KV cache before a prefill step


class StepError(Enum):
    """Why an engine did not run a step."""

    WRONG_LAYERS = "wrong-layers"
    WRONG_POSITION = "wrong-position"
    NO_MEMORY = "no-memory"
    NO_HANDLE = "no-handle"
    LEAVING = "leaving"
    CANCELLED = "cancelled"


class StepReply(msgspec.Struct, frozen=True):
    """An engine's reply to one step, identified by request, attempt, position and stage."""

    request: RequestId
    attempt: int
    position: int
    stage: int
    handle: str = ""
    token: int | None = None
    cached_tokens: int = 0
    error: StepError | None = None


class StepBatch(msgspec.Struct, frozen=True):
    """Steps of many requests in one message to one engine."""

    steps: list[Step]


class StepReplies(msgspec.Struct, frozen=True):
    """The replies to a batch, in any order; one may be missing."""

    replies: list[StepReply]


class Order(msgspec.Struct, frozen=True):
    """An order to hold these layers of this version and draw at most `watts`.

    Orders are absolute, not relative to the engine's state. `fencing` is the fencing token: the
    offset of the plan record that the order is derived from.
    """

    fencing: Offset
    service: ServiceName
    version: ModelVersion
    first: int
    last: int
    watts: int


class EngineState(msgspec.Struct, frozen=True):
    """An engine's state. `fencing` is the highest fencing token that it has accepted, or -1."""

    engine: UpstreamId
    fencing: Offset
    service: ServiceName
    version: ModelVersion
    first: int
    last: int
    watts: int
    loading: bool
    leaving: bool


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's load at `at_ms` by its own clock; reports arrive with a delay."""

    engine: UpstreamId
    at_ms: int
    streams: int
    queued_steps: int
    step_ms: float
    kv_free_mb: float


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was added to or evicted from an engine's cache. A jump in `sequence` is a gap."""

    engine: UpstreamId
    sequence: int
    prefix: str  # hex digest of the prefix's tokens
    tokens: int
    present: bool
