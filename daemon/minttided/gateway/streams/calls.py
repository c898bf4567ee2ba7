"""Forwards streams along paths of engines; what all streams of one host share."""

import logging
from collections.abc import Set

from minttide.ids import Address, ServiceName, UpstreamId
from minttide.layers.paths import Path, PathFinder, Work, is_whole
from minttide.policy.suspects import SuspectUpstreams
from minttide.routing.routes import ModelSpec
from minttided.gateway.callers.budgets import Budgets
from minttided.gateway.callers.request import GatewayRequest, read_work
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.loads import PathLoads
from minttided.gateway.streams.owner import Wakeable
from minttided.gateway.streams.patience import Patience
from minttided.gateway.streams.probes import EngineProbes
from minttided.gateway.streams.run import StreamRun
from minttided.http.messages import HttpResponse, StreamResponse

log = logging.getLogger(__name__)


class StreamCalls:
    """Runs requests of routes whose service has a model. Implements `RunOwner`."""

    def __init__(self, state: GatewayState, budgets: Budgets, loads: PathLoads):
        self.state = state
        self.loads = loads
        self.probes = EngineProbes(state, self.wake, loads.note_report)
        self.runs: set[Wakeable] = set()
        self.patience = Patience()
        self._full = SuspectUpstreams()
        self.budgets = budgets

    async def run(self, request: GatewayRequest, model: ModelSpec) -> HttpResponse | StreamResponse:
        """Return the answer to a request, whose events follow as they come.

        Raises `RequestError`.
        """
        self.budgets.of(request.service).record_first_attempt()
        work = read_work(request.req, self.state.headers, model)
        return await StreamRun(self, request, model, work).begin()

    def wake(self, engine: UpstreamId) -> None:
        """Have all streams through an engine that doesn't answer look at once, not in turn."""
        for run in list(self.runs):
            run.wake(engine)

    def choose_path(
        self,
        service: ServiceName,
        model: ModelSpec,
        work: Work,
        avoided: Set[UpstreamId],
        first: UpstreamId | None = None,
    ) -> Path | None:
        """Return the path to use now, beginning with engine `first` where it is given."""
        engines = self.state.of_service(service)
        loads = self.loads.estimate()
        self.probes.try_again(engines)
        untrusted = self.state.suspects.suspected()
        silent = self.state.suspects.avoided(now_s())
        full = self._full.avoided(now_s())
        # Where no path is left, an engine that may have room or live again is better than none.
        stages = (untrusted | full | avoided, untrusted | avoided, silent | avoided, silent)
        for avoid in dict.fromkeys(frozenset(s) for s in stages):
            finder = PathFinder(model, engines, avoid - {first})
            path = finder.choose(work, self.state.cfg.zone, loads, self.state.rng, first)
            if path is not None and is_whole(path, model.layers):
                return path
        return None

    def avoid_address(self, address: Address, for_s: float) -> UpstreamId | None:
        """Keep away from the engine at an address for a while; return it where it is known."""
        for entry in self.state.upstreams.values():
            if entry.address == address:
                if self._full.add_for(entry.id, now_s(), for_s):
                    extra = {"engine": entry.id, "reason": "named by an engine", "for_s": for_s}
                    log.warning("engine avoided", extra=extra)
                self.probes.check(entry.id)
                return entry.id
        return None
