"""State that engines keep for requests: KV caches, stage outputs and exports."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from minttide.ids import RequestId, UpstreamId

MAX_EXPORTS = 4_096
"""Retained exports of all engines; the oldest are evicted first."""


@dataclass
class KvCache:
    """The KV cache of one request on one engine, for layers `first` to `last - 1`.

    `position` counts the tokens that the layers have processed; `prefix` is the digest of those
    tokens, kept only by the stage that holds layer 0. `used_s` is the event loop time of the last
    step.
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
        """Return whether this cache is of these layers and this model version and adapter."""
        own = (self.service, self.version, self.adapter, self.first, self.last)
        return own == (service, version, adapter, first, last)


@dataclass(frozen=True)
class StageOutput:
    """Output of a stage for the next one: the digest after its last layer at `position`."""

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
    """Transfers stage outputs and exported KV caches between engines."""

    def __init__(self) -> None:
        self._outputs: dict[UpstreamId, dict[RequestId, StageOutput]] = {}
        self._exports: OrderedDict[str, _Export] = OrderedDict()

    def outputs_of(self, engine: UpstreamId) -> dict[RequestId, StageOutput]:
        """Return the latest output of each request on an engine."""
        return self._outputs.setdefault(engine, {})

    def find_output(
        self, engine: UpstreamId | None, request: RequestId, handle: str
    ) -> StageOutput | None:
        """Return the output that `engine` keeps for `request` under `handle`."""
        output = self._outputs.get(engine, {}).get(request) if engine is not None else None
        return output if output is not None and output.handle == handle else None

    def drop_engine(self, engine: UpstreamId) -> None:
        """Drop the outputs of an engine that crashed."""
        self._outputs.pop(engine, None)

    def export(self, engine: UpstreamId, request: RequestId, cache: KvCache) -> str:
        """Store a copy of a KV cache, which survives the engine, and return its handle."""
        handle = f"kv/{engine}/{request}/{cache.position}"
        copy = replace(cache, prefix_names=list(cache.prefix_names))
        self._exports[handle] = _Export(engine, request, copy)
        while len(self._exports) > MAX_EXPORTS:
            self._exports.popitem(last=False)
        return handle

    def find_export(self, handle: str) -> KvCache | None:
        """Return the exported cache with `handle`, if it is retained."""
        found = self._exports.get(handle)
        return replace(found.cache) if found else None

    def drop_exports(self, engine: UpstreamId, requests: set[RequestId]) -> None:
        """Drop the exports of `engine` for these requests."""
        for handle, export in list(self._exports.items()):
            if export.engine == engine and export.request in requests:
                del self._exports[handle]

    def exports_of(self, engine: UpstreamId) -> int:
        """Return the number of retained exports of an engine."""
        return sum(1 for export in self._exports.values() if export.engine == engine)
