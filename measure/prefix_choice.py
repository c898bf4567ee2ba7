"""Measures choices of paths for requests that share beginnings of their prompts, in virtual time.

    python -m measure.prefix_choice

also measures how long a choice takes and what a host keeps; `python -m measure prefix_choice`
makes the table alone. Engines of two kinds hold four blocks of layers and keep prompts after their
requests (`fakes/minttide_fakes/retaining.py`). Several hosts choose by their own knowledge of what
they sent and by load reports that are up to 0.45 s old.
"""

import argparse
import asyncio
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import product

import msgspec

from measure.table import Table, percentile
from minttide.ids import Address, PromptPart, ServiceName, UpstreamId, ZoneId
from minttide.layers.paths import EngineLoad, Path, PathFinder, RequestSize, Stage
from minttide.layers.usage import add_usages
from minttide.policy.prefix_affinity import (
    HeldPrefix,
    HeldPrefixes,
    PrefixHomes,
    SentPrefixes,
    SizedPart,
    prompt_prefixes,
)
from minttide.routing.routes import AcceleratorSpec, LayerRange, ModelSpec, UpstreamEntry
from minttide_fakes.retaining import FullError, RetainingEngine, finish_stream, run_stream
from minttide_fakes.virtual import run_virtual
from minttided.gateway.streams.loads import EngineLoads, PeerLoads

ZONE = ZoneId("z")
BLOCKS, BLOCK_LAYERS, REPLICAS = 4, 20, 10
KINDS = (
    AcceleratorSpec("fast", 60_000.0, 2.4, 2.4),
    AcceleratorSpec("slow", 60_000.0, 5.3, 5.3),
)
MODEL = ModelSpec(
    name="m",
    layers=BLOCKS * BLOCK_LAYERS,
    layer_mb=1750.0,
    kv_token_bytes=852_000.0,
    step_ms=0.85,
    stream_ms=0.0055,
    context_ms_per_k=0.0074,
    read_tokens_per_s=68_000.0,
    load_s=14.0,
    loads_at_once=6,
    slots=96,
    usual_prompt=4000.0,
    usual_answer=150.0,
    activation_bytes=42_600.0,
    zone_link_mbps=9300.0,
    kinds=KINDS,
)
PROMPT, ANSWER = 4000, 150.0
SHARED_PARTS = 400
"""Beginnings of prompts, of which the n-th most frequent has a weight of 1/n."""

SHARES = (0.0, 0.25, 0.5, 0.75, 0.9)
MEMORY = {"scarce": 12_000, "middle": 48_000, "ample": 400_000}
"""Tokens of prompts that an engine keeps: 3, 12 and 100 prompts."""

HOSTS = 4
EXCHANGE_S = 0.45
SECONDS, WARM_S = 20.0, 5.0
REQUESTS_PER_S = 100.0

Chooser = Callable[["Host", RequestSize], Path | None]


def draw_engines() -> list[UpstreamEntry]:
    """Return the engines: each block on as many of one kind as of the other."""
    return [
        UpstreamEntry(
            UpstreamId(f"e{block}-{number}"),
            ServiceName("s"),
            Address(f"e{block}-{number}:1"),
            ZONE,
            False,
            MODEL.slots,
            kind=KINDS[number % 2].name,
            layers=LayerRange(block * BLOCK_LAYERS, (block + 1) * BLOCK_LAYERS),
        )
        for block in range(BLOCKS)
        for number in range(REPLICAS)
    ]


@dataclass
class Host:
    """One host: its view of the loads, what it sent, and its random numbers."""

    model: ModelSpec
    entries: Mapping[UpstreamId, UpstreamEntry]
    hosts: int
    rng: random.Random
    sent: SentPrefixes = field(default_factory=SentPrefixes)

    def __post_init__(self) -> None:
        self.peer_loads = PeerLoads()
        self.loads = EngineLoads(lambda: float(self.hosts), self.peer_loads)
        self.finder = PathFinder(self.model, list(self.entries.values()))
        self.homes = PrefixHomes(self.entries.values(), ZONE)
        self.knows_all = False

    def held(self, size: RequestSize) -> HeldPrefixes:
        """Return what the engines should hold of a prompt."""
        now_s = asyncio.get_running_loop().time()
        others = 1.0 if self.knows_all else float(self.hosts)
        retained = self.model.retained_tokens
        return self.sent.held(size.prefixes or (), self.entries, retained, others, now_s)

    def search(self, size: RequestSize, held: HeldPrefixes | None = None) -> Path | None:
        """Return the path that the search finds."""
        return self.finder.choose(size, ZONE, self.loads.estimate(), self.rng, held=held)


def choose_random(host: Host, size: RequestSize) -> Path:
    """Choose any engine for each block."""
    return choose_each(host, lambda entry: host.rng.random())


def choose_least_loaded(host: Host, size: RequestSize) -> Path:
    """Choose the engine of the fewest tokens for each block."""
    loads = host.loads.estimate()
    return choose_each(host, lambda e: (loads.get(e.id, EngineLoad()).tokens, host.rng.random()))


def choose_holder(host: Host, size: RequestSize) -> Path | None:
    """Choose the holder of most of the prompt for each block, whatever its load."""
    held = host.held(size)
    if not held:
        return host.search(size)
    none = HeldPrefix(0.0, 0.0)

    def rank(entry: UpstreamEntry) -> tuple[float, float, float]:
        prefix = held.get(entry.id, none)
        return (-prefix.tokens, -prefix.certainty, host.rng.random())

    return choose_each(host, rank)


def choose_with_homes(host: Host, size: RequestSize) -> Path | None:
    """Weigh what is held, and take one engine of each block for a holder on all hosts."""
    return host.search(size, {**host.homes.find(size.prefixes or ()), **host.held(size)})


def choose_each(host: Host, rank: Callable[[UpstreamEntry], object]) -> Path:
    """Return the path of the lowest-ranked engine of each block."""
    path = []
    for block in range(BLOCKS):
        first = block * BLOCK_LAYERS
        of_block = [e for e in host.entries.values() if e.layers and e.layers.first == first]
        entry = min(of_block, key=rank)  # type: ignore[arg-type]
        assert entry.layers is not None
        path.append(Stage(entry.id, entry.address, entry.zone, entry.layers, entry.kind))
    return tuple(path)


CHOOSERS: dict[str, Chooser] = {
    "random": choose_random,
    "least load": choose_least_loaded,
    "search without prefixes": lambda host, size: host.search(size),
    "the same, reading weighed": lambda host, size: host.search(size, NOWHERE),
    "always the holder": choose_holder,
    "weighed by own sends": lambda host, size: host.search(size, host.held(size)),
    "weighed, with homes": choose_with_homes,
}
NOWHERE = {UpstreamId("none"): HeldPrefix(1.0)}
"""Lets the search weigh reading without a holder, which shows the effect of that weight alone."""


@dataclass
class Result:
    """What one run gave. Times are in milliseconds, `fullest` is against the mean of its kind."""

    first_ms: list[float] = field(default_factory=list)
    arrived: int = 0
    served: int = 0
    fullest: float = 0.0


class Fleet:
    """Engines and hosts under one load."""

    def __init__(
        self,
        chooser: Chooser,
        share: float,
        retained: int,
        seed: int,
        hosts: int = HOSTS,
        requests_per_s: float = REQUESTS_PER_S,
        tells: bool = False,
    ):
        self.model = msgspec.structs.replace(MODEL, retained_tokens=retained)
        self.entries = {e.id: e for e in draw_engines()}
        self.engines = {e.id: RetainingEngine(self.model, e) for e in self.entries.values()}
        self._rng = random.Random(seed)
        self.hosts = [
            Host(self.model, self.entries, hosts, random.Random(f"{seed} {number}"))
            for number in range(hosts)
        ]
        if tells:  # all hosts know at once what each of them sent
            for host in self.hosts:
                host.sent, host.knows_all = self.hosts[0].sent, True
        self._chooser = chooser
        self._shared = int(share * PROMPT)
        self._rate = requests_per_s
        self.result = Result()

    def set_rate(self, requests_per_s: float) -> None:
        """Change the load of the runs from now on."""
        self._rate = requests_per_s

    def draw_size(self, number: int) -> RequestSize:
        """Return the size of a request with one of the shared beginnings."""
        parts = [SizedPart(PromptPart(f"own{number}"), PROMPT - self._shared)]
        if self._shared:
            names = range(SHARED_PARTS)
            name = self._rng.choices(names, [1.0 / (n + 1) for n in names])[0]
            parts.insert(0, SizedPart(PromptPart(f"shared{name}"), self._shared))
        return RequestSize(PROMPT, ANSWER, prompt_prefixes(self.model.name, parts))

    async def exchange(self) -> None:
        """Let each host learn the loads of the others once per period."""
        while True:
            for host in self.hosts:
                usages = [h.loads.local_usages() for h in self.hosts if h is not host]
                host.peer_loads.set_peer_totals(add_usages(usages))
                await asyncio.sleep(EXCHANGE_S / len(self.hosts))

    async def request(self, number: int, counts: bool) -> None:
        """Run one request; it counts once the fleet is warm."""
        host = self._rng.choice(self.hosts)
        size = self.draw_size(number)
        self.result.arrived += counts
        path = self._chooser(host, size)
        if path is None:
            return
        engines = [self.engines[stage.engine] for stage in path]
        host.loads.add(path, size)
        try:
            first_s = await run_stream(engines, size)
            now_s = asyncio.get_running_loop().time()
            entries = [self.entries[s.engine] for s in path]
            host.sent.record(entries, size.prefixes or (), size.prompt, now_s)
            await finish_stream(engines, size)
        except FullError:
            return
        finally:
            host.loads.remove(path, size)
        if counts:
            self.result.first_ms.append(1000.0 * first_s)
            self.result.served += 1

    async def run(self) -> Result:
        """Send requests for a while and wait until all have ended."""
        exchange = asyncio.create_task(self.exchange())
        tasks = []
        for number in range(int(self._rate * SECONDS)):
            counts = asyncio.get_running_loop().time() >= WARM_S
            tasks.append(asyncio.create_task(self.request(number, counts)))
            await asyncio.sleep(self._rng.expovariate(self._rate))
        await asyncio.gather(*tasks)
        exchange.cancel()
        self.result.fullest = max(self._relative_use(kind) for kind in KINDS)
        return self.result

    def _relative_use(self, kind: AcceleratorSpec) -> float:
        used = [e.token_s for e in self.engines.values() if e.entry.kind == kind.name]
        return max(used) / statistics.fmean(used) if any(used) else 1.0


def measure_one(
    choice: str, share: float, retained: int, seed: int, **fleet: object
) -> tuple[float, float, float, float]:
    """Return median and p95 of the first token in ms, the part served, and the fullest engine."""
    result = run_virtual(
        Fleet(CHOOSERS[choice], share, retained, seed, **fleet).run()  # type: ignore[arg-type]
    )
    return (
        percentile(result.first_ms, 0.5),
        percentile(result.first_ms, 0.95),
        result.served / max(1, result.arrived),
        result.fullest,
    )


COLUMNS = ["choice", "first token ms", "p95 ms", "served", "fullest / mean"]


def run(seed: int) -> Table:
    table = Table(
        "prefix_choice",
        "Choice of paths for prompts with common beginnings",
        "python -m measure prefix_choice",
        seed,
        ["memory", "common", *COLUMNS],
    )
    for (memory, retained), share, choice in product(MEMORY.items(), SHARES, CHOOSERS):
        table.add(memory, share, choice, *measure_one(choice, share, retained, seed))
    table.note(
        f"{BLOCKS * REPLICAS} engines of two kinds in {BLOCKS} blocks, {HOSTS} hosts, "
        f"{REQUESTS_PER_S:.0f} requests a second of {PROMPT} tokens with {SHARED_PARTS} beginnings"
    )
    kept = ", ".join(f"{name} {tokens}" for name, tokens in MEMORY.items())
    table.note(f"memory: tokens that an engine keeps, {kept}; {SECONDS - WARM_S:.0f} s measured")
    return table


def run_knowledge(seed: int) -> Table:
    """Compare what hosts know of each other's sends."""
    table = Table(
        "prefix_knowledge",
        "Knowledge of what other hosts sent, 0.75 of the prompt common",
        "python -m measure.prefix_choice",
        seed,
        ["hosts", "memory", "known", *COLUMNS[1:]],
    )
    for hosts, memory in product((1, 4, 16, 64), ("middle", "ample")):
        cases: Sequence[tuple[str, str, bool]] = (
            ("no prefixes", "search without prefixes", False),
            ("own sends", "weighed by own sends", False),
            ("own sends and homes", "weighed, with homes", False),
            ("all sends, at once", "weighed by own sends", True),
        )
        for name, choice, tells in cases:
            found = measure_one(choice, 0.75, MEMORY[memory], seed, hosts=hosts, tells=tells)
            table.add(hosts, memory, name, *found)
    return table


def run_cost(seed: int) -> Table:
    """Measure the time of one choice and the memory of a host's knowledge."""
    table = Table(
        "prefix_cost",
        "Processor time of one choice, and memory",
        "python -m measure.prefix_choice",
        seed,
        ["case", "microseconds a request"],
    )
    cases = {
        "off": "search without prefixes",
        "on, own sends": "weighed by own sends",
        "on, own sends and homes": "weighed, with homes",
    }
    for name, choice in cases.items():
        table.add(name, run_virtual(time_choices(CHOOSERS[choice], seed)))
    table.add("record of a send", run_virtual(time_records(seed)))
    table.note("median of 5 rounds; with the estimate of loads, 40 engines and paths of 4")
    table.note(
        f"{measure_bytes():,.0f} bytes for each pair of a prefix and an engine (tracemalloc)"
    )
    return table


ROUNDS, CHOICES = 5, 400


async def time_choices(chooser: Chooser, seed: int) -> float:
    """Return the median processor time of a choice in microseconds."""
    fleet = Fleet(chooser, 0.75, MEMORY["ample"], seed)
    host = fleet.hosts[0]
    for number in range(CHOICES):
        size = fleet.draw_size(number)
        path = choose_random(host, size)
        if number % 10 == 0:  # the load of running requests; all sends would fill the engines
            host.loads.add(path, size)
        host.sent.record([fleet.entries[s.engine] for s in path], size.prefixes or (), PROMPT, 0.0)
    sizes = [fleet.draw_size(-n) for n in range(CHOICES)]
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for size in sizes:
            assert chooser(host, size) is not None
        times.append((time.process_time() - started) / CHOICES * 1e6)
    return statistics.median(times)


async def time_records(seed: int) -> float:
    """Return the median processor time of recording a send in microseconds."""
    fleet = Fleet(CHOOSERS["weighed, with homes"], 0.75, MEMORY["ample"], seed)
    host = fleet.hosts[0]
    size = fleet.draw_size(0)
    path = host.search(size)
    assert path is not None
    entries = [fleet.entries[s.engine] for s in path]
    sizes = [fleet.draw_size(n) for n in range(CHOICES)]
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for size in sizes:
            host.sent.record(entries, size.prefixes or (), PROMPT, 0.0)
        times.append((time.process_time() - started) / CHOICES * 1e6)
    return statistics.median(times)


def measure_bytes() -> float:
    """Return the bytes of a pair of a prefix and an engine on paths of 4 engines."""
    entries = draw_engines()
    tracemalloc.start()
    sent = SentPrefixes()
    for number in range(2000):
        parts = [SizedPart(PromptPart(f"p{number}"), 100), SizedPart(PromptPart("own"), 1)]
        sent.record(entries[number % 30 : number % 30 + 4], prompt_prefixes("m", parts), 101, 0.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / len(sent)


def main() -> None:
    """Print the tables of what hosts know and what it costs."""
    parser = argparse.ArgumentParser(prog="python -m measure.prefix_choice", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for make in (run, run_knowledge, run_cost):
        table = make(args.seed)
        table.write()
        print(table.text(), flush=True)


if __name__ == "__main__":
    main()
