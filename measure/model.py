"""A small discrete-event model of chains of engines, for measuring policies in virtual time.

Engines batch continuously: each step takes the decode steps that wait and a bounded part of the
prompts. Only times and memory are modelled. The decisions are those of `minttide.policy`.
"""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from minttide.config.service import ModelService, Site
from minttide.ids import ChainId
from minttide.policy.chain_rating import batch_limit
from minttide.policy.chains import Chain
from minttide.policy.links import Links
from minttide.policy.profiles import (
    MB_PER_KB,
    EngineProfile,
    decode_layer_us,
    highest_level_within,
    prefill_layer_us,
    profile_engines,
    profile_service,
)

PREFILL_CHUNK = 64
"""Prompt tokens that one engine step takes at most."""


class Sim:
    """A clock in milliseconds and the events that are to come."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def after(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Call `call` after `delay_ms`."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_ms, self._count, call, args))

    def run(self, until_ms: float) -> None:
        """Run all events up to `until_ms`."""
        while self._events and self._events[0][0] <= until_ms:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until_ms


@dataclass(eq=False)
class Stream:
    """One request: what it asks for, where it runs and when its tokens came."""

    name: str
    account: str
    prompt: int
    answer: int
    arrived: float
    deadline: float
    router: Any = None
    attempt: int = 0
    accepted: bool = False
    chain: "SimChain | None" = None
    stage: int = 0
    prefill: int = 0  # tokens that this attempt runs before its first token
    left: int = 0  # prompt tokens that the present stage still has to run
    sent: float = 0.0
    waits: int = 0  # prompt tokens that its daemon counts as waiting
    tokens: list[float] = field(default_factory=list)

    @property
    def context(self) -> int:
        """Return the tokens of prompt and answer so far."""
        return self.prompt + len(self.tokens)

    @property
    def finished(self) -> bool:
        """Return whether the answer is whole."""
        return len(self.tokens) >= self.answer


Work = tuple[Stream, int]


def _is_new(work: Work) -> bool:
    """Return false for a stream that is resumed, which engines run first by its priority."""
    stream = work[0]
    return not (stream.left and stream.tokens)


class SimEngine:
    """One engine that holds one stage."""

    def __init__(self, sim: Sim, shape: EngineProfile, watts: int, layers: int, model: Any):
        level = highest_level_within(shape, watts)
        self.id = shape.engine
        self.zone = shape.zone
        self.dead = False
        self.slow = 1.0
        self.streams = 0
        self.stages = 1
        self.limits_batches = True
        self.waiting: list[Work] = []
        self.on_done: Callable[[list[Work]], None] = lambda _: None
        self.on_seen: Callable[[Work, float], None] | None = None
        self.on_lost: Callable[[list[Work]], None] = lambda _: None
        self._sim = sim
        self._busy = False
        self._running: list[Work] = []
        fixed = decode_layer_us(shape, level, model, 0)
        self._fixed_ms = layers * fixed / 1000.0
        self._stream_ms = layers * (decode_layer_us(shape, level, model, 1) - fixed) / 1000.0
        self._prompt_ms = layers * prefill_layer_us(shape, level, model) / 1000.0

    def submit(self, work: Sequence[Work]) -> None:
        """Queue work and start a step where none is under way."""
        if self.dead:
            self.on_lost(list(work))
            return
        now = self._sim.now
        for item in work:
            item[0].sent = now
            self.waiting.append(item)
        if any(stream.left and stream.tokens for stream, _ in work):
            self.waiting.sort(key=_is_new)
        if not self._busy:
            self._begin()

    def kill(self) -> None:
        """Stop for good; nothing that was sent here is answered."""
        self.dead = True
        self.on_lost(self.waiting + self._running)

    def _begin(self) -> None:
        done: list[Work] = []
        kept: list[Work] = []
        steps = 0
        chunk = PREFILL_CHUNK
        most = batch_limit(self.streams, self.stages) if self.limits_batches else self.streams
        for item in self.waiting:
            stream, attempt = item
            if stream.attempt != attempt:
                continue
            if stream.left:
                taken = min(chunk, stream.left)
                chunk -= taken
                stream.left -= taken
                (kept if stream.left else done).append(item)
            elif steps < most:
                steps += 1
                done.append(item)
            else:
                kept.append(item)
        self.waiting = kept
        prompts = PREFILL_CHUNK - chunk
        if not steps and not prompts:
            return
        self._busy = True
        rated = self._fixed_ms + self._stream_ms * steps + self._prompt_ms * prompts
        self._running = done
        self._sim.after(rated * self.slow, self._end, done)

    def _end(self, done: list[Work]) -> None:
        self._busy = False
        if self.dead:
            return
        self._running = []
        if done and self.on_seen is not None:
            self.on_seen(done[0], self._sim.now - done[0][0].sent)
        if done:
            self.on_done(done)
        if self.waiting and not self._busy:
            self._begin()


class SimChain:
    """A chain of engines that streams pass through stage by stage."""

    def __init__(
        self, sim: Sim, chain: Chain, engines: Sequence[SimEngine], links: Links, capacity: int
    ):
        self.chain = chain
        self.id: ChainId = chain.id
        self.engines = engines
        self.capacity = capacity
        self.active: set[Stream] = set()
        self.pending: list[Stream] = []
        self._sim = sim
        zones = [e.zone for e in engines]
        hops = zip(zones, zones[1:], strict=False)
        self._hop_ms = [links.between(a, b).one_way_us / 1000.0 for a, b in hops]
        self._back_ms = 2.0 * links.between(zones[-1], zones[0]).one_way_us / 1000.0
        for engine in engines:
            engine.stages = len(engines)
        for stage, engine in enumerate(engines[:-1]):
            engine.on_done = partial(self._advance, stage)
        engines[-1].on_done = self._deliver

    @property
    def dead(self) -> bool:
        """Return whether any engine is dead."""
        return any(e.dead for e in self.engines)

    def start(self, stream: Stream, prefill: int) -> None:
        """Begin an attempt of `stream`, which has `prefill` tokens to run."""
        stream.attempt += 1
        stream.chain = self
        stream.stage = 0
        stream.prefill = stream.left = max(1, prefill)
        if len(self.active) >= self.capacity:
            self.pending.append(stream)
            return
        self._admit(stream)

    def _admit(self, stream: Stream) -> None:
        self.active.add(stream)
        for engine in self.engines:
            engine.streams += 1
        self.engines[0].submit([(stream, stream.attempt)])

    def leave(self, stream: Stream) -> None:
        """Take a stream off the chain and let one that waits for memory in."""
        if stream in self.pending:
            self.pending.remove(stream)
        if stream not in self.active:
            return
        self.active.discard(stream)
        for engine in self.engines:
            engine.streams -= 1
        if self.pending and not self.dead:
            self._admit(self.pending.pop(0))

    def _advance(self, stage: int, done: list[Work]) -> None:
        current = [w for w in done if w[0].attempt == w[1]]
        for stream, _ in current:
            stream.stage = stage + 1
            stream.left = stream.prefill
        self._sim.after(self._hop_ms[stage], self.engines[stage + 1].submit, current)

    def _deliver(self, done: list[Work]) -> None:
        again: list[Work] = []
        for stream, attempt in done:
            if stream.attempt != attempt:
                continue
            stream.prefill = 0
            stream.stage = 0
            stream.tokens.append(self._sim.now)
            stream.router.on_token(stream)
            if not stream.finished:
                again.append((stream, attempt))
        if again:
            self._sim.after(self._back_ms, self.engines[0].submit, again)


def build_chains(
    sim: Sim, site: Site, service: ModelService, chains: Sequence[Chain]
) -> dict[ChainId, SimChain]:
    """Build the engines and chains of a plan; memory for KV cache bounds a chain's streams."""
    shapes = {s.engine: s for s in profile_engines(site, service.engines)}
    links = Links(site)
    figures = profile_service(service)
    built = {}
    for chain in chains:
        engines = []
        capacity = 10**9
        for stage in chain.stages:
            layers = stage.last - stage.first
            shape = shapes[stage.engine]
            engines.append(SimEngine(sim, shape, stage.watts, layers, service.model))
            free_mb = shape.memory_mb - layers * service.model.mb_per_layer
            kv_kb = service.model.kv_kb_per_token_layer * figures.context_tokens * layers
            capacity = min(capacity, int(free_mb / (kv_kb * MB_PER_KB)))
        built[chain.id] = SimChain(sim, chain, engines, links, capacity)
    return built
