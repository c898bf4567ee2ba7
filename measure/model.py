"""A discrete-event simulation of chains of engines, for measuring policies in virtual time.

Engines use continuous batching: each step runs the queued decode steps and a bounded number of
prompt tokens. Only times and memory are modelled. The decisions are made by `minttide.policy`.
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
"""Maximum number of prompt tokens in one engine step."""


class EventLoop:
    """A virtual clock in milliseconds, with a queue of future events."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def after(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` after `delay_ms`."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_ms, self._count, callback, args))

    def run(self, until_ms: float) -> None:
        """Run all events that are due up to `until_ms`."""
        while self._events and self._events[0][0] <= until_ms:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        self.now = until_ms


@dataclass(eq=False)
class Stream:
    """One request: its lengths, the chain and stage that run it, and the times of its tokens."""

    name: str
    account: str
    prompt: int
    answer: int
    arrived_ms: float
    deadline_ms: float
    router: Any = None
    attempt: int = 0
    accepted: bool = False
    chain: "SimChain | None" = None
    stage: int = 0
    prefill: int = 0  # tokens that this attempt prefills before its first token
    prompt_left: int = 0  # prompt tokens that the current stage still has to prefill
    sent_ms: float = 0.0
    counted_prefill: int = 0  # prompt tokens in its daemon's count of queued prefill
    tokens: list[float] = field(default_factory=list)

    @property
    def context(self) -> int:
        """Return the number of tokens of the prompt and of the answer so far."""
        return self.prompt + len(self.tokens)

    @property
    def finished(self) -> bool:
        """Return whether the answer is complete."""
        return len(self.tokens) >= self.answer


WorkItem = tuple[Stream, int]
"""A stream and the attempt that its step belongs to; items of earlier attempts are ignored."""


def _is_not_resumed(item: WorkItem) -> bool:
    """Return false for the prefill of a resumed stream, which engines run first."""
    stream = item[0]
    return not (stream.prompt_left and stream.tokens)


class SimEngine:
    """An engine that runs one stage of a chain."""

    def __init__(
        self, loop: EventLoop, profile: EngineProfile, watts: int, layers: int, model: Any
    ):
        level = highest_level_within(profile, watts)
        self.id = profile.engine
        self.zone = profile.zone
        self.dead = False
        self.slow_factor = 1.0
        self.streams = 0
        self.stages = 1
        self.limits_batches = True
        self.waiting: list[WorkItem] = []
        self.on_steps_done: Callable[[list[WorkItem]], None] = lambda _: None
        self.on_step_time: Callable[[WorkItem, float], None] | None = None
        self.on_items_lost: Callable[[list[WorkItem]], None] = lambda _: None
        self._loop = loop
        self._busy = False
        self._running: list[WorkItem] = []
        fixed_us = decode_layer_us(profile, level, model, 0)
        self._step_ms = layers * fixed_us / 1000.0
        self._stream_ms = layers * (decode_layer_us(profile, level, model, 1) - fixed_us) / 1000.0
        self._prefill_token_ms = layers * prefill_layer_us(profile, level, model) / 1000.0

    def submit(self, items: Sequence[WorkItem]) -> None:
        """Queue items, and start a step if none is running."""
        if self.dead:
            self.on_items_lost(list(items))
            return
        now = self._loop.now
        for item in items:
            item[0].sent_ms = now
            self.waiting.append(item)
        if any(stream.prompt_left and stream.tokens for stream, _ in items):
            self.waiting.sort(key=_is_not_resumed)
        if not self._busy:
            self._start_step()

    def kill(self) -> None:
        """Stop permanently; items that are queued or running are lost."""
        self.dead = True
        self.on_items_lost(self.waiting + self._running)

    def _start_step(self) -> None:
        done: list[WorkItem] = []
        remaining: list[WorkItem] = []
        steps = 0
        chunk_left = PREFILL_CHUNK
        max_steps = batch_limit(self.streams, self.stages) if self.limits_batches else self.streams
        for item in self.waiting:
            stream, attempt = item
            if stream.attempt != attempt:
                continue
            if stream.prompt_left:
                chunk_tokens = min(chunk_left, stream.prompt_left)
                chunk_left -= chunk_tokens
                stream.prompt_left -= chunk_tokens
                (remaining if stream.prompt_left else done).append(item)
            elif steps < max_steps:
                steps += 1
                done.append(item)
            else:
                remaining.append(item)
        self.waiting = remaining
        prompts = PREFILL_CHUNK - chunk_left
        if not steps and not prompts:
            return
        self._busy = True
        step_ms = self._step_ms + self._stream_ms * steps + self._prefill_token_ms * prompts
        self._running = done
        self._loop.after(step_ms * self.slow_factor, self._finish_step, done)

    def _finish_step(self, done: list[WorkItem]) -> None:
        self._busy = False
        if self.dead:
            return
        self._running = []
        if done and self.on_step_time is not None:
            self.on_step_time(done[0], self._loop.now - done[0][0].sent_ms)
        if done:
            self.on_steps_done(done)
        if self.waiting and not self._busy:
            self._start_step()


class SimChain:
    """A chain of engines, whose stages each step of a stream runs through."""

    def __init__(
        self,
        loop: EventLoop,
        chain: Chain,
        engines: Sequence[SimEngine],
        links: Links,
        capacity: int,
    ):
        self.chain = chain
        self.id: ChainId = chain.id
        self.engines = engines
        self.capacity = capacity
        self.active: set[Stream] = set()
        self.pending: list[Stream] = []
        self._loop = loop
        zones = [e.zone for e in engines]
        hops = zip(zones, zones[1:], strict=False)
        self._hop_ms = [links.between(a, b).one_way_us / 1000.0 for a, b in hops]
        self._return_ms = 2.0 * links.between(zones[-1], zones[0]).one_way_us / 1000.0
        for engine in engines:
            engine.stages = len(engines)
        for stage, engine in enumerate(engines[:-1]):
            engine.on_steps_done = partial(self._forward, stage)
        engines[-1].on_steps_done = self._deliver

    @property
    def dead(self) -> bool:
        """Return whether any engine is dead."""
        return any(e.dead for e in self.engines)

    def start(self, stream: Stream, prefill: int) -> None:
        """Start an attempt of `stream` that prefills `prefill` tokens."""
        stream.attempt += 1
        stream.chain = self
        stream.stage = 0
        stream.prefill = stream.prompt_left = max(1, prefill)
        if len(self.active) >= self.capacity:
            self.pending.append(stream)
            return
        self._admit(stream)

    def _admit(self, stream: Stream) -> None:
        self.active.add(stream)
        for engine in self.engines:
            engine.streams += 1
        self.engines[0].submit([(stream, stream.attempt)])

    def detach(self, stream: Stream) -> None:
        """Remove a stream from the chain, and admit one that waits for memory."""
        if stream in self.pending:
            self.pending.remove(stream)
        if stream not in self.active:
            return
        self.active.discard(stream)
        for engine in self.engines:
            engine.streams -= 1
        if self.pending and not self.dead:
            self._admit(self.pending.pop(0))

    def _forward(self, stage: int, done: list[WorkItem]) -> None:
        current = [w for w in done if w[0].attempt == w[1]]
        for stream, _ in current:
            stream.stage = stage + 1
            stream.prompt_left = stream.prefill
        self._loop.after(self._hop_ms[stage], self.engines[stage + 1].submit, current)

    def _deliver(self, done: list[WorkItem]) -> None:
        unfinished: list[WorkItem] = []
        for stream, attempt in done:
            if stream.attempt != attempt:
                continue
            stream.prefill = 0
            stream.stage = 0
            stream.tokens.append(self._loop.now)
            stream.router.on_token(stream)
            if not stream.finished:
                unfinished.append((stream, attempt))
        if unfinished:
            self._loop.after(self._return_ms, self.engines[0].submit, unfinished)


def build_chains(
    loop: EventLoop, site: Site, service: ModelService, chains: Sequence[Chain]
) -> dict[ChainId, SimChain]:
    """Build the engines and chains of a plan, with their limit on streams by KV cache memory."""
    profiles = {s.engine: s for s in profile_engines(site, service.engines)}
    links = Links(site)
    service_profile = profile_service(service)
    built = {}
    for chain in chains:
        engines = []
        capacity = 10**9
        for stage in chain.stages:
            layers = stage.last - stage.first
            profile = profiles[stage.engine]
            engines.append(SimEngine(loop, profile, stage.watts, layers, service.model))
            kv_mb = profile.memory_mb - layers * service.model.mb_per_layer
            kv_kb = service.model.kv_kb_per_token_layer * service_profile.context_tokens * layers
            capacity = min(capacity, int(kv_mb / (kv_kb * MB_PER_KB)))
        built[chain.id] = SimChain(loop, chain, engines, links, capacity)
    return built
