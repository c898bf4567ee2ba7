"""Messages between router and engines: steps of many requests, orders, state and reports."""

from enum import Enum

import msgspec

from minttide.ids import AdapterName, ModelVersion, Offset, RequestId, ServiceName, UpstreamId


class Step(msgspec.Struct, frozen=True):
    """One request's work for one stage at one position.

    A prefill step has the whole `tokens` prefix (prompt and delivered tokens) at stage 0 and
    `position` is its length; a decode step has the one token before `position` in `tokens`. Later
    stages get `handle`, the name under which the stage before keeps its output; activations
    move between engines, never through the router.
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
    source: UpstreamId | None = None  # the engine that keeps `handle`
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
    """What an engine says of one step; it names the request, attempt, position and stage."""

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
    """An absolute order: hold these layers of this version, draw at most `watts`.

    `fencing` is the offset of the plan record that it comes from.
    """

    fencing: Offset
    service: ServiceName
    version: ModelVersion
    first: int
    last: int
    watts: int


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says it holds. `fencing` is the highest number it has taken, or -1."""

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
    """An engine's load, as of `at_ms` by its clock; it comes late."""

    engine: UpstreamId
    at_ms: int
    streams: int
    queued_steps: int
    step_ms: float
    kv_free_mb: float


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix entered or left an engine's cache. A jump in `sequence` is a gap."""

    engine: UpstreamId
    sequence: int
    prefix: str  # hex digest of the prefix's tokens
    tokens: int
    present: bool
