"""Structs of the service files that operators write: one JSON object per file, tagged by `kind`."""

import msgspec

from minttide.ids import (
    AccountId,
    AdapterName,
    Address,
    ModelVersion,
    RegionId,
    ServiceName,
    UpstreamId,
    ZoneId,
)

SITE_NAME = ServiceName("site")


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One availability zone of the site."""

    name: ZoneId
    region: RegionId = RegionId("local")


class Link(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The link between two availability zones, the same in both directions."""

    a: ZoneId
    b: ZoneId
    one_way_ms: float
    mbit_per_s: float


class PowerLevel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A power limit of an accelerator, and its speed at that limit.

    `speed` is a fraction of the rated speed, in (0, 1].
    """

    watts: int
    speed: float


class AcceleratorKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of accelerator, with its rated times for one layer of the reference width.

    One decode step takes `decode_us` per layer, plus `decode_stream_us` for each stream in the
    batch; prefill takes `prefill_us` per layer and prompt token.
    """

    name: str
    memory_mb: int
    decode_us: float
    decode_stream_us: float
    prefill_us: float
    power: list[PowerLevel]  # in ascending order of watts


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account. `token_sha256` is the hex digest of its bearer token."""

    name: AccountId
    token_sha256: str
    weight: float = 1.0
    max_streams: int = 64
    requests_per_s: float = 100.0
    priority: int = 0  # higher runs first


class WeightStore(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The store that engines load model weights from, and its rate limit for the whole site."""

    address: Address
    mb_per_s: float


class Site(msgspec.Struct, frozen=True, tag_field="kind", tag="site", forbid_unknown_fields=True):
    """The configuration shared by all services of a site: one file, whose service is `site`.

    `key_shards` can't be changed once published, since it determines the log stream of each key.
    """

    service: ServiceName
    power_cap_watts: int
    zones: list[Zone]
    links: list[Link]
    accelerators: list[AcceleratorKind]
    accounts: list[Account]
    weight_store: WeightStore | None = None
    key_shards: int = 4
    key_memory_s: int = 24 * 3600
    answer_keep_s: float = 10.0


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One model engine. With `checks_fencing`, it rejects orders with an old fencing token."""

    id: UpstreamId
    address: Address
    zone: ZoneId
    accelerator: str
    accelerators: int = 1
    checks_fencing: bool = True


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The size of a model. `width` scales the accelerators' layer times; 1.0 is the reference."""

    layers: int
    mb_per_layer: float
    kv_kb_per_token_layer: float
    activation_kb: float  # size of one token's activations, sent from one stage to the next
    width: float = 1.0


class ModelService(
    msgspec.Struct, frozen=True, tag_field="kind", tag="model", forbid_unknown_fields=True
):
    """A service that streams drafts or commentary from a model that is split over engines.

    Times are in milliseconds.
    """

    service: ServiceName
    model: Model
    version: ModelVersion
    engines: list[Engine] = []
    adapters: list[AdapterName] = []
    accounts: list[AccountId] = []  # accounts that may use the service; empty for all
    max_tokens: int = 1024
    max_prompt_tokens: int = 8192
    deadline_ms: int = 60_000
    first_token_ms: int = 730
    between_tokens_ms: int = 44
    weight: float = 1.0  # relative share of the site's output that placement aims for


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One process of a plain service."""

    id: UpstreamId
    address: Address
    zone: ZoneId


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of call to a plain service. `path` is a prefix; the longest match applies."""

    method: str
    path: str
    idempotent: bool = False
    timeout_ms: int = 5_000


class PlainService(
    msgspec.Struct, frozen=True, tag_field="kind", tag="plain", forbid_unknown_fields=True
):
    """A service whose calls are forwarded to one of its upstreams.

    `discover` names a group of the platform's host list, which adds upstreams to those listed here
    and marks those that are leaving. `rejects_duplicates` says that the upstreams themselves reject
    a second call with the same idempotency key, so that calls with a key are accepted even while
    the platform log is unavailable.
    """

    service: ServiceName
    calls: list[Call]
    upstreams: list[Upstream] = []
    discover: str | None = None
    rejects_duplicates: bool = False
    accounts: list[AccountId] = []
    deadline_ms: int = 10_000
    max_body_kb: int = 256


ServiceFile = Site | ModelService | PlainService
