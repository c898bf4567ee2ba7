"""The layers of a stand-in engine, and the execution of steps on them."""

import asyncio
from collections.abc import Callable

from minttide.ids import ModelVersion, RequestId, ServiceName, UpstreamId
from minttide.prefix import prefix_digests
from minttide.steps import Step, StepError, StepReply
from minttide_fakes.kv import Fabric, KvCache, StageOutput
from minttide_fakes.model import extend_digest, run_layers, sample_token, start_digest
from minttide_fakes.prefixes import PrefixCache

MAX_CANCELLED = 4_096
"""Cancelled requests that are retained, so that a late step doesn't recreate their cache."""

CACHE_IDLE_S = 30.0
"""Time without a step after which a request's cache may be evicted when memory runs short."""


class Stage:
    """Layers `first` to `last - 1` of one model version, with the KV caches of its requests."""

    def __init__(self, engine: UpstreamId, fabric: Fabric, prefixes: PrefixCache) -> None:
        self.leaving = False
        self.held = (ServiceName(""), ModelVersion(""), 0, 0)
        self.layers_run: dict[RequestId, int] = {}
        self._kv_tokens = 0
        self._engine = engine
        self._fabric = fabric
        self._prefixes = prefixes
        self._caches: dict[RequestId, KvCache] = {}
        self._cancelled: dict[RequestId, int] = {}
        self.free_tokens: Callable[[], float] = lambda: float("inf")

    @property
    def retained_items(self) -> int:
        """Return the number of caches and outputs."""
        return len(self._caches) + len(self._fabric.outputs_of(self._engine))

    @property
    def requests(self) -> list[RequestId]:
        """Return the requests with a cache or an output."""
        return list(dict.fromkeys([*self._caches, *self._fabric.outputs_of(self._engine)]))

    @property
    def streams(self) -> int:
        """Return the number of requests with a cache."""
        return len(self._caches)

    @property
    def kv_tokens(self) -> int:
        """Return the number of tokens in all caches."""
        return self._kv_tokens

    def find_cache(self, request: RequestId) -> KvCache | None:
        """Return the cache of a request, if any."""
        return self._caches.get(request)

    def hold(self, service: ServiceName, version: ModelVersion, first: int, last: int) -> None:
        """Hold other layers and drop all caches and outputs."""
        self.held = (service, version, first, last)
        self.clear()

    def restart(self) -> None:
        """Reset to the state of a new process."""
        self.hold(ServiceName(""), ModelVersion(""), 0, 0)
        self.leaving = False
        self._cancelled.clear()

    def clear(self) -> None:
        """Drop all caches and outputs."""
        self._caches.clear()
        self._kv_tokens = 0
        self._fabric.outputs_of(self._engine).clear()
        self._prefixes.clear()

    def cancel(self, request: RequestId, attempt: int) -> None:
        """Drop the state of a request, and reject later steps up to its `attempt`."""
        cache = self._drop_request(request)
        attempt = max(attempt, cache.attempt if cache else 0, self._cancelled.get(request, 0))
        self._cancelled[request] = attempt
        while len(self._cancelled) > MAX_CANCELLED:
            self._cancelled.pop(next(iter(self._cancelled)))

    def _drop_request(self, request: RequestId) -> KvCache | None:
        cache = self._caches.pop(request, None)
        self._kv_tokens -= cache.position if cache else 0
        self._fabric.outputs_of(self._engine).pop(request, None)
        return cache

    def cancelled_reply(self, step: Step) -> StepReply:
        """Return the reply to a step of a cancelled request."""
        return _reject(step, StepError.CANCELLED)

    def new_tokens(self, step: Step) -> int:
        """Return the number of tokens of a prefill step that are not cached."""
        cache = self._source_cache(step)
        if cache is not None:
            return max(0, step.position - cache.position)
        names = self._prefix_names(step)
        return max(0, step.position - self._prefixes.cached_tokens(names))

    def run(self, step: Step) -> StepReply:
        """Run one step, or return a reply with the error."""
        error = self._check(step)
        if error is None and not self._ensure_memory(step):
            error = StepError.NO_MEMORY
        if error is not None:
            return _reject(step, error)
        cached = step.position - self.new_tokens(step) if step.prefill else 0
        step_input = self._read_input(step)
        if isinstance(step_input, StepError):
            return _reject(step, step_input)
        digest = run_layers(step_input, step.first, step.last)
        return self._make_reply(step, digest, cached)

    def _check(self, step: Step) -> StepError | None:
        cache = self._caches.get(step.request)
        if step.attempt <= self._cancelled.get(step.request, -1):
            return StepError.CANCELLED
        if cache is not None and cache.attempt > step.attempt:
            return StepError.CANCELLED
        if (step.service, step.version, step.first, step.last) != self.held:
            return StepError.WRONG_LAYERS
        if step.prefill:
            return StepError.LEAVING if self.leaving and cache is None else None
        if cache is None or cache.attempt != step.attempt:
            return StepError.WRONG_POSITION
        return None if cache.position + 1 == step.position else StepError.WRONG_POSITION

    def _ensure_memory(self, step: Step) -> bool:
        """Return whether the step's tokens fit into memory; idle caches are evicted if needed."""
        cache = self._caches.get(step.request)
        needed = step.position - (cache.position if cache else 0)
        if self.free_tokens() >= needed:
            return True
        cutoff_s = _now_s() - CACHE_IDLE_S
        idle = [r for r, c in self._caches.items() if c.used_s < cutoff_s and r != step.request]
        for request in sorted(idle, key=lambda r: self._caches[r].used_s):
            self._drop_request(request)
            if self.free_tokens() >= needed:
                return True
        return False

    def _read_input(self, step: Step) -> bytes | StepError:
        """Extend the request's cache to the step's position; return the input of `step.first`."""
        if step.first == 0:
            return self._read_tokens(step)
        output = self._fabric.find_output(step.source, step.request, step.handle)
        if output is None:
            return StepError.NO_HANDLE
        if (output.last, output.position) != (step.first, step.position):
            return StepError.WRONG_POSITION
        self._store_cache(step, b"", list(output.prefix_names))
        return output.digest

    def _read_tokens(self, step: Step) -> bytes | StepError:
        if step.prefill:
            if len(step.tokens) != step.position:
                return StepError.WRONG_POSITION
            start = start_digest(step.service, step.version, step.adapter)
            prefix = extend_digest(start, step.tokens)
        elif len(step.tokens) == 1:
            prefix = extend_digest(self._caches[step.request].prefix, step.tokens)
        else:
            return StepError.WRONG_POSITION
        self._store_cache(step, prefix, self._prefix_names(step))
        return prefix

    def _prefix_names(self, step: Step) -> list[str]:
        if not step.prefill:
            return self._caches[step.request].prefix_names
        if step.first == 0:
            return prefix_digests(step.service, step.version, step.adapter, step.tokens)
        output = self._fabric.find_output(step.source, step.request, step.handle)
        return list(output.prefix_names) if output else []

    def _source_cache(self, step: Step) -> KvCache | None:
        """Return the cache that a prefill continues: the request's own or an imported one."""
        cache = self._caches.get(step.request)
        if step.kv_handle is not None:
            cache = self._fabric.find_export(step.kv_handle) or cache
        if cache is None or cache.position > step.position:
            return None
        fits = cache.fits(step.service, step.version, step.adapter, step.first, step.last)
        return cache if fits else None

    def _store_cache(self, step: Step, prefix: bytes, names: list[str]) -> None:
        old = self._caches.get(step.request)
        self._kv_tokens += step.position - (old.position if old else 0)
        self._caches[step.request] = KvCache(
            step.service,
            step.version,
            step.adapter,
            step.first,
            step.last,
            step.attempt,
            step.position,
            prefix,
            names,
            _now_s(),
        )
        if step.prefill:
            self._prefixes.add(names)

    def _make_reply(self, step: Step, digest: bytes, cached: int) -> StepReply:
        ran = self.layers_run.get(step.request, 0)
        self.layers_run[step.request] = ran + step.last - step.first
        handle = "" if step.final else self._store_output(step, digest)
        token = sample_token(digest) if step.final else None
        return StepReply(
            step.request, step.attempt, step.position, step.stage, handle, token, cached
        )

    def _store_output(self, step: Step, digest: bytes) -> str:
        handle = f"{step.request}/{step.attempt}/{step.position}/{step.stage}"
        names = tuple(self._caches[step.request].prefix_names)
        output = StageOutput(step.request, handle, step.last, step.position, digest, names)
        self._fabric.outputs_of(self._engine)[step.request] = output
        return handle


def _reject(step: Step, error: StepError) -> StepReply:
    return StepReply(step.request, step.attempt, step.position, step.stage, error=error)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
