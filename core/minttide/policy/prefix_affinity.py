"""Weighs engines that still hold the beginning of a prompt against others.

The load is requests that share long beginnings of their prompts, on engines that keep the tokens
of a prompt after its request. Reading fewer tokens shortens the time to the first token, but only
while the holder has capacity. The price of the missing tokens is therefore one term of the cost of
an engine, beside its load, and no holder is preferred without that weighing.

All engines of a path or chain must hold a prefix for any of them to skip it: an engine without it
needs the activations of all of its tokens from the engine before.

`SentPrefixes` is what one host knows where engines send no cache events: what it sent, where and
when. A hot prefix spreads by the rising cost of its holders, as each engine that reads it becomes
one. Engines that aren't used for it any more stop being holders as other prompts displace it.

With many hosts, each knows few of the sends. `PrefixHomes` then names engines by the first part of
a prompt, which all hosts take for holders, so that they meet there without messages.
"""

import hashlib
from bisect import bisect_left
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NewType

import msgspec

from minttide.ids import PromptPart, UpstreamId, ZoneId
from minttide.routing.routes import LayerRange, ProcessKey, UpstreamEntry

PrefixKey = NewType("PrefixKey", int)
"""Digest of a model and the parts at the beginning of a prompt; a collision costs a saving."""

READ_WEIGHT = 4.0
"""Weight of the time to read a prompt of which some engine holds a prefix, on holders and others.

Above the weight of other compute time, as reading holds up all requests on the engine. 1 saved
half as much of the time to the first token, 8 filled the fullest engine to 1.28 of the mean in
place of 1.09 (trials of `measure.prefix_choice`).
"""

HALF_LIFE_S = 30.0
"""Time in which a prefix loses half of its certainty, apart from what displaces it.

It bounds how long a loss counts that the host can't see, such as weights loaded anew.
"""

MIN_CERTAINTY = 0.5
"""Certainty below which an engine doesn't count as a holder."""

HOME_CERTAINTY = 0.9
"""Certainty with which a home counts as a holder, as it is used by all hosts."""

RING_POINTS = 8
"""Points of an engine on a ring, which even out the parts that engines have of it."""

POINT_BYTES = 8

MAX_PREFIXES = 4
"""Prefixes of one prompt that are looked up: those of the first parts, and the longest one."""

MAX_HOLDERS = 64
"""Engines kept for one prefix; a path has some 5 to 10."""

MAX_SENDS = 8192
"""Pairs of a prefix and an engine that are kept; 4.6 MB at most with `MAX_ENGINES` engines."""

MAX_ENGINES = 4096
"""Engines whose sent tokens are counted."""


class SizedPart(msgspec.Struct, frozen=True, gc=False):
    """A part of a prompt as named by its caller; `tokens` is 0 if the caller gave no size."""

    part: PromptPart
    tokens: int


class PromptPrefix(msgspec.Struct, frozen=True, gc=False):
    """The first `tokens` tokens of a prompt, made of whole parts that other requests may share."""

    key: PrefixKey
    tokens: int


class HeldPrefix(msgspec.Struct, frozen=True, gc=False):
    """The tokens of a prompt that an engine should hold.

    `certainty` is the probability that it does (0 to 1), `age_s` the age of that knowledge.
    """

    tokens: float
    certainty: float = 1.0
    age_s: float = 0.0


HeldPrefixes = Mapping[UpstreamId, HeldPrefix]
"""The longest prefix of one prompt that each engine should hold, without engines that hold none."""


def prompt_prefixes(model: str, parts: Sequence[SizedPart]) -> tuple[PromptPrefix, ...]:
    """Return the prefixes of a prompt that other requests may share, shortest first.

    The last part is the request's own. A part of unknown size ends what can be compared.
    """
    digest = hashlib.blake2b(model.encode(), digest_size=8)
    found = []
    tokens = 0
    for part in parts[:-1]:
        if part.tokens <= 0:
            break
        tokens += part.tokens
        digest.update(f"\n{part.part}:{part.tokens}".encode())
        found.append(PromptPrefix(PrefixKey(int.from_bytes(digest.digest(), "big")), tokens))
    return (*found[: MAX_PREFIXES - 1], *found[MAX_PREFIXES - 1 :][-1:])


def held_by_all(tokens: Mapping[UpstreamId, float], engines: Iterable[UpstreamId]) -> float:
    """Return how many tokens of a prompt's beginning all of the engines hold."""
    return min((tokens.get(engine, 0) for engine in engines), default=0)


def missing_tokens(prompt: float, held: float) -> float:
    """Return how many tokens of a prompt are left to read; the last one always is."""
    return max(1, prompt - held)


def expected_tokens(prompt: float, held: float, certainty: float) -> float:
    """Return the mean number of tokens to read where the first `held` ones may be held."""
    missing = missing_tokens(prompt, held)
    return certainty * missing + (1.0 - certainty) * max(prompt, missing)


def prefix_lengths(held: HeldPrefixes) -> list[float]:
    """Return the lengths of the held prefixes in tokens, longest first."""
    return sorted({prefix.tokens for prefix in held.values()}, reverse=True)


def holders_of(held: HeldPrefixes, tokens: float) -> dict[UpstreamId, HeldPrefix]:
    """Return the engines that hold at least the first `tokens` tokens."""
    return {engine: prefix for engine, prefix in held.items() if prefix.tokens >= tokens}


def estimate_certainty(displaced: float, retained: float, age_s: float) -> float:
    """Return the probability that an engine still holds a prefix that it has read.

    `displaced` are the tokens that it has read since, `retained` those that it keeps.
    """
    if retained <= 0.0:
        return 0.0
    return max(0.0, 1.0 - displaced / retained) * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


class PrefixHomes:
    """The engines that all hosts of a zone take for holders of a prefix, one for each layer range.

    They are found on a ring of hashes, so that an engine that joins or leaves moves only the
    prefixes of its own part. Engines that leave are no homes.
    """

    def __init__(self, engines: Iterable[UpstreamEntry], zone: ZoneId):
        rings: dict[LayerRange, list[tuple[int, UpstreamId]]] = defaultdict(list)
        for entry in engines:
            if entry.layers is not None and entry.zone == zone and not entry.leaving:
                rings[entry.layers].extend((point, entry.id) for point in _ring_points(entry.id))
        self._rings = [sorted(ring) for ring in rings.values()]

    def find(self, prefixes: Sequence[PromptPrefix]) -> HeldPrefixes:
        """Return the homes of the first part of a prompt, empty without parts."""
        if not prefixes:
            return {}
        first = prefixes[0]
        prefix = HeldPrefix(first.tokens, HOME_CERTAINTY)
        indexes = (bisect_left(ring, (first.key, UpstreamId(""))) for ring in self._rings)
        return {
            ring[index % len(ring)][1]: prefix
            for ring, index in zip(self._rings, indexes, strict=True)
        }


def _ring_points(engine: UpstreamId) -> list[int]:
    size = RING_POINTS * POINT_BYTES
    digest = hashlib.blake2b(engine.encode(), digest_size=size).digest()
    points = range(0, size, POINT_BYTES)
    return [int.from_bytes(digest[at : at + POINT_BYTES], "big") for at in points]


class _Engine(msgspec.Struct, eq=False):
    """One process of an engine with the layers that it held, and the tokens that it was sent."""

    process: ProcessKey
    layers: LayerRange | None
    tokens: float = 0.0

    def is_current(self, entry: UpstreamEntry) -> bool:
        return self.process == entry.process and self.layers == entry.layers


class _Send(msgspec.Struct):
    """The last use of a prefix on an engine; `tokens` is the engine's count just after it."""

    engine: _Engine
    at_s: float
    tokens: float


class SentPrefixes:
    """The prefixes that one host has sent to engines which keep them after their requests.

    What is known of an engine counts only for the process and the layers that read it. The size is
    bounded by `MAX_SENDS` and `MAX_ENGINES`; prefixes that were not used for longest are dropped.
    """

    def __init__(self) -> None:
        self._engines: OrderedDict[UpstreamId, _Engine] = OrderedDict()
        self._sends: OrderedDict[PrefixKey, dict[UpstreamId, _Send]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of pairs of a prefix and an engine."""
        return self._count

    def record(
        self,
        engines: Collection[UpstreamEntry],
        prefixes: Sequence[PromptPrefix],
        prompt: float,
        now_s: float,
    ) -> None:
        """Record that the engines of a path have read a prompt of `prompt` tokens."""
        for entry in engines:
            engine = self._touch(entry)
            engine.tokens += prompt - self._known_tokens(engine, prefixes, prompt)
            for prefix in prefixes:
                self._add(prefix.key, engine, now_s)
        for prefix in prefixes:
            self._sends.move_to_end(prefix.key)
        while self._count > MAX_SENDS:
            _, dropped = self._sends.popitem(last=False)
            self._count -= len(dropped)

    def held(
        self,
        prefixes: Sequence[PromptPrefix],
        engines: Mapping[UpstreamId, UpstreamEntry],
        retained: float,
        hosts: float,
        now_s: float,
    ) -> HeldPrefixes:
        """Return what each of `engines` should hold of a prompt.

        `retained` is how many tokens an engine keeps. `hosts` is the number of hosts that use the
        engines, including this one; each is assumed to send as many other tokens as this one.
        """
        found: dict[UpstreamId, HeldPrefix] = {}
        for prefix in reversed(prefixes):
            for engine, send in self._sends.get(prefix.key, {}).items():
                entry = engines.get(engine)
                if engine in found or entry is None or not self._is_valid(send, entry):
                    continue
                displaced = (send.engine.tokens - send.tokens) * hosts
                age_s = now_s - send.at_s
                certainty = estimate_certainty(displaced, retained, age_s)
                if certainty >= MIN_CERTAINTY:
                    found[engine] = HeldPrefix(prefix.tokens, certainty, age_s)
        return found

    def forget(self, engine: UpstreamId) -> None:
        """Discard what is known of an engine that has failed or left."""
        self._engines.pop(engine, None)

    def _is_valid(self, send: _Send, entry: UpstreamEntry) -> bool:
        return self._engines.get(entry.id) is send.engine and send.engine.is_current(entry)

    def _touch(self, entry: UpstreamEntry) -> _Engine:
        engine = self._engines.get(entry.id)
        if engine is None or not engine.is_current(entry):
            engine = self._engines[entry.id] = _Engine(entry.process, entry.layers)
        self._engines.move_to_end(entry.id)
        if len(self._engines) > MAX_ENGINES:
            self._engines.popitem(last=False)
        return engine

    def _known_tokens(
        self, engine: _Engine, prefixes: Sequence[PromptPrefix], prompt: float
    ) -> float:
        """Return the tokens that the engine was sent before, which displace nothing."""
        for prefix in reversed(prefixes):
            send = self._sends.get(prefix.key, {}).get(engine.process[0])
            if send is not None and send.engine is engine:
                return min(prefix.tokens, prompt)
        return 0.0

    def _add(self, key: PrefixKey, engine: _Engine, now_s: float) -> None:
        sends = self._sends.setdefault(key, {})
        self._count -= len(sends)
        sends.pop(engine.process[0], None)
        sends[engine.process[0]] = _Send(engine, now_s, engine.tokens)
        if len(sends) > MAX_HOLDERS:
            del sends[next(iter(sends))]
        self._count += len(sends)
