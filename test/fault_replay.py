"""Replays attempts on a fleet of engines, some of which fail requests, as many hosts see them.

Time is simulated. Hosts exchange their results once every `EXCHANGE_S`, and get those of the others
`LAG_S` later. A request that fails is sent once more, on a path without the engines of the first.
"""

import random

from minttide.ids import Address, ServiceName, UpstreamId, ZoneId
from minttide.layers.paths import Stage
from minttide.policy.path_evidence import (
    MAX_FAILED_IN_MESSAGE,
    PathReport,
    limit_failed,
    merge_reports,
    path_causes,
    shift_times,
)
from minttide.policy.path_faults import AccusationChange, PathFaults
from minttide.routing.routes import LayerRange, UpstreamEntry

SERVICE = ServiceName("model")
EXCHANGE_S = 0.4
LAG_S = 0.4
LAYERS = 80


def make_engines(stages, engines_per_stage, zones=3):
    """Return engines by stage; each stage holds an equal part of the layers."""
    size = LAYERS // stages
    return [
        [
            UpstreamEntry(
                UpstreamId(f"s{stage}e{n}"),
                SERVICE,
                Address(f"{stage}.{n}:1"),
                ZoneId(f"z{n % zones}"),
                False,
                8,
                layers=LayerRange(stage * size, (stage + 1) * size),
            )
            for n in range(engines_per_stage)
        ]
        for stage in range(stages)
    ]


class FaultReplay:
    """Hosts, engines and requests. `rates` is the rate at which an engine fails, by its id.

    `fails` says whether a request fails anyway, by its path and its number. Each faulty first
    engine attracts the part `attraction` of the requests, as it looks idle.
    """

    def __init__(self, seed, hosts, per_s, stages=8, width=11, rates=None, reports=True, **other):
        self.rng = random.Random(seed)
        self.by_stage = make_engines(stages, width)
        self.engines = [engine for stage in self.by_stage for engine in stage]
        self.hosts = [PathFaults() for _ in range(hosts)]
        self.rates = rates or {}
        self.now_s = 0.0
        self.accused_s = {}  # when the first host accused an engine
        self.last_accused_s = {}
        self.changes = []
        self.failed = self.requests = 0
        self.sent = []  # the time and the engines of each attempt
        self._per_s = per_s
        self._reports = reports
        self._fails = other.get("fails", lambda path, number: False)
        self._attraction = other.get("attraction", 0.0)
        self._pending = []
        self._next_exchange_s = 0.0
        for host in self.hosts:
            host.on_change = self._record_change

    def _record_change(self, accusation, change):
        self.changes.append((self.now_s, accusation.engine, change))
        if change is AccusationChange.ACCUSED:
            self.accused_s.setdefault(accusation.engine, self.now_s)
            self.last_accused_s[accusation.engine] = self.now_s

    def run(self, for_s):
        """Play requests at evenly spaced times."""
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            self.now_s += 1.0 / self._per_s
            if self._reports and self.now_s >= self._next_exchange_s:
                self._exchange()
            self._send(self.rng.choice(self.hosts))

    def _send(self, host):
        self.requests += 1
        number = self.requests
        first = self._attempt(host, (), number)
        if first is None:
            return
        again = self._attempt(host, first.causes, number)
        if again is not None:
            self.failed += 1
            if set(again.causes).isdisjoint(e.id for e in self.engines if e.id in first.causes):
                host.withdraw(first)
                host.withdraw(again)

    def _attempt(self, host, avoided, number):
        accused = host.find_accused(SERVICE, self.engines, LAYERS, self.now_s)
        tried = host.choose_trial(SERVICE, accused, self.now_s, self.rng.random())
        tried = None if avoided else tried
        path = [self._choose(stage, accused, avoided, tried) for stage in self.by_stage]
        causes = path_causes([Stage(e.id, e.address, e.zone, e.layers) for e in path])
        self.sent.append((self.now_s, tuple(e.id for e in path)))
        failing = any(self.rng.random() < self.rates.get(e.id, 0.0) for e in path)
        if failing or self._fails(path, number):
            return host.record_failed(SERVICE, causes, self.now_s)
        host.record_answered(SERVICE, causes, self.now_s)
        return None

    def _choose(self, stage, accused, avoided, tried):
        for engine in stage:
            if engine.id == tried:
                return engine
        left = [e for e in stage if e.id not in accused and e.id not in avoided]
        left = left or [e for e in stage if e.id not in accused] or stage
        faulty = [e for e in left if e.id in self.rates]
        if faulty and stage is self.by_stage[0] and self.rng.random() < self._attraction:
            return faulty[0]
        return self.rng.choice(left)

    def _exchange(self):
        """Deliver the reports that are due, and make the next ones."""
        self._next_exchange_s = self.now_s + EXCHANGE_S
        due = [item for item in self._pending if item[0] <= self.now_s]
        self._pending = [item for item in self._pending if item[0] > self.now_s]
        for made_s, reports in ((at_s - LAG_S, reports) for at_s, reports in due):
            self._deliver(made_s, reports)
        reports = [host.make_report(self.now_s) for host in self.hosts]
        self._pending.append((self.now_s + LAG_S, reports))

    def _deliver(self, made_s, reports):
        total = merge_reports(reports, 10**6)
        failed = shift_times(total.failed, made_s)
        limited = limit_failed(failed, MAX_FAILED_IN_MESSAGE)
        for host, own in zip(self.hosts, reports, strict=True):
            others = limited
            if own.failed:
                rest = [f for r in reports if r is not own for f in r.failed]
                others = shift_times(limit_failed(rest, MAX_FAILED_IN_MESSAGE), made_s)
            answered = dict(total.answered)
            for cause, count in own.answered.items():
                if cause in answered:
                    answered[cause] -= count
            host.set_others(PathReport(others, answered, total.hosts), self.now_s)
