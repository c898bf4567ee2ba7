"""Daemons of the model: they admit requests, choose chains and follow streams by the policies."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from measure.model import Sim, SimChain, Stream, build_chains
from minttide.config.service import ModelService, Site
from minttide.ids import AccountId, ChainId, HostId, RequestId, UpstreamId, ZoneId
from minttide.policy.averages import TimeWeightedAverage
from minttide.policy.chains import (
    OVERSUBSCRIPTION_FACTOR,
    Chain,
    ChainEstimator,
    LoadSnapshot,
    assemble_chains,
    can_start_stream,
    choose_chain,
)
from minttide.policy.limits import FairQueue, Ticket, latest_start_s
from minttide.policy.step_times import StepTimeMonitor
from minttide.policy.subset import subset_for
from minttide.records import Assignment
from minttide.steps import LoadReport

REPORT_EVERY_MS = 1_000.0
REPORT_LAG_MS = 500.0
EXPECTED_ANSWER = 200
PROMPT_MEAN = 200
LONGEST = 512
EXPECTED_PREFILL_S = 0.35
MOST_WAITING = 400

Pick = Callable[["Router", Sequence[Chain], LoadSnapshot, int], Chain]


def pick_ours(router: "Router", chains: Sequence[Chain], news: LoadSnapshot, prompt: int) -> Chain:
    """Choose by the estimator among sampled candidates."""
    found = choose_chain(chains, router.estimator, news, prompt, EXPECTED_ANSWER, router.rng)
    assert found.chain is not None
    return found.chain


def pick_random(
    router: "Router", chains: Sequence[Chain], news: LoadSnapshot, prompt: int
) -> Chain:
    """Choose any chain."""
    return router.rng.choice(chains)


def pick_in_turn(
    router: "Router", chains: Sequence[Chain], news: LoadSnapshot, prompt: int
) -> Chain:
    """Choose one chain after the other."""
    router.turn += 1
    return chains[router.turn % len(chains)]


def pick_least_reported(
    router: "Router", chains: Sequence[Chain], news: LoadSnapshot, prompt: int
) -> Chain:
    """Choose the chain whose first engine last reported the fewest streams."""

    def reported(chain: Chain) -> tuple[int, float]:
        report = news.reports.get(chain.engines[0])
        return (report.streams if report else 0, router.rng.random())

    return min(chains, key=reported)


@dataclass
class World:
    """A site with its chains and daemons in one simulation."""

    sim: Sim
    site: Site
    service: ModelService
    chains: dict[ChainId, SimChain]
    routers: list["Router"] = field(default_factory=list)
    reports: dict[UpstreamId, LoadReport] = field(default_factory=dict)
    refused: int = 0
    finished: list[Stream] = field(default_factory=list)

    def publish_reports(self) -> None:
        """Let every engine report its load, which arrives late."""
        fresh = {
            e.id: LoadReport(e.id, int(self.sim.now), e.streams, len(e.waiting), 0.0, 0.0)
            for c in self.chains.values()
            for e in c.engines
            if not e.dead
        }
        self.sim.after(REPORT_LAG_MS, self.reports.update, fresh)
        for router in self.routers:
            router.suspicion.decay_idle()
        self.sim.after(REPORT_EVERY_MS, self.publish_reports)


class Router:
    """One daemon. `limited` says whether it queues by the rated streams of its chains.

    With `prompt_starts` it refuses what can't have its first token in time, else only what can't
    start before its deadline.
    """

    def __init__(
        self,
        world: World,
        host: HostId,
        zone: ZoneId,
        chains: Sequence[Chain],
        followers: Mapping[ChainId, int],
        pick: Pick,
        seed: int,
        limited: bool = True,
        weights: Mapping[str, float] | None = None,
        prompt_starts: bool = True,
    ):
        self.world = world
        self.host = host
        self.zone = zone
        self.shared_line = False  # one queue for all accounts, as a baseline
        self.rng = random.Random(seed)
        self.turn = seed
        self.estimator = ChainEstimator(world.site, [world.service], zone)
        self.suspicion = StepTimeMonitor()
        self.chains = list(chains)
        self.own: dict[UpstreamId, int] = {}
        self.streams: set[Stream] = set()
        self.suspects: set[UpstreamId] = set()
        self.stalled: dict[str, Stream] = {}
        self.gone = False
        self.weighs_steps = True
        self.on_resumed: Callable[[Router, Stream], None] = lambda _router, _stream: None
        self._prefill: dict[UpstreamId, TimeWeightedAverage] = {}
        self._followers = followers
        self._pick = pick
        self._limited = limited
        self._prompt_starts = prompt_starts
        self._weights = weights or {}
        self._waiting: dict[str, Stream] = {}
        rate = sum(
            split.tokens_per_s / max(1, followers[c.id])
            for c in chains
            if (split := self.estimator.rating(c)) is not None
        )
        self.queue = FairQueue(MOST_WAITING, rate)

    def news(self) -> LoadSnapshot:
        """Return what this daemon knows now."""
        now = self.world.sim.now
        own = {e: p.level for e, p in self._prefill.items()}
        usual = {e: p.average(now) for e, p in self._prefill.items()}
        if self.stalled:
            usual = {e: max(own[e], usual[e]) for e in own}
        return LoadSnapshot(
            now,
            local_streams=self.own,
            local_prefill_tokens=own,
            mean_prefill_tokens=usual,
            reports=self.world.reports,
            step_time_factors=self.suspicion.slowdown_factors() if self.weighs_steps else {},
            sharing_hosts=float(len(self.world.routers)),
        )

    def on_request(self, stream: Stream) -> None:
        """Take a request in, or refuse it as not run."""
        stream.router = self
        if not self._limited:
            self.begin(stream, self._choose(self.usable(), stream))
            return
        ticket = Ticket(
            RequestId(stream.name),
            self._account(stream),
            float(EXPECTED_ANSWER),
            self._latest_s(stream),
        )
        weight = self._weights.get(stream.account, 1.0)
        if self.queue.enqueue(ticket, weight, self.world.sim.now / 1000.0) is not None:
            self.world.refused += 1
            return
        self._waiting[stream.name] = stream
        self.pump()

    def _latest_s(self, stream: Stream) -> float:
        deadline_s = stream.deadline / 1000.0
        if not self._prompt_starts:
            return deadline_s
        answer_s = EXPECTED_ANSWER * self.world.service.between_tokens_ms / 1000.0
        first_s = self.world.service.first_token_ms / 1000.0
        now_s = self.world.sim.now / 1000.0
        return latest_start_s(now_s, deadline_s, first_s, EXPECTED_PREFILL_S, answer_s)

    def usable(self) -> list[Chain]:
        """Return the chains without a suspected engine."""
        return [c for c in self.chains if not self.suspects.intersection(c.engines)]

    def pump(self) -> None:
        """Start requests that wait while a chain has room."""
        now_s = self.world.sim.now / 1000.0
        for ticket in self.queue.drop_expired(now_s):
            self._waiting.pop(ticket.request)
            self.world.refused += 1
        while len(self.queue):
            news = self.news()
            open_to = [
                c
                for c in self.usable()
                if can_start_stream(c, self.estimator, news, self._followers[c.id])
            ]
            if not open_to:
                return
            ticket = self.queue.dequeue(now_s, len(self.streams), self._capacity())
            if ticket is None:
                return
            stream = self._waiting.pop(ticket.request)
            chain = self._choose(open_to, stream)
            if self._is_late(stream, chain):
                self.queue.finish(ticket.request, ticket.account, 0.0, now_s)
                self.world.refused += 1
            else:
                self.begin(stream, chain)

    def _capacity(self) -> int:
        rated = (self.estimator.rated_streams(c) / self._followers[c.id] for c in self.usable())
        return int(OVERSUBSCRIPTION_FACTOR * sum(rated))

    def _is_late(self, stream: Stream, chain: Chain) -> bool:
        """Return whether the first token is expected after its time."""
        if not self._prompt_starts:
            return False
        estimate = self.estimator.estimate(chain, stream.prompt, self.news())
        waited = self.world.sim.now - stream.arrived
        return waited + estimate.first_token_ms > self.world.service.first_token_ms

    def _account(self, stream: Stream) -> AccountId:
        return AccountId("all" if self.shared_line else stream.account)

    def _choose(self, chains: Sequence[Chain], stream: Stream) -> Chain:
        return self._pick(self, chains, self.news(), stream.prompt)

    def begin(self, stream: Stream, chain: Chain, prefill: int | None = None) -> None:
        """Start an attempt of a stream on a chain, by a prefill of its context or its rest."""
        tokens = stream.context if prefill is None else prefill
        self.streams.add(stream)
        stream.accepted = True
        for engine in chain.engines:
            self.own[engine] = self.own.get(engine, 0) + 1
            waits = self._prefill.setdefault(engine, TimeWeightedAverage(self.world.sim.now))
            waits.add(tokens, self.world.sim.now)
        self.world.chains[chain.id].start(stream, tokens)
        stream.waits = tokens

    def leave(self, stream: Stream) -> None:
        """Take a stream off its chain."""
        chain = stream.chain
        if chain is None:
            return
        self._settle_prefill(stream)
        for engine in chain.chain.engines:
            self.own[engine] -= 1
        chain.leave(stream)
        stream.chain = None

    def _settle_prefill(self, stream: Stream) -> None:
        if stream.waits and stream.chain is not None:
            for engine in stream.chain.chain.engines:
                self._prefill[engine].add(-stream.waits, self.world.sim.now)
            stream.waits = 0

    def on_token(self, stream: Stream) -> None:
        """Note a token; a whole answer makes room for the next request."""
        self._settle_prefill(stream)
        if self.stalled:
            self.on_resumed(self, stream)
        if stream.finished:
            self.leave(stream)
            self.streams.discard(stream)
            served, now_s = float(EXPECTED_ANSWER), self.world.sim.now / 1000.0
            request = RequestId(stream.name)
            self.queue.finish(request, self._account(stream), served, now_s)
            self.world.finished.append(stream)
            self.pump()


def build_world(
    site: Site,
    service: ModelService,
    assignments: Sequence[Assignment],
    pick: Pick,
    seed: int,
    hosts: int = 9,
    limited: bool = True,
    weights: Mapping[str, float] | None = None,
    prompt_starts: bool = True,
) -> World:
    """Build the chains of a plan and the daemons that follow them."""
    sim = Sim()
    zones = {e.id: e.zone for e in service.engines}
    chains = assemble_chains(assignments, zones, {service.service: service.model.layers})
    world = World(sim, site, service, build_chains(sim, site, service, chains))
    names = [HostId(f"host-{i}") for i in range(hosts)]
    places = {h: site.zones[i % len(site.zones)].name for i, h in enumerate(names)}
    followed = {h: subset_for(h, places, chains) for h in names}
    followers = {c.id: sum(c in f for f in followed.values()) for c in chains}
    for i, host in enumerate(names):
        world.routers.append(
            Router(
                world,
                host,
                places[host],
                followed[host],
                followers,
                pick,
                seed * 100 + i,
                limited,
                weights,
                prompt_starts,
            )
        )
    world.publish_reports()
    return world


class Callers:
    """Sends requests of one account at a steady mean rate, to any of the daemons."""

    def __init__(
        self,
        world: World,
        account: str,
        requests_per_s: float,
        seed: int,
        deadline_ms: float = 30_000.0,
        hosts: Sequence[int] | None = None,
    ):
        self._world = world
        self._account = account
        self._gap_ms = 1000.0 / requests_per_s
        self._rng = random.Random(f"{seed}/{account}")
        self._deadline_ms = deadline_ms
        self._hosts = list(hosts) if hosts is not None else list(range(len(world.routers)))
        self._count = 0
        self.sent: list[Stream] = []
        self._schedule()

    def _schedule(self) -> None:
        self._world.sim.after(self._rng.expovariate(1.0 / self._gap_ms), self._send)

    def _send(self) -> None:
        self._count += 1
        now = self._world.sim.now
        stream = Stream(
            f"{self._account}-{self._count}",
            self._account,
            prompt=_length(self._rng, PROMPT_MEAN),
            answer=_length(self._rng, EXPECTED_ANSWER),
            arrived=now,
            deadline=now + self._deadline_ms,
        )
        self.sent.append(stream)
        routers = self._world.routers
        routers[self._rng.choice(self._hosts) % len(routers)].on_request(stream)
        self._schedule()


def _length(rng: random.Random, mean: int) -> int:
    """Draw a length of the given mean, between a quarter of the mean and `LONGEST`."""
    return int(min(LONGEST, mean / 4 + rng.expovariate(1.0 / (mean * 0.8))))


def rated_requests_per_s(tokens_per_s: float) -> float:
    """Return the requests a second that make up a load of `tokens_per_s`."""
    return tokens_per_s / EXPECTED_ANSWER


def useful_tokens(streams: Sequence[Stream], start_ms: float, end_ms: float) -> int:
    """Count the tokens of answers that were whole within their deadlines in a time window."""
    return sum(
        len(s.tokens)
        for s in streams
        if start_ms <= s.tokens[-1] < end_ms and s.tokens[-1] <= s.deadline
    )


def token_gaps(streams: Sequence[Stream], start_ms: float) -> list[float]:
    """Return each answer's mean time between tokens, for answers that began after `start_ms`."""
    return [
        (s.tokens[-1] - s.tokens[0]) / (len(s.tokens) - 1)
        for s in streams
        if s.arrived >= start_ms and len(s.tokens) > 1
    ]


def first_token_times(streams: Sequence[Stream], start_ms: float) -> list[float]:
    """Return the times to the first token, for requests that came after `start_ms`."""
    return [s.tokens[0] - s.arrived for s in streams if s.arrived >= start_ms and s.tokens]
