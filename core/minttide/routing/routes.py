"""The routing configuration: routes, the services behind them, client accounts and limits."""

from enum import Enum

import msgspec

from minttide.ids import AccountId, Address, ServiceName, UpstreamId, ZoneId


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, and its weight among the others."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one host name below one path prefix.

    Times are in seconds. `objective_s` is the time to the answer, or to a stream's first event,
    that counts as on time; `gap_s` the longest pause between events. `max_attempts` bounds the
    upstreams that may run one request. Priority 0 is the highest.
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
    """One kind of accelerator: memory in MB, and how much slower than the reference it is.

    `step_factor` applies to steps and context, `read_factor` to the prompt.
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


class ModelSpec(msgspec.Struct, frozen=True):
    """A model that engines hold in ranges of layers, and the reference engine's speed.

    A step takes `step_ms`, `stream_ms` for each stream in it and `context_ms_per_k` for each
    thousand tokens of context; a prompt is read at `read_tokens_per_s`. All of these are for the
    whole model. `kv_token_bytes` is a token's memory over all layers. `load_s` is the time to load
    the whole model, `loads_at_once` how many loads share the weight store without slowing down.
    One event of a stream holds `event_tokens` tokens.
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

    def kind(self, name: str) -> AcceleratorSpec | None:
        """Return a kind of accelerator by its name."""
        return next((k for k in self.kinds if k.name == name), None)


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; `model` is absent for plain services."""

    name: ServiceName
    max_connections: int
    health_path: str = ""
    model: ModelSpec | None = None


class AccountKeys(msgspec.Struct, frozen=True):
    """A client account, its bearer keys, and the priority that goes before the route's."""

    account: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on what clients may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the whole routing configuration.

    Requests need a key only where `accounts` isn't empty.
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


class UpstreamEntry(msgspec.Struct, frozen=True):
    """One upstream process as the platform lists it.

    `born_ms` tells apart processes that share an id. `layers` are those that an engine holds.
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
