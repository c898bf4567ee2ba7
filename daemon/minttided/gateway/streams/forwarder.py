"""Forwards streams along paths of engines, and holds what all streams of one host share."""

import logging
from collections.abc import Sequence, Set
from contextlib import AsyncExitStack
from dataclasses import replace

from minttide.ids import Address, ServiceName, UpstreamId
from minttide.layers.paths import Path, PathFinder, RequestSize, is_complete_path
from minttide.policy.avoided_upstreams import AvoidedUpstreams
from minttide.policy.crash_reports import PartBlock
from minttide.policy.path_faults import Accusation, AccusationChange
from minttide.policy.request_fingerprint import is_request_part
from minttide.routing.routes import ModelSpec, UpstreamEntry
from minttided.gateway.callers.request import GatewayRequest, parse_request_size
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.admission import StreamAdmission
from minttided.gateway.streams.context import RunningStream
from minttided.gateway.streams.loads import EngineLoads
from minttided.gateway.streams.prefixes import StreamPrefixes
from minttided.gateway.streams.probes import EngineProbes
from minttided.gateway.streams.response import OwningChunks
from minttided.gateway.streams.run import StreamRun
from minttided.gateway.streams.silence_threshold import SilenceThreshold
from minttided.http.messages import HttpResponse, StreamResponse

log = logging.getLogger(__name__)


class StreamForwarder:
    """Forwards requests of routes whose service has a model. Implements `StreamContext`."""

    def __init__(self, state: GatewayState, budgets: RetryBudgets, loads: EngineLoads):
        self.state = state
        self.loads = loads
        self.prefixes = StreamPrefixes(state, loads)
        self.admission = StreamAdmission(state, budgets, loads)
        self.probes = EngineProbes(state, self.check_streams, loads.record_report)
        self.runs: set[RunningStream] = set()
        self.silence_threshold = SilenceThreshold()
        self._avoided_engines = AvoidedUpstreams()
        self.budgets = budgets
        state.prompt_crashes.on_block = self._on_block
        state.prompt_crashes.on_unblock = self._on_unblock
        state.path_faults.on_change = self._on_accusation

    async def run(self, request: GatewayRequest, model: ModelSpec) -> HttpResponse | StreamResponse:
        """Return the response to a request; its events are streamed as they arrive.

        Raises `RequestError`.
        """
        request_size = parse_request_size(request.req, self.state.headers, model)
        if not self.admission.applies(request.service):
            return await StreamRun(self, request, model, request_size).start()
        async with AsyncExitStack() as stack:
            admitted = await stack.enter_async_context(
                self.admission.admit(request, model, request_size)
            )
            response = await StreamRun(self, request, model, request_size, admitted).start()
            if isinstance(response, StreamResponse):
                chunks = OwningChunks(response.chunks, stack.pop_all())
                return replace(response, chunks=chunks)
        return response

    def check_streams(self, engine: UpstreamId) -> None:
        """Make all streams through an unresponsive engine check it now, not at their thresholds."""
        self.prefixes.forget(engine)
        for run in list(self.runs):
            run.check_now(engine)

    def _on_block(self, block: PartBlock) -> None:
        """Abandon the streams that wait for their first event and are blocked now."""
        blocked = _describe(block)
        self.state.metrics.count_decision(f"block {blocked}")
        extra = {"service": block.service, "parts": block.parts}
        log.warning(f"{blocked} blocked", extra=extra)
        for run in list(self.runs):
            run.check_blocked()

    def _on_unblock(self, block: PartBlock) -> None:
        extra = {"service": block.service, "parts": block.parts}
        log.warning(f"{_describe(block)} unblocked", extra=extra)

    def choose_path(
        self,
        service: ServiceName,
        model: ModelSpec,
        request_size: RequestSize,
        avoided: Set[UpstreamId],
        first: UpstreamId | None = None,
    ) -> Path | None:
        """Return the best path, starting at engine `first` if given, or `None` if there is none."""
        engines = self.state.active_upstreams(service)
        loads = self.loads.estimate()
        held = self.prefixes.find_candidates(service, model, request_size)
        self.probes.probe_on_trial(engines)
        untrusted = self.state.suspects.suspected()
        failing = self.state.suspects.avoided(now_s())
        avoided_by_all = self._avoided_engines.avoided(now_s())
        closed = self.state.notices.closed(engines, now_s())
        accused = self._find_accused(service, model, engines, failing)
        for_trial = self._avoided_for_trial(service, engines, accused, avoided, first)
        # If no path is left, allow engines that may have recovered or have free capacity again.
        avoid_sets = (
            untrusted | avoided_by_all | avoided | (for_trial or accused),
            untrusted | avoided_by_all | avoided | accused,
            untrusted | avoided | accused,
            failing | avoided | accused,
            failing | accused,
        )
        for avoid in dict.fromkeys(frozenset(s) for s in avoid_sets):
            finder = PathFinder(model, engines, avoid - {first})
            path = finder.choose(
                request_size, self.state.cfg.zone, loads, self.state.rng, first, closed, held
            )
            if path is not None and is_complete_path(path, model.layers):
                return path
        return None

    def _find_accused(
        self,
        service: ServiceName,
        model: ModelSpec,
        engines: Sequence[UpstreamEntry],
        failing: Set[UpstreamId],
    ) -> set[UpstreamId]:
        """Return the engines that are accused of failing requests."""
        if not self.state.cfg.fault_tracking:
            return set()
        usable = [e for e in engines if e.id not in failing]
        return self.state.path_faults.find_accused(service, usable, model.layers, now_s())

    def _avoided_for_trial(
        self,
        service: ServiceName,
        engines: Sequence[UpstreamEntry],
        accused: Set[UpstreamId],
        avoided: Set[UpstreamId],
        first: UpstreamId | None,
    ) -> set[UpstreamId]:
        """Return the engines to avoid so that the path uses an accused engine on trial.

        These are the other accused engines, and those whose layers begin with the same one. Empty
        if none is on trial now, or for a retry, which avoids engines already.
        """
        if not accused or avoided or first is not None:
            return set()
        draw = self.state.rng.random()
        tried = self.state.path_faults.choose_trial(service, accused, now_s(), draw)
        entry = self.state.upstreams.get(tried) if tried is not None else None
        if entry is None or entry.layers is None:
            return set()
        start = entry.layers.first
        same_start = {e.id for e in engines if e.layers is not None and e.layers.first == start}
        return (same_start | accused) - {entry.id}

    def _on_accusation(self, accusation: Accusation, change: AccusationChange) -> None:
        self.state.metrics.count_decision(change.value)
        estimate = accusation.estimate
        extra = {
            "service": accusation.service,
            "engine": accusation.engine,
            "failures": round(estimate.failures, 1),
            "attempts": round(estimate.attempts, 1),
            "probability": round(estimate.probability, 4),
            "hosts": accusation.hosts,
            "hold_s": accusation.hold_s,
        }
        log.warning(change.value, extra=extra)

    def avoid_engine(self, engine: UpstreamId, for_s: float, reason: str) -> None:
        """Let all streams avoid an engine for `for_s` seconds while others are left."""
        if self._avoided_engines.add_for(engine, now_s(), for_s):
            extra = {"engine": engine, "reason": reason, "for_s": for_s}
            log.warning("engine avoided", extra=extra)
        self.probes.check_engine(engine)

    def avoid_address(self, address: Address, for_s: float) -> UpstreamId | None:
        """Avoid the engine at an address for `for_s` seconds; return its id, `None` if unlisted."""
        for entry in self.state.upstreams.values():
            if entry.address == address:
                self.avoid_engine(entry.id, for_s, "reported by another engine")
                return entry.id
        return None


def _describe(block: PartBlock) -> str:
    return "request" if any(map(is_request_part, block.parts)) else "prompt part"
