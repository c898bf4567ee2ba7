"""Finds a way on for drafts whose attempt failed: the same chain, imported KV caches, or prefill.

Prefills are paced, so that the streams of a lost engine don't swamp the others.
"""

import asyncio
import logging
from types import TracebackType
from typing import Self

from minttide.ids import RequestId, ServiceName, UpstreamId
from minttide.interfaces import EngineError
from minttide.policy.chains import Chain
from minttide.policy.recovery import KvExport, RecoveryPacer, ResumeWay, Stalled, choose_resume
from minttided.drafts.draft_run import DraftRun
from minttided.engines.engine_monitor import EngineMonitor

log = logging.getLogger(__name__)

PUMP_S = 0.02
"""Longest time between two looks at streams that wait to be resumed."""

EXPORT_TIMEOUT_S = 0.1
MAX_EXPORTS_AT_ONCE = 16
"""Streams whose KV caches are exported at the same time; others are prefilled."""

LEAST_EXPORT_TOKENS = 512
"""Below this many tokens a new prefill is sooner than asking engines for exports."""

Group = tuple[ServiceName, str]


class Recoveries:
    """The drafts of this host that wait to be resumed."""

    def __init__(self, monitor: EngineMonitor):
        self._monitor = monitor
        self._pacers: dict[Group, RecoveryPacer] = {}
        self._runs: dict[RequestId, DraftRun] = {}
        self._exporting: set[asyncio.Task[None]] = set()
        self._pump_handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._pump_handle is not None:
            self._pump_handle.cancel()
        for task in self._exporting:
            task.cancel()
        await asyncio.gather(*self._exporting, return_exceptions=True)

    @property
    def waiting(self) -> int:
        """Return the number of drafts that wait to be resumed."""
        return sum(len(pacer) for pacer in self._pacers.values())

    def recover(self, run: DraftRun, engine: UpstreamId, reason: str) -> None:
        """Have a draft resumed whose attempt failed at `engine`."""
        attempt = run.attempt
        extra = {
            "request": attempt.request,
            "attempt": attempt.number,
            "engine": engine,
            "delivered": len(attempt.delivered),
            "reason": reason,
        }
        log.warning("attempt failed", extra=extra)
        chain = attempt.chain
        assert chain is not None
        avoid = self._monitor.avoid()
        if run.failures_in_row == 1 and avoid.isdisjoint(chain.engines):
            self._resume(run, chain, (), [chain], "its engines are well and keep the KV cache")
        elif self._may_export(run, avoid):
            self._export(run, chain)
        else:
            self._stall(run)

    def forget(self, run: DraftRun) -> None:
        """Note that a draft delivers again or has ended."""
        chain = run.attempt.chain
        self._runs.pop(run.attempt.request, None)
        pacer = self._pacers.get((chain.service, chain.version)) if chain else None
        if pacer is not None:
            pacer.finish(run.attempt.request)
            if len(pacer):
                self._pump_soon(0.0)

    def _resume(
        self,
        run: DraftRun,
        chain: Chain,
        handles: tuple[str | None, ...],
        candidates: list[Chain],
        reason: str,
    ) -> None:
        extra = {
            "request": run.attempt.request,
            "chosen": chain.id,
            "candidates": ",".join(c.id for c in candidates),
            "reason": reason,
            "attempt": run.attempt.number + 1,
        }
        log.info("chain chosen to resume", extra=extra)
        way = ResumeWay.IMPORT if handles else ResumeWay.PREFILL
        self._monitor.metrics.count_recovery(chain.service, way.value)
        self._monitor.metrics.count_decision("resume")
        run.start(chain, handles)

    # New prefills.

    def _stall(self, run: DraftRun) -> None:
        attempt = run.attempt
        chain = attempt.chain
        assert chain is not None
        group = (chain.service, chain.version)
        if group not in self._pacers:
            peers = self._monitor.topology.followers(chain.service)
            self._pacers[group] = RecoveryPacer(self._monitor.rng, peers)
        now_ms = asyncio.get_running_loop().time() * 1000.0
        self._runs[attempt.request] = run
        self._pacers[group].add(Stalled(attempt.request, attempt.position, run.priority, now_ms))
        self._pump_soon(0.0)

    def _pump_soon(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._pump_handle is None:
            self._pump_handle = (
                loop.call_later(delay_s, self._pump) if delay_s else loop.call_soon(self._pump)
            )

    def _pump(self) -> None:
        self._pump_handle = None
        try:
            for group, pacer in list(self._pacers.items()):
                if len(pacer):
                    self._start_stalled(group, pacer)
            self._drop_old_pacers()
        finally:
            if self.waiting:
                self._pump_soon(PUMP_S)

    def _drop_old_pacers(self) -> None:
        """Forget versions that no chain holds any more."""
        held = {
            (c.service, c.version)
            for chains in self._monitor.topology.all_chains.values()
            for c in chains
        }
        for group in [g for g, p in self._pacers.items() if not len(p) and g not in held]:
            del self._pacers[group]

    def _start_stalled(self, group: Group, pacer: RecoveryPacer) -> None:
        estimator = self._monitor.topology.estimator
        usable = {c.id: c for c in self._usable(group)}
        if estimator is None:
            return
        rates = {c.id: estimator.prefill_ms_per_token(c) for c in usable.values()}
        while (start := pacer.next(rates)) is not None:
            run = self._runs.pop(start.stalled.request, None)
            if run is None or not run.running:
                pacer.finish(start.stalled.request)
                continue
            chain = usable[start.chain]
            self._resume(run, chain, (), list(usable.values()), "least prefill work waiting")

    def _usable(self, group: Group) -> list[Chain]:
        """Return the chains that can go on with the group's streams; farther ones only in need."""
        service, version = group
        avoid = self._monitor.avoid()
        for everywhere in (False, True):
            chains = self._monitor.chains(service, everywhere)
            usable = [c for c in chains if c.version == version and avoid.isdisjoint(c.engines)]
            if usable:
                return usable
        return []

    # Imported KV caches.

    def _may_export(self, run: DraftRun, avoid: frozenset[UpstreamId]) -> bool:
        """Return whether asking the old engines for their KV caches may be worth the time."""
        return (
            run.failures_in_row == 1
            and run.attempt.position >= LEAST_EXPORT_TOKENS
            and len(run.attempt.delivered) > 0
            and len(self._exporting) < MAX_EXPORTS_AT_ONCE
        )

    def _export(self, run: DraftRun, chain: Chain) -> None:
        task = asyncio.get_running_loop().create_task(self._resume_by_import(run, chain))
        self._exporting.add(task)
        task.add_done_callback(self._exporting.discard)

    async def _resume_by_import(self, run: DraftRun, chain: Chain) -> None:
        exports = await self._ask_exports(run, chain)
        if not run.running:
            return
        topology = self._monitor.topology
        if len(exports) == len(chain.stages) and topology.estimator is not None:
            usable = self._usable((chain.service, chain.version))
            news = self._monitor.news(chain.service)
            resume = choose_resume(
                usable, topology.estimator, news, run.attempt.position, chain.version, exports
            )
            if resume is not None and resume.way is ResumeWay.IMPORT:
                self._resume(run, resume.chain, resume.handles, usable, "KV cache imported")
                return
        self._stall(run)

    async def _ask_exports(self, run: DraftRun, chain: Chain) -> list[KvExport]:
        """Ask the engines of `chain` for the draft's KV caches; none unless all answer in time."""
        request = run.attempt.request
        try:
            async with asyncio.timeout(EXPORT_TIMEOUT_S), asyncio.TaskGroup() as group:
                clients = [self._monitor.client(engine) for engine in chain.engines]
                tasks = [group.create_task(c.export_kv(request)) for c in clients]
        except (TimeoutError, EngineError, ExceptionGroup) as exc:
            log.info("no KV cache to import", extra={"request": request, "reason": str(exc)})
            return []
        # The engines before the failed stage may be one token ahead of the others.
        tokens = run.attempt.position - 1
        return [
            KvExport(task.result(), s.engine, s.first, s.last, tokens)
            for task, s in zip(tasks, chain.stages, strict=True)
        ]
