"""Recovery of drafts whose attempt failed: on the same chain, by KV cache import, or by prefill.

Prefills are paced so that the streams of a lost engine don't overload the others.
"""

import asyncio
import logging
from types import TracebackType
from typing import Self

from minttide.ids import RequestId, ServiceName, UpstreamId
from minttide.interfaces import EngineError
from minttide.policy.chains import Chain
from minttide.policy.recovery import (
    RecoveryPacer,
    ResumeMethod,
    StageKvExport,
    StalledStream,
    choose_resume,
)
from minttided.drafts.draft_run import DraftRun
from minttided.engines.engine_monitor import EngineMonitor

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.02
"""Maximum time between two checks of the streams that wait to be resumed."""

EXPORT_TIMEOUT_S = 0.1
MAX_CONCURRENT_EXPORTS = 16
"""Maximum number of streams with a KV cache export in progress; others are prefilled."""

MIN_EXPORT_TOKENS = 512
"""Below this many tokens, a new prefill is faster than a KV cache export."""

ChainGroup = tuple[ServiceName, str]


class RecoveryScheduler:
    """Resumes the failed drafts of this host; those that need a prefill are queued."""

    def __init__(self, monitor: EngineMonitor):
        self._monitor = monitor
        self._pacers: dict[ChainGroup, RecoveryPacer] = {}
        self._stalled_runs: dict[RequestId, DraftRun] = {}
        self._export_tasks: set[asyncio.Task[None]] = set()
        self._check_handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._check_handle is not None:
            self._check_handle.cancel()
        for task in self._export_tasks:
            task.cancel()
        await asyncio.gather(*self._export_tasks, return_exceptions=True)

    @property
    def waiting(self) -> int:
        """Return the number of drafts queued for a prefill."""
        return sum(len(pacer) for pacer in self._pacers.values())

    def recover(self, run: DraftRun, engine: UpstreamId, reason: str) -> None:
        """Resume a draft whose attempt failed at `engine`, or queue it for a prefill."""
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
        excluded_engines = self._monitor.excluded_engines()
        if run.failures_in_row == 1 and excluded_engines.isdisjoint(chain.engines):
            self._resume(run, chain, (), [chain], "its engines are healthy and keep the KV cache")
        elif self._should_export(run, excluded_engines):
            self._start_export(run, chain)
        else:
            self._queue_for_prefill(run)

    def discard(self, run: DraftRun) -> None:
        """Drop a draft that makes progress again or has ended."""
        chain = run.attempt.chain
        self._stalled_runs.pop(run.attempt.request, None)
        pacer = self._pacers.get((chain.service, chain.version)) if chain else None
        if pacer is not None:
            pacer.finish(run.attempt.request)
            if len(pacer):
                self._schedule_check(0.0)

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
        method = ResumeMethod.IMPORT if handles else ResumeMethod.PREFILL
        self._monitor.metrics.count_recovery(chain.service, method.value)
        self._monitor.metrics.count_decision("resume")
        run.start(chain, handles)

    # New prefills.

    def _queue_for_prefill(self, run: DraftRun) -> None:
        attempt = run.attempt
        chain = attempt.chain
        assert chain is not None
        group = (chain.service, chain.version)
        if group not in self._pacers:
            sharing_hosts = self._monitor.topology.hosts_per_chain(chain.service)
            self._pacers[group] = RecoveryPacer(self._monitor.rng, sharing_hosts)
        now_ms = asyncio.get_running_loop().time() * 1000.0
        self._stalled_runs[attempt.request] = run
        self._pacers[group].add(
            StalledStream(attempt.request, attempt.position, run.priority, now_ms)
        )
        self._schedule_check(0.0)

    def _schedule_check(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._check_handle is None:
            self._check_handle = (
                loop.call_later(delay_s, self._check_stalled)
                if delay_s
                else loop.call_soon(self._check_stalled)
            )

    def _check_stalled(self) -> None:
        self._check_handle = None
        try:
            for group, pacer in list(self._pacers.items()):
                if len(pacer):
                    self._start_stalled(group, pacer)
            self._drop_unused_pacers()
        finally:
            if self.waiting:
                self._schedule_check(CHECK_INTERVAL_S)

    def _drop_unused_pacers(self) -> None:
        """Drop the pacers of versions that no chain serves any more."""
        in_use = {
            (c.service, c.version)
            for chains in self._monitor.topology.all_chains.values()
            for c in chains
        }
        for group in [g for g, p in self._pacers.items() if not len(p) and g not in in_use]:
            del self._pacers[group]

    def _start_stalled(self, group: ChainGroup, pacer: RecoveryPacer) -> None:
        estimator = self._monitor.topology.estimator
        usable = {c.id: c for c in self._usable_chains(group)}
        if estimator is None:
            return
        prefill_rates = {c.id: estimator.prefill_ms_per_token(c) for c in usable.values()}
        while (start := pacer.next_start(prefill_rates)) is not None:
            run = self._stalled_runs.pop(start.stalled.request, None)
            if run is None or not run.running:
                pacer.finish(start.stalled.request)
                continue
            chain = usable[start.chain]
            self._resume(run, chain, (), list(usable.values()), "shortest prefill queue")

    def _usable_chains(self, group: ChainGroup) -> list[Chain]:
        """Return usable chains of the group.

        Chains outside of this host's subset are used only if no other chain is usable.
        """
        service, version = group
        excluded_engines = self._monitor.excluded_engines()
        for whole_domain in (False, True):
            chains = self._monitor.chains(service, whole_domain)
            usable = [
                c for c in chains if c.version == version and excluded_engines.isdisjoint(c.engines)
            ]
            if usable:
                return usable
        return []

    # Imported KV caches.

    def _should_export(self, run: DraftRun, excluded_engines: frozenset[UpstreamId]) -> bool:
        """Return whether a KV cache export from the previous engines is worth trying."""
        return (
            run.failures_in_row == 1
            and run.attempt.position >= MIN_EXPORT_TOKENS
            and len(run.attempt.delivered) > 0
            and len(self._export_tasks) < MAX_CONCURRENT_EXPORTS
        )

    def _start_export(self, run: DraftRun, chain: Chain) -> None:
        task = asyncio.get_running_loop().create_task(self._resume_by_import(run, chain))
        self._export_tasks.add(task)
        task.add_done_callback(self._export_tasks.discard)

    async def _resume_by_import(self, run: DraftRun, chain: Chain) -> None:
        exports = await self._request_exports(run, chain)
        if not run.running:
            return
        topology = self._monitor.topology
        if len(exports) == len(chain.stages) and topology.estimator is not None:
            usable = self._usable_chains((chain.service, chain.version))
            current_load = self._monitor.current_load(chain.service)
            resume = choose_resume(
                usable,
                topology.estimator,
                current_load,
                run.attempt.position,
                chain.version,
                exports,
            )
            if resume is not None and resume.method is ResumeMethod.IMPORT:
                self._resume(run, resume.chain, resume.kv_handles, usable, "KV cache imported")
                return
        self._queue_for_prefill(run)

    async def _request_exports(self, run: DraftRun, chain: Chain) -> list[StageKvExport]:
        """Return the draft's KV caches, exported by the engines of `chain`.

        The list is empty unless all engines answer in time.
        """
        request = run.attempt.request
        try:
            async with asyncio.timeout(EXPORT_TIMEOUT_S), asyncio.TaskGroup() as group:
                clients = [self._monitor.client(engine) for engine in chain.engines]
                tasks = [group.create_task(c.export_kv(request)) for c in clients]
        except (TimeoutError, EngineError, ExceptionGroup) as exc:
            log.info("KV cache export failed", extra={"request": request, "reason": str(exc)})
            return []
        # Engines before the failed stage may have cached one token more than the others.
        tokens = run.attempt.position - 1
        return [
            StageKvExport(task.result(), s.engine, s.first, s.last, tokens)
            for task, s in zip(tasks, chain.stages, strict=True)
        ]
