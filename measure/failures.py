"""Failure handling of the simulated daemons: they suspect engines and resume their streams."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from measure.model import SimEngine, Stream, WorkItem
from measure.router import Router, World
from minttide.ids import ChainId, RequestId, UpstreamId
from minttide.policy.chain_rating import batch_limit
from minttide.policy.chains import Chain, estimate_streams
from minttide.policy.links import Links
from minttide.policy.recovery import (
    EXPORT_INTERVAL_TOKENS,
    IMPORT_SETUP_MS,
    RecoveryPacer,
    StalledStream,
    is_export_due,
)

FIXED_TIMEOUT_MS = 1_000.0
RECONNECT_MS = 250.0
"""Time until a caller whose entry host has failed reconnects to another one."""


LayerRanges = tuple[tuple[int, int], ...]


def _layer_ranges(chain: Chain) -> LayerRanges:
    return tuple((s.first, s.last) for s in chain.stages)


def last_export(stream: Stream) -> int:
    """Return the context length of a stream at its last export; the first follows the prompt."""
    exported = stream.prompt
    while is_export_due(stream.context, exported):
        exported += EXPORT_INTERVAL_TOKENS
    return exported


class Detection(Enum):
    """How the timeout for a reply of an engine is chosen."""

    ADAPTIVE = "observed step times"
    FIXED = "fixed 1 s"


class Resumption(Enum):
    """How stalled streams are resumed."""

    PACED = "paced, least work"
    AT_ONCE = "all at once, random"
    IMPORT = "paced, import of exports with the same layer ranges"
    IMPORT_ANY = "paced, import of exports with any layer ranges"


@dataclass
class FailureHandler:
    """Passes step times and lost steps of the simulated engines to the daemons' policies."""

    world: World
    detection: Detection
    resumption: Resumption
    observed_steps: int = 0
    false_alarms: int = 0
    suspected_ms: list[float] = field(default_factory=list)
    _exported_ranges: dict[str, LayerRanges] = field(default_factory=dict)
    _import_end_ms: dict[ChainId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._pacers = {
            r.host: RecoveryPacer(r.rng, len(self.world.routers)) for r in self.world.routers
        }
        self._stages: dict[UpstreamId, tuple[Chain, int]] = {}
        for chain in self.world.chains.values():
            for stage, engine in enumerate(chain.engines):
                self._stages[engine.id] = (chain.chain, stage)
                engine.on_step_time = self._make_step_observer(engine)
                engine.on_items_lost = self._make_loss_handler(engine)
        for router in self.world.routers:
            router.on_resumed = self._on_resumed

    def _make_step_observer(self, engine: SimEngine):  # noqa: ANN202
        def observe(item: WorkItem, seen_ms: float) -> None:
            stream = item[0]
            router = stream.router
            expected = self._expected_ms(router, engine, stream)
            self.observed_steps += 1
            self.false_alarms += seen_ms > self._timeout_ms(router, engine.id, expected)
            router.step_times.observe(engine.id, expected, seen_ms)

        return observe

    def _make_loss_handler(self, engine: SimEngine):  # noqa: ANN202
        def handle_loss(items: Iterable[WorkItem]) -> None:
            for stream, attempt in items:
                if stream.attempt == attempt and engine.id not in stream.router.suspects:
                    expected = self._expected_ms(stream.router, engine, stream)
                    timeout_ms = self._timeout_ms(stream.router, engine.id, expected)
                    self.world.loop.after(timeout_ms, self._suspect, stream.router, engine.id)

        return handle_loss

    def _expected_ms(self, router: Router, engine: SimEngine, stream: Stream) -> float:
        chain, stage = self._stages[engine.id]
        streams = estimate_streams(engine.id, router.load_snapshot())
        batch = batch_limit(int(streams), len(chain.stages))
        return router.estimator.stage_ms(chain, stage, batch, stream.prefill)

    def _timeout_ms(self, router: Router, engine: UpstreamId, expected_ms: float) -> float:
        if self.detection is Detection.FIXED:
            return FIXED_TIMEOUT_MS
        return router.step_times.reply_timeout_ms(engine, expected_ms)

    def _suspect(self, router: Router, engine: UpstreamId) -> None:
        if engine in router.suspects:
            return
        router.suspects.add(engine)
        self.suspected_ms.append(self.world.loop.now)
        affected = [s for s in router.streams if s.chain and engine in s.chain.chain.engines]
        for stream in sorted(affected, key=lambda s: s.name):
            if stream.chain and stream.tokens:
                self._exported_ranges[stream.name] = _layer_ranges(stream.chain.chain)
            router.detach(stream)
            stream.attempt += 1
            self._stall(router, stream)
        self._start_resumptions(router)

    def _stall(self, router: Router, stream: Stream) -> None:
        if self.resumption is Resumption.AT_ONCE:
            usable_chains = router.usable_chains()
            if usable_chains:
                router.start_attempt(stream, router.rng.choice(usable_chains))
            return
        self._pacers[router.host].add(self._describe_stalled(router, stream))
        router.stalled[stream.name] = stream

    def _describe_stalled(self, router: Router, stream: Stream) -> StalledStream:
        now = self.world.loop.now
        stalled = StalledStream(RequestId(stream.name), stream.context, 0, now)
        exported = self._exported_ranges.get(stream.name)
        if self.resumption not in (Resumption.IMPORT, Resumption.IMPORT_ANY) or exported is None:
            return stalled
        any_ranges = self.resumption is Resumption.IMPORT_ANY
        importable = frozenset(
            c.id for c in router.usable_chains() if any_ranges or _layer_ranges(c) == exported
        )
        uncovered = stream.context - last_export(stream)
        return msgspec.structs.replace(stalled, imports=importable, uncovered_tokens=uncovered)

    def _import_ms(self, chain: Chain, tokens: int) -> float:
        """Return the time until an import completes; each chain runs one import at a time."""
        now = self.world.loop.now
        model = self.world.service.model
        local = Links(self.world.site).between(chain.stages[0].zone, chain.stages[0].zone)
        max_layers = max(s.last - s.first for s in chain.stages)
        transfer_ms = local.transfer_us(model.kv_kb_per_token_layer * max_layers * tokens) / 1000.0
        start_ms = max(now, self._import_end_ms.get(chain.id, 0.0))
        self._import_end_ms[chain.id] = start_ms + IMPORT_SETUP_MS + transfer_ms
        return self._import_end_ms[chain.id] - now

    def _start_resumptions(self, router: Router) -> None:
        pacer = self._pacers[router.host]
        speeds: dict[ChainId, float] = {
            c.id: router.estimator.prefill_ms_per_token(c) for c in router.usable_chains()
        }
        chains = {c.id: c for c in router.usable_chains()}
        while (start := pacer.next_start(speeds)) is not None:
            stream = router.stalled[start.stalled.request]
            chain = chains[start.chain]
            if start.chain in start.stalled.imports:
                uncovered = start.stalled.prefill_tokens(chain.id)
                import_ms = self._import_ms(chain, start.stalled.tokens - uncovered)
                self.world.loop.after(
                    import_ms, self._finish_import, router, stream, chain, uncovered
                )
            else:
                router.start_attempt(stream, chain)

    def _finish_import(self, router: Router, stream: Stream, chain: Chain, uncovered: int) -> None:
        if stream.name not in router.stalled:
            return
        if router.suspects.intersection(chain.engines):
            self._stall(router, stream)
            self._start_resumptions(router)
        else:
            router.start_attempt(stream, chain, uncovered)

    def _on_resumed(self, router: Router, stream: Stream) -> None:
        if router.stalled.pop(stream.name, None) is not None:
            self._pacers[router.host].finish(RequestId(stream.name))
            self._start_resumptions(router)

    def kill_engines(self, engines: Iterable[SimEngine]) -> list[Stream]:
        """Kill engines silently, and return the streams that were on their chains."""
        killed = list(engines)
        affected = [
            s
            for c in self.world.chains.values()
            if any(e in killed for e in c.engines)
            for s in [*c.active, *c.pending]
        ]
        for engine in killed:
            engine.kill()
        return sorted(affected, key=lambda s: s.name)

    def kill_hosts(self, routers: Iterable[Router]) -> list[Stream]:
        """Remove daemons; their callers reconnect to others with a resume token.

        Returns the streams affected.
        """
        lost_routers = list(routers)
        remaining = [r for r in self.world.routers if r not in lost_routers]
        affected = []
        for router in lost_routers:
            router.is_down = True
            for stream in sorted(router.streams, key=lambda s: s.name):
                router.detach(stream)
                stream.attempt += 1
                successor = remaining[len(affected) % len(remaining)]
                affected.append(stream)
                self.world.loop.after(RECONNECT_MS, self._take_over, successor, stream)
            router.streams.clear()
        self.world.routers[:] = remaining
        return affected

    def _take_over(self, router: Router, stream: Stream) -> None:
        stream.router = router
        router.streams.add(stream)
        self._stall(router, stream)
        self._start_resumptions(router)
