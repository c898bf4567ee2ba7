"""The routing configuration: routes, the services behind them, client accounts and limits.

Records of which there may be thousands are left out of garbage collections (`gc=False`), since
these hold up the process. No such record can be part of a reference cycle.
"""

from enum import Enum

import msgspec

from minttide.ids import AccountId, Address, ServiceName, UpstreamId, ZoneId


class RouteKind(Enum):
    """Whether requests of a route may be repeated, or stream their answer."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True, gc=False):
    """A service that a route sends requests to, with its traffic weight."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, gc=False):
    """Requests to one host name whose path begins with one prefix.

    Times are in seconds. `objective_s` is the latency objective, to the answer or to a stream's
    first event; `gap_s` the objective for the longest pause between events. `max_attempts` bounds
    the number of upstreams that may run one request. Priority 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    gap_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class AcceleratorSpec(msgspec.Struct, frozen=True):
    """One kind of accelerator: memory in MB, and its slowdown against the reference.

    `step_factor` applies to decode steps, `read_factor` to prefill.
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


class ModelSpec(msgspec.Struct, frozen=True):
    """A model whose layers are divided among engines, and the speed of the reference engine.

    A decode step takes `step_ms`, plus `stream_ms` for each stream and `context_ms_per_k` for each
    thousand tokens of context; prefill runs at `read_tokens_per_s`. All of these are for the whole
    model. `kv_token_bytes` is the size of a token's KV cache over all layers. `load_s` is the time
    to load the whole model, `loads_at_once` the number of concurrent loads that the weight store
    serves without slowing down. One event of a stream holds `event_tokens` tokens. An engine keeps
    `retained_tokens` tokens of prompts after their requests; with 0, none are kept.
    """

    name: str
    layers: int
    layer_mb: float
    kv_token_bytes: float
    step_ms: float
    stream_ms: float
    context_ms_per_k: float
    read_tokens_per_s: float
    load_s: float
    loads_at_once: int
    slots: int
    usual_prompt: float
    usual_answer: float
    activation_bytes: float
    zone_link_mbps: float
    kinds: tuple[AcceleratorSpec, ...]
    event_tokens: int = 1
    retained_tokens: int = 0

    def kind(self, name: str) -> AcceleratorSpec | None:
        """Return a kind of accelerator by its name."""
        return next((k for k in self.kinds if k.name == name), None)


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; `model` is None for plain services."""

    name: ServiceName
    max_connections: int
    health_path: str = ""
    model: ModelSpec | None = None


class AccountKeys(msgspec.Struct, frozen=True, gc=False):
    """A client account, its bearer keys, and a priority that overrides the route's, if any."""

    account: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size of client requests and on how long clients may take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the whole routing configuration.

    Requests need a key only if `accounts` isn't empty.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    accounts: tuple[AccountKeys, ...] = ()
    limits: ClientLimits = ClientLimits()


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Layers `first` to `last - 1`."""

    first: int
    last: int

    def __len__(self) -> int:
        return self.last - self.first


ProcessKey = tuple[UpstreamId, int]
"""An upstream's id and `born_ms`, which name one process of it."""


class UpstreamEntry(msgspec.Struct, frozen=True):
    """One upstream process as listed by the platform.

    `born_ms` distinguishes successive processes with the same id. `layers` are the layers that an
    engine holds.
    """

    id: UpstreamId
    service: ServiceName
    address: Address
    zone: ZoneId
    leaving: bool
    slots: int
    born_ms: int = 0
    kind: str = ""
    busy: bool = False
    layers: LayerRange | None = None

    @property
    def process(self) -> ProcessKey:
        """Return the key of the process."""
        return (self.id, self.born_ms)
