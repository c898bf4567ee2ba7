"""The layers that a stand-in engine holds, and how one step runs through them."""

import asyncio
from collections.abc import Callable

from minttide.ids import ModelVersion, RequestId, ServiceName, UpstreamId
from minttide.prefix import prefix_digests
from minttide.steps import Step, StepError, StepReply
from minttide_fakes.kv import Fabric, KvCache, StageOutput
from minttide_fakes.model import extend_digest, run_layers, sample_token, start_digest
from minttide_fakes.prefixes import PrefixCache

MAX_CANCELLED = 4_096
"""Cancelled requests that are remembered, so that a late step brings nothing back."""


IDLE_S = 30.0
"""How long no step has come for a request whose cache may be evicted when memory runs short."""


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
    def kept(self) -> int:
        """Return how many caches and outputs are kept."""
        return len(self._caches) + len(self._fabric.outputs_of(self._engine))

    @property
    def streams(self) -> int:
        """Return how many requests have a cache here."""
        return len(self._caches)

    @property
    def kv_tokens(self) -> int:
        """Return how many tokens all caches hold."""
        return self._kv_tokens

    def find_cache(self, request: RequestId) -> KvCache | None:
        """Return the cache of a request."""
        return self._caches.get(request)

    def hold(self, service: ServiceName, version: ModelVersion, first: int, last: int) -> None:
        """Hold other layers; all that was kept for requests is lost."""
        self.held = (service, version, first, last)
        self.clear()

    def restart(self) -> None:
        """Become the stage of a new process."""
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
        """Drop what is kept for a request, and refuse what still comes up to its `attempt`."""
        cache = self._drop(request)
        attempt = max(attempt, cache.attempt if cache else 0, self._cancelled.get(request, 0))
        self._cancelled[request] = attempt
        while len(self._cancelled) > MAX_CANCELLED:
            self._cancelled.pop(next(iter(self._cancelled)))

    def _drop(self, request: RequestId) -> KvCache | None:
        cache = self._caches.pop(request, None)
        self._kv_tokens -= cache.position if cache else 0
        self._fabric.outputs_of(self._engine).pop(request, None)
        return cache

    def cancelled_reply(self, step: Step) -> StepReply:
        """Return the reply to a step of a cancelled request."""
        return _refuse(step, StepError.CANCELLED)

    def new_tokens(self, step: Step) -> int:
        """Return how many tokens of a prefill step are not in any cache."""
        cache = self._source_cache(step)
        if cache is not None:
            return max(0, step.position - cache.position)
        names = self._names(step)
        return max(0, step.position - self._prefixes.cached_tokens(names))

    def run(self, step: Step) -> StepReply:
        """Run one step, or say why not."""
        error = self._check(step)
        if error is None and not self._make_room(step):
            error = StepError.NO_MEMORY
        if error is not None:
            return _refuse(step, error)
        cached = step.position - self.new_tokens(step) if step.prefill else 0
        entered = self._enter(step)
        if isinstance(entered, StepError):
            return _refuse(step, entered)
        digest = run_layers(entered, step.first, step.last)
        return self._leave(step, digest, cached)

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

    def _make_room(self, step: Step) -> bool:
        """Return whether the step's tokens fit, after evicting idle caches where need be."""
        cache = self._caches.get(step.request)
        needed = step.position - (cache.position if cache else 0)
        if self.free_tokens() >= needed:
            return True
        horizon_s = _now_s() - IDLE_S
        idle = [r for r, c in self._caches.items() if c.used_s < horizon_s and r != step.request]
        for request in sorted(idle, key=lambda r: self._caches[r].used_s):
            self._drop(request)
            if self.free_tokens() >= needed:
                return True
        return False

    def _enter(self, step: Step) -> bytes | StepError:
        """Bring the request's cache to the step's position; return what enters `step.first`."""
        if step.first == 0:
            return self._enter_first(step)
        output = self._fabric.find_output(step.source, step.request, step.handle)
        if output is None:
            return StepError.NO_HANDLE
        if (output.last, output.position) != (step.first, step.position):
            return StepError.WRONG_POSITION
        self._keep(step, b"", list(output.prefix_names))
        return output.digest

    def _enter_first(self, step: Step) -> bytes | StepError:
        if step.prefill:
            if len(step.tokens) != step.position:
                return StepError.WRONG_POSITION
            start = start_digest(step.service, step.version, step.adapter)
            prefix = extend_digest(start, step.tokens)
        elif len(step.tokens) == 1:
            prefix = extend_digest(self._caches[step.request].prefix, step.tokens)
        else:
            return StepError.WRONG_POSITION
        self._keep(step, prefix, self._names(step))
        return prefix

    def _names(self, step: Step) -> list[str]:
        if not step.prefill:
            return self._caches[step.request].prefix_names
        if step.first == 0:
            return prefix_digests(step.service, step.version, step.adapter, step.tokens)
        output = self._fabric.find_output(step.source, step.request, step.handle)
        return list(output.prefix_names) if output else []

    def _source_cache(self, step: Step) -> KvCache | None:
        """Return the cache that a prefill goes on from: its own, or one that is imported."""
        cache = self._caches.get(step.request)
        if step.kv_handle is not None:
            cache = self._fabric.find_export(step.kv_handle) or cache
        if cache is None or cache.position > step.position:
            return None
        fits = cache.fits(step.service, step.version, step.adapter, step.first, step.last)
        return cache if fits else None

    def _keep(self, step: Step, prefix: bytes, names: list[str]) -> None:
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

    def _leave(self, step: Step, digest: bytes, cached: int) -> StepReply:
        ran = self.layers_run.get(step.request, 0)
        self.layers_run[step.request] = ran + step.last - step.first
        handle = "" if step.final else self._keep_output(step, digest)
        token = sample_token(digest) if step.final else None
        return StepReply(
            step.request, step.attempt, step.position, step.stage, handle, token, cached
        )

    def _keep_output(self, step: Step, digest: bytes) -> str:
        handle = f"{step.request}/{step.attempt}/{step.position}/{step.stage}"
        names = tuple(self._caches[step.request].prefix_names)
        output = StageOutput(step.request, handle, step.last, step.position, digest, names)
        self._fabric.outputs_of(self._engine)[step.request] = output
        return handle


def _refuse(step: Step, error: StepError) -> StepReply:
    return StepReply(step.request, step.attempt, step.position, step.stage, error=error)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
