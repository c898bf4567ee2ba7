"""What engines keep for requests: KV caches, stage outputs and exports between engines."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from minttide.ids import RequestId, UpstreamId

MAX_EXPORTS = 4_096
"""Exports kept at most over all engines; the oldest go first."""


@dataclass
class KvCache:
    """The KV cache of one request on one engine, for layers `first` to `last - 1`.

    `position` counts the tokens that the layers have seen; `prefix` is the digest of those tokens
    and is kept at the stage that holds layer 0. `used_s` is the loop time of its last step.
    """

    service: str
    version: str
    adapter: str | None
    first: int
    last: int
    attempt: int
    position: int
    prefix: bytes = b""
    prefix_names: list[str] = field(default_factory=list)
    used_s: float = 0.0

    def fits(self, service: str, version: str, adapter: str | None, first: int, last: int) -> bool:
        """Return whether this cache belongs to these layers of this model."""
        own = (self.service, self.version, self.adapter, self.first, self.last)
        return own == (service, version, adapter, first, last)


@dataclass(frozen=True)
class StageOutput:
    """What one stage hands to the next: the digest that leaves its last layer at `position`."""

    request: RequestId
    handle: str
    last: int
    position: int
    digest: bytes
    prefix_names: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Export:
    engine: UpstreamId
    request: RequestId
    cache: KvCache


class Fabric:
    """Where engines reach each other for outputs and exported KV caches."""

    def __init__(self) -> None:
        self._outputs: dict[UpstreamId, dict[RequestId, StageOutput]] = {}
        self._exports: OrderedDict[str, _Export] = OrderedDict()

    def outputs_of(self, engine: UpstreamId) -> dict[RequestId, StageOutput]:
        """Return the newest output that an engine keeps for each request."""
        return self._outputs.setdefault(engine, {})

    def find_output(
        self, engine: UpstreamId | None, request: RequestId, handle: str
    ) -> StageOutput | None:
        """Return the output that `engine` keeps for `request` under `handle`."""
        output = self._outputs.get(engine, {}).get(request) if engine is not None else None
        return output if output is not None and output.handle == handle else None

    def drop_engine(self, engine: UpstreamId) -> None:
        """Drop the outputs of an engine that died."""
        self._outputs.pop(engine, None)

    def export(self, engine: UpstreamId, request: RequestId, cache: KvCache) -> str:
        """Keep a copy of a KV cache and return its handle. It outlives the engine."""
        handle = f"kv/{engine}/{request}/{cache.position}"
        copy = replace(cache, prefix_names=list(cache.prefix_names))
        self._exports[handle] = _Export(engine, request, copy)
        while len(self._exports) > MAX_EXPORTS:
            self._exports.popitem(last=False)
        return handle

    def find_export(self, handle: str) -> KvCache | None:
        """Return the exported cache of `handle`."""
        found = self._exports.get(handle)
        return replace(found.cache) if found else None

    def drop_exports(self, engine: UpstreamId, requests: set[RequestId]) -> None:
        """Drop what `engine` exported for these requests."""
        for handle, export in list(self._exports.items()):
            if export.engine == engine and export.request in requests:
                del self._exports[handle]

    def exports_of(self, engine: UpstreamId) -> int:
        """Return how many exports of an engine are kept."""
        return sum(1 for export in self._exports.values() if export.engine == engine)
