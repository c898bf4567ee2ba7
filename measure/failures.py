"""Daemons of the model that meet failures: they suspect engines and resume streams elsewhere."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from measure.model import SimEngine, Stream, Work
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
"""Time until a caller whose entry host is gone has asked another one."""


Ranges = tuple[tuple[int, int], ...]


def _ranges(chain: Chain) -> Ranges:
    return tuple((s.first, s.last) for s in chain.stages)


def last_export(stream: Stream) -> int:
    """Return the context of a stream at its last export; the first is after its prompt."""
    exported = stream.prompt
    while is_export_due(stream.context, exported):
        exported += EXPORT_INTERVAL_TOKENS
    return exported


class Detect(Enum):
    """How a missing reply is noticed."""

    ADAPTIVE = "step times seen"
    FIXED = "fixed 1 s"


class Resuming(Enum):
    """How streams go on."""

    PACED = "paced, least work"
    AT_ONCE = "all at once, random"
    IMPORT = "paced, import of exports with the same layer ranges"
    IMPORT_ANY = "paced, import of exports with any layer ranges"


@dataclass
class Failures:
    """Watches the engines of a world and hands what it sees to the daemons' policies."""

    world: World
    detect: Detect
    resuming: Resuming
    seen: int = 0
    false_alarms: int = 0
    found_ms: list[float] = field(default_factory=list)
    _held: dict[str, Ranges] = field(default_factory=dict)
    _imports: dict[ChainId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._pacers = {
            r.host: RecoveryPacer(r.rng, len(self.world.routers)) for r in self.world.routers
        }
        self._stages: dict[UpstreamId, tuple[Chain, int]] = {}
        for chain in self.world.chains.values():
            for stage, engine in enumerate(chain.engines):
                self._stages[engine.id] = (chain.chain, stage)
                engine.on_seen = self._watcher(engine)
                engine.on_lost = self._loser(engine)
        for router in self.world.routers:
            router.on_resumed = self._resumed

    def _watcher(self, engine: SimEngine):  # noqa: ANN202
        def watch(work: Work, seen_ms: float) -> None:
            stream = work[0]
            router = stream.router
            expected = self._expected_ms(router, engine, stream)
            self.seen += 1
            self.false_alarms += seen_ms > self._patience_ms(router, engine.id, expected)
            router.suspicion.observe(engine.id, expected, seen_ms)

        return watch

    def _loser(self, engine: SimEngine):  # noqa: ANN202
        def lose(work: Iterable[Work]) -> None:
            for stream, attempt in work:
                if stream.attempt == attempt and engine.id not in stream.router.suspects:
                    expected = self._expected_ms(stream.router, engine, stream)
                    wait = self._patience_ms(stream.router, engine.id, expected)
                    self.world.sim.after(wait, self._overdue, stream.router, engine.id)

        return lose

    def _expected_ms(self, router: Router, engine: SimEngine, stream: Stream) -> float:
        chain, stage = self._stages[engine.id]
        streams = estimate_streams(engine.id, router.news())
        batch = batch_limit(int(streams), len(chain.stages))
        return router.estimator.stage_ms(chain, stage, batch, stream.prefill)

    def _patience_ms(self, router: Router, engine: UpstreamId, expected_ms: float) -> float:
        if self.detect is Detect.FIXED:
            return FIXED_TIMEOUT_MS
        return router.suspicion.reply_timeout_ms(engine, expected_ms)

    def _overdue(self, router: Router, engine: UpstreamId) -> None:
        if engine in router.suspects:
            return
        router.suspects.add(engine)
        self.found_ms.append(self.world.sim.now)
        hit = [s for s in router.streams if s.chain and engine in s.chain.chain.engines]
        for stream in sorted(hit, key=lambda s: s.name):
            if stream.chain and stream.tokens:
                self._held[stream.name] = _ranges(stream.chain.chain)
            router.leave(stream)
            stream.attempt += 1
            self._stall(router, stream)
        self._pump(router)

    def _stall(self, router: Router, stream: Stream) -> None:
        if self.resuming is Resuming.AT_ONCE:
            usable = router.usable()
            if usable:
                router.begin(stream, router.rng.choice(usable))
            return
        self._pacers[router.host].add(self._stalled(router, stream))
        router.stalled[stream.name] = stream

    def _stalled(self, router: Router, stream: Stream) -> StalledStream:
        now = self.world.sim.now
        stalled = StalledStream(RequestId(stream.name), stream.context, 0, now)
        held = self._held.get(stream.name)
        if self.resuming not in (Resuming.IMPORT, Resuming.IMPORT_ANY) or held is None:
            return stalled
        any_ranges = self.resuming is Resuming.IMPORT_ANY
        alike = frozenset(c.id for c in router.usable() if any_ranges or _ranges(c) == held)
        rest = stream.context - last_export(stream)
        return msgspec.structs.replace(stalled, imports=alike, uncovered_tokens=rest)

    def _import_ms(self, chain: Chain, tokens: int) -> float:
        """Return the time of an import, each of the chain's engines taking one at a time."""
        now = self.world.sim.now
        model = self.world.service.model
        local = Links(self.world.site).between(chain.stages[0].zone, chain.stages[0].zone)
        most = max(s.last - s.first for s in chain.stages)
        moved_ms = local.transfer_us(model.kv_kb_per_token_layer * most * tokens) / 1000.0
        begin = max(now, self._imports.get(chain.id, 0.0))
        self._imports[chain.id] = begin + IMPORT_SETUP_MS + moved_ms
        return self._imports[chain.id] - now

    def _pump(self, router: Router) -> None:
        pacer = self._pacers[router.host]
        speeds: dict[ChainId, float] = {
            c.id: router.estimator.prefill_ms_per_token(c) for c in router.usable()
        }
        chains = {c.id: c for c in router.usable()}
        while (start := pacer.next_start(speeds)) is not None:
            stream = router.stalled[start.stalled.request]
            chain = chains[start.chain]
            if start.chain in start.stalled.imports:
                rest = start.stalled.prefill_tokens(chain.id)
                delay = self._import_ms(chain, start.stalled.tokens - rest)
                self.world.sim.after(delay, self._begin_rest, router, stream, chain, rest)
            else:
                router.begin(stream, chain)

    def _begin_rest(self, router: Router, stream: Stream, chain: Chain, rest: int) -> None:
        if stream.name not in router.stalled:
            return
        if router.suspects.intersection(chain.engines):
            self._stall(router, stream)
            self._pump(router)
        else:
            router.begin(stream, chain, rest)

    def _resumed(self, router: Router, stream: Stream) -> None:
        if router.stalled.pop(stream.name, None) is not None:
            self._pacers[router.host].finish(RequestId(stream.name))
            self._pump(router)

    def kill_engines(self, engines: Iterable[SimEngine]) -> list[Stream]:
        """Kill engines without a sign and return the streams that ran on their chains."""
        killed = list(engines)
        hit = [
            s
            for c in self.world.chains.values()
            if any(e in killed for e in c.engines)
            for s in [*c.active, *c.pending]
        ]
        for engine in killed:
            engine.kill()
        return sorted(hit, key=lambda s: s.name)

    def kill_hosts(self, routers: Iterable[Router]) -> list[Stream]:
        """Take daemons away; their callers come back to others with a resume token."""
        gone = list(routers)
        living = [r for r in self.world.routers if r not in gone]
        moved = []
        for router in gone:
            router.gone = True
            for stream in sorted(router.streams, key=lambda s: s.name):
                router.leave(stream)
                stream.attempt += 1
                taker = living[len(moved) % len(living)]
                moved.append(stream)
                self.world.sim.after(RECONNECT_MS, self._take_over, taker, stream)
            router.streams.clear()
        self.world.routers[:] = living
        return moved

    def _take_over(self, router: Router, stream: Stream) -> None:
        stream.router = router
        router.streams.add(stream)
        self._stall(router, stream)
        self._pump(router)
