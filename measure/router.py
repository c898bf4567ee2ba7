"""Simulated daemons, which admit requests, choose chains and track streams by the real policies."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from measure.model import EventLoop, SimChain, Stream, build_chains
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

REPORT_INTERVAL_MS = 1_000.0
REPORT_DELAY_MS = 500.0
MEAN_ANSWER_TOKENS = 200
MEAN_PROMPT_TOKENS = 200
MAX_LENGTH_TOKENS = 512
EXPECTED_PREFILL_S = 0.35
MAX_QUEUED_REQUESTS = 400

ChainPicker = Callable[["Router", Sequence[Chain], LoadSnapshot, int], Chain]


def pick_by_estimate(
    router: "Router", chains: Sequence[Chain], load_snapshot: LoadSnapshot, prompt: int
) -> Chain:
    """Choose the best sampled chain by the estimator; this is the policy of the daemon."""
    choice = choose_chain(
        chains, router.estimator, load_snapshot, prompt, MEAN_ANSWER_TOKENS, router.rng
    )
    assert choice.chain is not None
    return choice.chain


def pick_random(
    router: "Router", chains: Sequence[Chain], load_snapshot: LoadSnapshot, prompt: int
) -> Chain:
    """Choose a chain at random."""
    return router.rng.choice(chains)


def pick_round_robin(
    router: "Router", chains: Sequence[Chain], load_snapshot: LoadSnapshot, prompt: int
) -> Chain:
    """Choose the chains in turn."""
    router.round_robin_index += 1
    return chains[router.round_robin_index % len(chains)]


def pick_least_reported(
    router: "Router", chains: Sequence[Chain], load_snapshot: LoadSnapshot, prompt: int
) -> Chain:
    """Choose the chain whose first engine reported the fewest streams, by its latest report."""

    def load_key(chain: Chain) -> tuple[int, float]:
        report = load_snapshot.reports.get(chain.engines[0])
        return (report.streams if report else 0, router.rng.random())

    return min(chains, key=load_key)


@dataclass
class World:
    """A simulated site: its event loop, chains, daemons and results."""

    loop: EventLoop
    site: Site
    service: ModelService
    chains: dict[ChainId, SimChain]
    routers: list["Router"] = field(default_factory=list)
    reports: dict[UpstreamId, LoadReport] = field(default_factory=dict)
    rejected: int = 0
    finished: list[Stream] = field(default_factory=list)

    def publish_reports(self) -> None:
        """Collect the load report of every live engine, and deliver them after a delay."""
        reports = {
            e.id: LoadReport(e.id, int(self.loop.now), e.streams, len(e.waiting), 0.0, 0.0)
            for c in self.chains.values()
            for e in c.engines
            if not e.dead
        }
        self.loop.after(REPORT_DELAY_MS, self.reports.update, reports)
        for router in self.routers:
            router.step_times.decay_idle()
        self.loop.after(REPORT_INTERVAL_MS, self.publish_reports)


class Router:
    """A simulated daemon.

    With `limits_streams` it queues requests beyond the rated streams of its chains. With
    `rejects_late` it rejects requests whose first token would be late, otherwise only those that
    can't start before their deadline.
    """

    def __init__(
        self,
        world: World,
        host: HostId,
        zone: ZoneId,
        chains: Sequence[Chain],
        sharing_hosts: Mapping[ChainId, int],
        picker: ChainPicker,
        seed: int,
        limits_streams: bool = True,
        weights: Mapping[str, float] | None = None,
        rejects_late: bool = True,
    ):
        self.world = world
        self.host = host
        self.zone = zone
        self.single_queue = False  # baseline: one queue for all accounts
        self.rng = random.Random(seed)
        self.round_robin_index = seed
        self.estimator = ChainEstimator(world.site, [world.service], zone)
        self.step_times = StepTimeMonitor()
        self.chains = list(chains)
        self.local_streams: dict[UpstreamId, int] = {}
        self.streams: set[Stream] = set()
        self.suspects: set[UpstreamId] = set()
        self.stalled: dict[str, Stream] = {}
        self.is_down = False
        self.uses_step_times = True
        self.on_resumed: Callable[[Router, Stream], None] = lambda _router, _stream: None
        self._prefill: dict[UpstreamId, TimeWeightedAverage] = {}
        self._sharing_hosts = sharing_hosts
        self._picker = picker
        self._limits_streams = limits_streams
        self._rejects_late = rejects_late
        self._weights = weights or {}
        self._queued: dict[str, Stream] = {}
        rated_tokens_per_s = sum(
            rating.tokens_per_s / max(1, sharing_hosts[c.id])
            for c in chains
            if (rating := self.estimator.rating(c)) is not None
        )
        self.queue = FairQueue(MAX_QUEUED_REQUESTS, rated_tokens_per_s)

    def load_snapshot(self) -> LoadSnapshot:
        """Return the current load as this daemon sees it."""
        now = self.world.loop.now
        local_prefill = {e: p.level for e, p in self._prefill.items()}
        mean_prefill = {e: p.average(now) for e, p in self._prefill.items()}
        if self.stalled:
            mean_prefill = {e: max(local_prefill[e], mean_prefill[e]) for e in local_prefill}
        return LoadSnapshot(
            now,
            local_streams=self.local_streams,
            local_prefill_tokens=local_prefill,
            mean_prefill_tokens=mean_prefill,
            reports=self.world.reports,
            step_time_factors=self.step_times.slowdown_factors() if self.uses_step_times else {},
            sharing_hosts=float(len(self.world.routers)),
        )

    def on_request(self, stream: Stream) -> None:
        """Start or queue a request, or reject it."""
        stream.router = self
        if not self._limits_streams:
            self.start_attempt(stream, self._choose(self.usable_chains(), stream))
            return
        ticket = Ticket(
            RequestId(stream.name),
            self._account(stream),
            float(MEAN_ANSWER_TOKENS),
            self._start_by_s(stream),
        )
        weight = self._weights.get(stream.account, 1.0)
        if self.queue.enqueue(ticket, weight, self.world.loop.now / 1000.0) is not None:
            self.world.rejected += 1
            return
        self._queued[stream.name] = stream
        self.start_queued()

    def _start_by_s(self, stream: Stream) -> float:
        deadline_s = stream.deadline_ms / 1000.0
        if not self._rejects_late:
            return deadline_s
        answer_s = MEAN_ANSWER_TOKENS * self.world.service.between_tokens_ms / 1000.0
        first_s = self.world.service.first_token_ms / 1000.0
        now_s = self.world.loop.now / 1000.0
        return latest_start_s(now_s, deadline_s, first_s, EXPECTED_PREFILL_S, answer_s)

    def usable_chains(self) -> list[Chain]:
        """Return the chains that have no suspected engine."""
        return [c for c in self.chains if not self.suspects.intersection(c.engines)]

    def start_queued(self) -> None:
        """Start queued requests while a chain has capacity."""
        now_s = self.world.loop.now / 1000.0
        for ticket in self.queue.drop_expired(now_s):
            self._queued.pop(ticket.request)
            self.world.rejected += 1
        while len(self.queue):
            load_snapshot = self.load_snapshot()
            open_chains = [
                c
                for c in self.usable_chains()
                if can_start_stream(c, self.estimator, load_snapshot, self._sharing_hosts[c.id])
            ]
            if not open_chains:
                return
            ticket = self.queue.dequeue(now_s, len(self.streams), self._capacity())
            if ticket is None:
                return
            stream = self._queued.pop(ticket.request)
            chain = self._choose(open_chains, stream)
            if self._is_late(stream, chain):
                self.queue.finish(ticket.request, ticket.account, 0.0, now_s)
                self.world.rejected += 1
            else:
                self.start_attempt(stream, chain)

    def _capacity(self) -> int:
        rated_streams = (
            self.estimator.rated_streams(c) / self._sharing_hosts[c.id]
            for c in self.usable_chains()
        )
        return int(OVERSUBSCRIPTION_FACTOR * sum(rated_streams))

    def _is_late(self, stream: Stream, chain: Chain) -> bool:
        """Return whether the first token is expected later than the service's target."""
        if not self._rejects_late:
            return False
        estimate = self.estimator.estimate(chain, stream.prompt, self.load_snapshot())
        waited = self.world.loop.now - stream.arrived_ms
        return waited + estimate.first_token_ms > self.world.service.first_token_ms

    def _account(self, stream: Stream) -> AccountId:
        return AccountId("all" if self.single_queue else stream.account)

    def _choose(self, chains: Sequence[Chain], stream: Stream) -> Chain:
        return self._picker(self, chains, self.load_snapshot(), stream.prompt)

    def start_attempt(self, stream: Stream, chain: Chain, prefill: int | None = None) -> None:
        """Start an attempt of a stream on a chain, with a prefill of `prefill` tokens.

        The default is the whole context.
        """
        tokens = stream.context if prefill is None else prefill
        self.streams.add(stream)
        stream.accepted = True
        for engine in chain.engines:
            self.local_streams[engine] = self.local_streams.get(engine, 0) + 1
            queued_prefill = self._prefill.setdefault(
                engine, TimeWeightedAverage(self.world.loop.now)
            )
            queued_prefill.add(tokens, self.world.loop.now)
        self.world.chains[chain.id].start(stream, tokens)
        stream.counted_prefill = tokens

    def detach(self, stream: Stream) -> None:
        """Remove a stream from its chain."""
        chain = stream.chain
        if chain is None:
            return
        self._uncount_prefill(stream)
        for engine in chain.chain.engines:
            self.local_streams[engine] -= 1
        chain.detach(stream)
        stream.chain = None

    def _uncount_prefill(self, stream: Stream) -> None:
        if stream.counted_prefill and stream.chain is not None:
            for engine in stream.chain.chain.engines:
                self._prefill[engine].add(-stream.counted_prefill, self.world.loop.now)
            stream.counted_prefill = 0

    def on_token(self, stream: Stream) -> None:
        """Record a token; when the answer is complete, start queued requests."""
        self._uncount_prefill(stream)
        if self.stalled:
            self.on_resumed(self, stream)
        if stream.finished:
            self.detach(stream)
            self.streams.discard(stream)
            served_tokens, now_s = float(MEAN_ANSWER_TOKENS), self.world.loop.now / 1000.0
            request = RequestId(stream.name)
            self.queue.finish(request, self._account(stream), served_tokens, now_s)
            self.world.finished.append(stream)
            self.start_queued()


def build_world(
    site: Site,
    service: ModelService,
    assignments: Sequence[Assignment],
    picker: ChainPicker,
    seed: int,
    hosts: int = 9,
    limits_streams: bool = True,
    weights: Mapping[str, float] | None = None,
    rejects_late: bool = True,
) -> World:
    """Build the chains of a plan and the daemons that use them."""
    loop = EventLoop()
    zones = {e.id: e.zone for e in service.engines}
    chains = assemble_chains(assignments, zones, {service.service: service.model.layers})
    world = World(loop, site, service, build_chains(loop, site, service, chains))
    host_names = [HostId(f"host-{i}") for i in range(hosts)]
    zones_of_hosts = {h: site.zones[i % len(site.zones)].name for i, h in enumerate(host_names)}
    used_chains = {h: subset_for(h, zones_of_hosts, chains) for h in host_names}
    sharing_hosts = {c.id: sum(c in f for f in used_chains.values()) for c in chains}
    for i, host in enumerate(host_names):
        world.routers.append(
            Router(
                world,
                host,
                zones_of_hosts[host],
                used_chains[host],
                sharing_hosts,
                picker,
                seed * 100 + i,
                limits_streams,
                weights,
                rejects_late,
            )
        )
    world.publish_reports()
    return world


class RequestGenerator:
    """Sends the requests of one account at a constant mean rate to randomly chosen daemons.

    The intervals are exponentially distributed.
    """

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
        self._mean_gap_ms = 1000.0 / requests_per_s
        self._rng = random.Random(f"{seed}/{account}")
        self._deadline_ms = deadline_ms
        self._hosts = list(hosts) if hosts is not None else list(range(len(world.routers)))
        self._count = 0
        self.sent: list[Stream] = []
        self._schedule()

    def _schedule(self) -> None:
        self._world.loop.after(self._rng.expovariate(1.0 / self._mean_gap_ms), self._send)

    def _send(self) -> None:
        self._count += 1
        now = self._world.loop.now
        stream = Stream(
            f"{self._account}-{self._count}",
            self._account,
            prompt=_draw_length(self._rng, MEAN_PROMPT_TOKENS),
            answer=_draw_length(self._rng, MEAN_ANSWER_TOKENS),
            arrived_ms=now,
            deadline_ms=now + self._deadline_ms,
        )
        self.sent.append(stream)
        routers = self._world.routers
        routers[self._rng.choice(self._hosts) % len(routers)].on_request(stream)
        self._schedule()


def _draw_length(rng: random.Random, mean: int) -> int:
    """Draw a length of about `mean` tokens, from a quarter of it up to `MAX_LENGTH_TOKENS`."""
    return int(min(MAX_LENGTH_TOKENS, mean / 4 + rng.expovariate(1.0 / (mean * 0.8))))


def rated_requests_per_s(tokens_per_s: float) -> float:
    """Return the request rate whose mean answers add up to `tokens_per_s`."""
    return tokens_per_s / MEAN_ANSWER_TOKENS


def useful_tokens(streams: Sequence[Stream], start_ms: float, end_ms: float) -> int:
    """Count the tokens of answers that completed in a time window and within their deadline."""
    return sum(
        len(s.tokens)
        for s in streams
        if start_ms <= s.tokens[-1] < end_ms and s.tokens[-1] <= s.deadline_ms
    )


def token_gaps(streams: Sequence[Stream], start_ms: float) -> list[float]:
    """Return the mean time between tokens of each request that arrived after `start_ms`."""
    return [
        (s.tokens[-1] - s.tokens[0]) / (len(s.tokens) - 1)
        for s in streams
        if s.arrived_ms >= start_ms and len(s.tokens) > 1
    ]


def first_token_times(streams: Sequence[Stream], start_ms: float) -> list[float]:
    """Return the times to the first token of requests that arrived after `start_ms`."""
    return [s.tokens[0] - s.arrived_ms for s in streams if s.arrived_ms >= start_ms and s.tokens]
