"""Admission by many hosts over engines with limited memory, with real loads, reports and paths."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from test_layers import MODEL, engines, with_layers

from minttide.ids import ServiceName, ZoneId
from minttide.layers.layout import plan_layout
from minttide.layers.memory import stream_tokens, token_capacity
from minttide.layers.paths import MAX_MEMORY_UTILIZATION, EngineLoad, PathFinder, RequestSize
from minttide.layers.usage import Usage, add_usages
from minttide.problems import RequestError
from minttide.routing.routes import Route, RouteKind, RoutingConfig, ServiceShare, ServiceSpec
from minttide.routing.table import RouteTable
from minttide_fakes.virtual import run_virtual
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.streams.admission import StreamAdmission, find_capacity
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.http.messages import HttpRequest
from minttided.operators.metrics import Metrics

ZONE, SERVICE = ZoneId("north"), ServiceName("s")
STREAM_S = 2.3
OLDEST_S, EXCHANGE_S = 0.3, 0.2
"""Age of a report when it arrives, and time until the next one."""
SHARES = {0: 75 / 141, 1: 41 / 141, 2: 25 / 141}
OBJECTIVES_S = {0: 0.5, 1: 0.5, 2: 1.0}
UTILIZATION = 0.9
"""Part of the narrowest layer's memory that the usual load holds."""


def make_route(priority):
    shares = (ServiceShare(SERVICE, 1.0),)
    objective_s = OBJECTIVES_S[priority]
    kind = RouteKind.STREAM
    return Route(f"r{priority}", "h", "/", kind, shares, 20.0, objective_s, priority=priority)


ROUTES = {p: make_route(p) for p in SHARES}


class Zone:
    """Hosts and engines; `counts` holds how many requests were asked, sent, rejected and served."""

    def __init__(self, hosts, seed):
        self._rng = random.Random(seed)
        found = engines({ZONE: (2, 13, 22)})
        self._engines = [e for e in with_layers(found, plan_layout(MODEL, found)) if e.layers]
        self._room = {
            e.id: token_capacity(MODEL, MODEL.kind(e.kind), len(e.layers)) for e in self._engines
        }
        self._whole = dict(self._room)
        capacity = UTILIZATION * find_capacity(MODEL, self._engines)
        self._rate = capacity / stream_tokens(MODEL) / STREAM_S
        self._peers = [PeerLoads() for _ in range(hosts)]
        self._loads = [EngineLoads(lambda: float(hosts), peers) for peers in self._peers]
        state = SimpleNamespace(
            table=RouteTable(
                RoutingConfig(1, tuple(ROUTES.values()), (ServiceSpec(SERVICE, 9, model=MODEL),))
            ),
            rng=self._rng,
            metrics=Metrics(),
            suspects=SimpleNamespace(suspected=set),
            active_upstreams=lambda _: self._engines,
        )
        budgets = SimpleNamespace(count_hosts=lambda: hosts)
        self._admissions = [StreamAdmission(state, budgets, loads) for loads in self._loads]
        self.counts = Counter()

    async def _exchange(self):
        history = []
        while True:
            history.append([loads.local_usages() for loads in self._loads])
            old = history[max(0, len(history) - 1 - round(OLDEST_S / EXCHANGE_S))]
            total = add_usages(old)
            for own, peers in zip(old, self._peers, strict=True):
                minus = {n: Usage(-u.streams, -u.tokens) for n, u in own.items()}
                peers.set_peer_totals(add_usages([total, minus]))
            await asyncio.sleep(EXCHANGE_S)

    async def _request(self, priority, number, admits):
        host = self._rng.randrange(len(self._loads))
        size = RequestSize(float(self._rng.randint(200, 1344)), MODEL.usual_answer)
        self.counts["asked", priority] += 1
        if not admits:
            await self._send(host, size, priority)
            return
        now = asyncio.get_running_loop().time()
        req = HttpRequest("POST", "/", "", [], b"", f"/{number}")
        request = GatewayRequest(
            req, "", ROUTES[priority], SERVICE, None, now, now + 20.0, now + 20.0
        )
        try:
            async with self._admissions[host].admit(request, MODEL, size) as admitted:
                await self._send(host, size, priority, admitted)
        except RequestError:
            self.counts["refused", priority] += 1

    async def _send(self, host, size, priority, admitted=None):
        """Send a request twice at most, avoiding an engine that rejects it, and hold its tokens."""
        loads, avoided = self._loads[host], set()
        tokens = size.prompt + size.answer / 2
        for _ in range(2):
            finder = PathFinder(MODEL, self._engines, avoided)
            path = finder.choose(size, ZONE, loads.estimate(), self._rng)
            if path is None:
                return
            self.counts["sent"] += 1
            full = [s.engine for s in path if self._room[s.engine] < tokens]
            if not full:
                await self._hold(loads, path, size, tokens, priority)
                return
            self.counts["rejected"] += 1
            if admitted is not None:
                admitted.record_rejection()
            avoided.update(full)
            limit = MAX_MEMORY_UTILIZATION * self._whole[full[0]]
            loads.record_full(full[0], limit - loads.estimate().get(full[0], EngineLoad()).tokens)

    async def _hold(self, loads, path, size, tokens, priority):
        loads.add(path, size)
        for stage in path:
            self._room[stage.engine] -= tokens
        await asyncio.sleep(STREAM_S)
        for stage in path:
            self._room[stage.engine] += tokens
        loads.remove(path, size)
        self.counts["served", priority] += 1

    async def run(self, admits):
        """Let calm pass, then a burst of priority 2 and one of priority 0."""
        exchange = asyncio.create_task(self._exchange())
        tasks = []
        for seconds, factors in ((4, {}), (6, {2: 2.4}), (4, {0: 1.4})):
            for _ in range(100 * seconds):
                for priority, share in SHARES.items():
                    chance = 0.01 * self._rate * share * factors.get(priority, 1.0)
                    if self._rng.random() < chance:
                        request = self._request(priority, len(tasks), admits)
                        tasks.append(asyncio.create_task(request))
                await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        exchange.cancel()
        return [self.counts["served", p] / self.counts["asked", p] for p in SHARES]


def count_served(zone):
    """Return the served part of all requests."""
    return sum(zone.counts["served", p] for p in SHARES) / sum(
        zone.counts["asked", p] for p in SHARES
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_hosts_serve_by_priority_without_leaving_capacity_unused(seed):
    """Guards against bursts that shut out urgent requests, and refusals while there is room."""
    before, zone = Zone(24, seed), Zone(24, seed)
    served_before = run_virtual(before.run(admits=False))
    served = run_virtual(zone.run(admits=True))
    assert served[0] >= served[1] - 0.02 and served[1] >= served[2] - 0.02
    assert served[0] > max(0.9, served_before[0]) and served[2] > 0.1
    assert count_served(zone) > count_served(before) - 0.1


@pytest.mark.parametrize("seed", [1, 2])
def test_engines_reject_few_of_the_admitted(seed):
    """Guards against hosts that admit more than engines have room for."""
    zone = Zone(24, seed)
    run_virtual(zone.run(admits=True))
    assert zone.counts["rejected"] < 0.03 * zone.counts["sent"]
