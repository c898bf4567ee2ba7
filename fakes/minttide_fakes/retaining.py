"""Stand-in engines in virtual time that keep the beginnings of prompts after their requests."""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence

from minttide.layers.memory import prefill_ms, step_ms, token_capacity
from minttide.layers.paths import RequestSize
from minttide.policy.prefix_affinity import (
    PrefixKey,
    PromptPrefix,
    held_by_all,
    missing_tokens,
)
from minttide.routing.routes import ModelSpec, UpstreamEntry

MS_PER_S = 1000.0

DECODE_CHUNKS = 4
"""Parts of a decode; the pace of each follows from the streams at its beginning."""


class FullError(Exception):
    """An engine has no memory left for a request."""


class RetainingEngine:
    """An engine that reads one prompt at a time and keeps prompts in least-recently-used order.

    It keeps `model.retained_tokens` tokens, beside the memory of running requests. `slowdown`
    multiplies all of its times. `token_s` is the integral of its tokens over time.
    """

    def __init__(self, model: ModelSpec, entry: UpstreamEntry, slowdown: float = 1.0):
        assert entry.layers is not None
        kind = model.kind(entry.kind)
        assert kind is not None
        self.entry = entry
        self.slowdown = slowdown
        self.capacity = token_capacity(model, kind, len(entry.layers))
        self.streams = 0
        self.tokens = 0.0
        self.token_s = 0.0
        self._model = model
        self._kind = kind
        self._layers = len(entry.layers)
        self._kept: OrderedDict[PrefixKey, float] = OrderedDict()
        self._kept_tokens = 0.0
        self._own_prompts = 0
        self._reads = asyncio.Lock()

    def held_tokens(self, prefixes: Sequence[PromptPrefix]) -> float:
        """Return the tokens of the longest prefix that is kept."""
        return max((p.tokens for p in prefixes if p.key in self._kept), default=0.0)

    async def read(self, tokens: float, size: RequestSize) -> None:
        """Read the missing `tokens` tokens of a prompt after those of earlier requests."""
        async with self._reads:
            await self._sleep(prefill_ms(self._model, self._kind, self._layers, tokens))
        self._keep(size)

    def step_ms(self) -> float:
        """Return the time of a decode step with the present streams."""
        return step_ms(self._model, self._kind, self._layers, self.streams) * self.slowdown

    def _keep(self, size: RequestSize) -> None:
        """Keep a prompt: each part between two prefixes, and what is the request's own."""
        before = 0.0
        for prefix in size.prefixes or ():
            self._add(prefix.key, prefix.tokens - before)
            before = prefix.tokens
        self._own_prompts += 1
        self._add(PrefixKey(-self._own_prompts), size.prompt - before)
        while self._kept_tokens > self._model.retained_tokens:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens

    def _add(self, key: PrefixKey, tokens: float) -> None:
        self._kept_tokens += tokens - self._kept.pop(key, 0.0)
        self._kept[key] = tokens

    async def _sleep(self, ms: float) -> None:
        await asyncio.sleep(ms * self.slowdown / MS_PER_S)


async def run_stream(engines: Sequence[RetainingEngine], size: RequestSize) -> float:
    """Run a request on a path of engines and return the time to its first token in seconds.

    `finish_stream` decodes the rest. Raises `FullError` if an engine has no memory left for it.
    """
    started_s = asyncio.get_running_loop().time()
    tokens = size.prompt + size.answer
    if any(e.tokens + tokens > e.capacity for e in engines):
        raise FullError
    for engine in engines:
        engine.tokens += tokens
        engine.streams += 1
    held = {e.entry.id: e.held_tokens(size.prefixes or ()) for e in engines}
    missing = missing_tokens(size.prompt, held_by_all(held, held))
    for engine in engines:
        await engine.read(missing, size)
    await asyncio.sleep(sum(e.step_ms() for e in engines) / MS_PER_S)
    return asyncio.get_running_loop().time() - started_s


async def finish_stream(engines: Sequence[RetainingEngine], size: RequestSize) -> None:
    """Decode the rest of a request whose first token is there, and free its memory."""
    started_s = asyncio.get_running_loop().time()
    for _ in range(DECODE_CHUNKS):
        ms = sum(e.step_ms() for e in engines) * size.answer / DECODE_CHUNKS
        await asyncio.sleep(ms / MS_PER_S)
    held_s = asyncio.get_running_loop().time() - started_s
    for engine in engines:
        engine.tokens -= size.prompt + size.answer
        engine.streams -= 1
        engine.token_s += (size.prompt + size.answer) * held_s
