"""Soak test of the complete system over real sockets, with a seeded mix of faults.

Three daemons, 24 engines and six plain services run in one event loop. Callers stream drafts and
send keyed bookings, some of them several times at once through several daemons. Meanwhile engines
fail, or lose, delay, duplicate or mix up replies; upstreams drop connections; the log is
unreachable or loses responses; and daemons are killed or shut down, and replaced under the same
host id. The table counts the violations of each guarantee.
"""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from measure.table import Table, percentile, verdict
from minttide.ids import Address
from minttide_cli.caller import Caller, CallerError, UnreachableError
from minttide_cli.demo.answers import ask
from minttide_cli.demo.daemons import RunningDaemon
from minttide_cli.demo.progress import DemoProgress
from minttide_cli.demo.scenarios import Scenarios
from minttide_cli.demo.site import DemoSite, token_of
from minttide_fakes.engine import ReplyFault
from minttide_fakes.faults import AppendFault
from minttide_fakes.plain import CallFault
from minttided.http.client import ExchangeError

EXAMPLES = Path("examples")
DURATION_S = 40.0
COOL_DOWN_S = 3.0
DRAFTERS = 10
BOOKERS = 3
FAULTS_PER_S = 2.0
DAEMONS = 3
MAX_DEAD_ENGINES = 2
SLOW_FACTOR = 20.0
DRAIN_TIMEOUT_S = 15.0
BOOKING = "booking"
FIRST_TOKEN_TARGET_S = 0.73


class Soak:
    """One run: its site, random generator, counters and measured times."""

    def __init__(self, site: DemoSite, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._replacing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.first_token_s: list[float] = []
        self.longest_gaps_s: list[float] = []
        self._faults: dict[str, tuple[int, Callable[[], None]]] = {
            "replies": (6, self._fault_reply),
            "engine fails": (1, self._kill_engine),
            "engine is slow": (1, self._slow_engine),
            "log unreachable": (1, self._interrupt_log),
            "append fails": (1, self._fault_append),
            "upstream drops connection": (2, self._fault_upstream),
            "daemon is killed": (1, lambda: self._replace_daemon(graceful=False)),
            "daemon is shut down": (1, lambda: self._replace_daemon(graceful=True)),
        }

    async def run(self, seconds: float) -> None:
        """Run callers and faults, then wait until the site has settled."""
        jobs = [asyncio.create_task(self._draft(n)) for n in range(DRAFTERS)]
        jobs += [asyncio.create_task(self._book(n)) for n in range(BOOKERS)]
        jobs.append(asyncio.create_task(self._inject_faults()))
        done, _ = await asyncio.wait(jobs, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
        for job in done:
            job.result()
        self._site.served.log.down = False
        await asyncio.sleep(COOL_DOWN_S)
        await asyncio.gather(*self._tasks)

    # Callers.

    async def _draft(self, number: int) -> None:
        while True:
            caller, file = self._rng.choice(self._site.make_callers())
            result = await ask(caller, file, f"draft {number}-{self._rng.random()}")
            self.counts["drafts"] += 1
            if result.is_complete and result.draft is not None:
                self.counts["complete"] += 1
                self.first_token_s.append(result.draft.first_token_s)
                self.longest_gaps_s.append(result.draft.longest_gap_s)
            elif result.draft is not None:
                self.counts["wrong"] += 1
            else:
                self.errors[result.error] += 1

    async def _book(self, number: int) -> None:
        while True:
            self.counts["keys"] += 1
            key = f"key-{number}-{self.counts['keys']}"
            calls = [self._call(key) for _ in range(self._rng.randint(1, 3))]
            outcomes = list(await asyncio.gather(*calls))
            for _ in range(self._rng.randint(0, 2)):
                await asyncio.sleep(self._rng.random())
                outcomes.append(await self._call(key))
            self._check_outcomes(key, outcomes)

    async def _call(self, key: str) -> str:
        """Send one booking through one daemon, and return the outcome that the caller is told."""
        entry = self._rng.choice(self._site.entries)
        caller = Caller([entry], token_of("portal"))
        caller.use_only(Address(entry))
        try:
            reply = await caller.call(BOOKING, "POST", "/bookings", b"{}", key)
        except CallerError as exc:
            return exc.problem.ran.value
        except UnreachableError:
            return "not run"
        except ExchangeError:
            return "unknown"
        return "done" if reply.status == 200 else f"upstream status {reply.status}"

    def _check_outcomes(self, key: str, outcomes: list[str]) -> None:
        ran = self._site.fakes.ledgers[BOOKING][key]
        self.counts["calls"] += len(outcomes)
        for outcome in set(outcomes):
            self.counts[f"told {outcome}"] += outcomes.count(outcome)
        self.counts["ran more than once"] += ran > 1
        self.counts["all told not run, but ran"] += ran > 0 and set(outcomes) == {"not run"}
        self.counts["told done, but did not run"] += ran == 0 and "done" in outcomes

    # Faults.

    async def _inject_faults(self) -> None:
        names = list(self._faults)
        weights = [weight for weight, _ in self._faults.values()]
        while True:
            await asyncio.sleep(self._rng.expovariate(FAULTS_PER_S))
            name = self._rng.choices(names, weights)[0]
            self.counts[f"fault: {name}"] += 1
            self._faults[name][1]()

    def _schedule(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        asyncio.get_running_loop().call_later(delay_s, action, *args)

    def _fault_reply(self) -> None:
        engine = self._rng.choice(list(self._site.fakes.engines.values()))
        engine.inject_fault(self._rng.choice(list(ReplyFault)))

    def _kill_engine(self) -> None:
        engines = list(self._site.fakes.engines.values())
        engine = self._rng.choice(engines)
        if not engine.dead and sum(e.dead for e in engines) < MAX_DEAD_ENGINES:
            engine.crash(after_steps=self._rng.randrange(5))
            self._schedule(self._rng.uniform(1, 6), engine.restart)

    def _slow_engine(self) -> None:
        engine = self._rng.choice(list(self._site.fakes.engines.values()))
        engine.slow_factor = SLOW_FACTOR
        self._schedule(2.0, setattr, engine, "slow_factor", 1.0)

    def _interrupt_log(self) -> None:
        self._site.served.log.down = True
        self._schedule(self._rng.uniform(0.2, 2), setattr, self._site.served.log, "down", False)

    def _fault_append(self) -> None:
        self._site.served.log.faults.inject(self._rng.choice(list(AppendFault)))

    def _fault_upstream(self) -> None:
        upstream = self._rng.choice(list(self._site.fakes.upstreams.values()))
        upstream.inject_fault(self._rng.choice(list(CallFault)))

    def _replace_daemon(self, graceful: bool) -> None:
        if not self._replacing and len(self._site.running) == DAEMONS:
            self._replacing = True
            self._start_task(self._replace(self._rng.randrange(DAEMONS), graceful))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.add(asyncio.create_task(coroutine))

    async def _replace(self, index: int, graceful: bool) -> None:
        old = self._site.daemons[index]
        self.counts["daemons shut down" if graceful else "daemons killed"] += 1
        if graceful:
            old.app.start_drain()
            self.counts["graceful shutdowns that did not finish"] += not await old.wait_ended(
                DRAIN_TIMEOUT_S
            )
        await old.crash()
        await asyncio.sleep(self._rng.uniform(0, 1.5))
        peer_addresses = [daemon.peer_address for daemon in self._site.running]
        new = RunningDaemon(old.cfg.host, old.cfg.zone, self._site.log_address, peer_addresses)
        await self._site.replace_daemon(index, new)
        self._replacing = False


def run(seed: int, seconds: float = DURATION_S) -> Table:
    """Run the soak test in real time, and return the table of results."""
    logging.disable(logging.CRITICAL)
    try:
        soak, watts_over_cap, remaining = asyncio.run(_run(seed, seconds))
    finally:
        logging.disable(logging.NOTSET)
    table = Table(
        "soak",
        f"Whole path on real sockets under a mix of faults for {seconds:g} s",
        f"python -m measure soak --seed {seed}",
        seed,
        ("figure", "measured", "target", "verdict"),
    )
    counts = soak.counts
    _add(table, "drafts that did not complete", counts["drafts"] - counts["complete"], 0)
    _add(table, "drafts with a wrong token", counts["wrong"], 0)
    _add(table, "bookings that ran more than once", counts["ran more than once"], 0)
    for name in ("all told not run, but ran", "told done, but did not run"):
        _add(table, f"bookings, {name}", counts[name], 0)
    _add(
        table,
        "graceful shutdowns that did not finish",
        counts["graceful shutdowns that did not finish"],
        0,
    )
    _add(table, "peak power over the cap, W", max(0, watts_over_cap), 0)
    _add(table, "caches and outputs remaining on live engines", remaining, None)
    _add(
        table,
        "first token, 95 in 100, s",
        percentile(soak.first_token_s, 0.95),
        FIRST_TOKEN_TARGET_S,
    )
    _add(table, "longest gap in a draft, 95 in 100, s", percentile(soak.longest_gaps_s, 0.95), None)
    _add(table, "longest gap in a draft, worst, s", max(soak.longest_gaps_s, default=0.0), None)
    table.note(", ".join(f"{name}: {count}" for name, count in sorted(counts.items()) if count))
    for error, count in soak.errors.items():
        table.note(f"{count} drafts ended with: {error}")
    return table


def _add(table: Table, label: str, observed: float, target: float | None) -> None:
    table.add(label, observed, "" if target is None else target, _format_verdict(observed, target))


def _format_verdict(observed: float, target: float | None) -> str:
    return "" if target is None else verdict(observed, target)


async def _run(seed: int, seconds: float) -> tuple[Soak, int, int]:
    async with DemoSite(EXAMPLES) as site:
        scenarios = Scenarios(site, DemoProgress(lambda text: None))
        await scenarios.publish()
        await scenarios.place()
        soak = Soak(site, seed)
        await soak.run(seconds)
        watts_over_cap = site.fakes.peak_watts - site.file.power_cap_watts
        return soak, watts_over_cap, site.fakes.retained_items
