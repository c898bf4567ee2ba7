"""Chooses the paths of one stream, avoids failed engines, and moves the stream to other engines."""

from collections.abc import Iterable, Set

from minttide.ids import Address, UpstreamId
from minttide.layers.memory import token_capacity
from minttide.layers.paths import MAX_MEMORY_UTILIZATION, EngineLoad, Path, RequestSize
from minttide.routing.outcome import SERVICE_UNAVAILABLE
from minttide.routing.routes import ModelSpec, UpstreamEntry
from minttide.routing.sources import OrderOutcome, SourceError
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.attempt import StreamAttempt
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.log import Progress, StreamLog, format_path

MAX_MOVES = 4
"""Orders to move to another path in one stream."""

MOVE_TIMEOUT_S = 0.25
"""Timeout of such an order, after which the stream is restarted on another path."""

FULL_AVOID_S = 0.3
"""How long all streams avoid an engine that has no free capacity."""

STALE_LAYERS_AVOID_S = 1.0
"""How long all streams avoid an engine that doesn't hold the layers given in the list."""

STALLED_AVOID_S = 2.0
"""How long all streams avoid an engine that another engine reports as stalling its requests."""

MAX_SECOND_FRACTION = 0.5
"""Part of an engine's places in use up to which it takes a second attempt of a stream whose engines
all respond. Before the first event such a silence rather comes from a slow start."""

_STATUS_AVOID_S = {503: FULL_AVOID_S, 421: STALE_LAYERS_AVOID_S}


class StreamPaths:
    """Chooses and changes the path of one stream."""

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        model: ModelSpec,
        request_size: RequestSize,
        log: StreamLog,
        progress: Progress,
    ):
        self._context = context
        self._request = request
        self._model = model
        self._request_size = request_size
        self._log = log
        self._progress = progress
        self._avoided: set[UpstreamId] = set()

    def choose(self, first: UpstreamId | None = None) -> Path | None:
        """Return the best path, starting at engine `first` if given, or `None` if there is none."""
        return self._context.choose_path(
            self._request.service, self._model, self._request_size, self._avoided, first
        )

    def report_choice(self, path: Path) -> None:
        """Report what a path that is about to be sent to should hold of the prompt."""
        self._context.prefixes.report_choice(self._request, self._model, self._request_size, path)

    def choose_moved(self, first: UpstreamId) -> Path | None:
        """Return the best path to which engine `first` can be ordered to move the stream.

        None if there is none, or if the engine asked for a pause and wants no orders either.
        """
        state = self._context.state
        entry = state.upstreams.get(first)
        if entry is not None and state.notices.is_paused(entry, now_s()):
            return None
        return self.choose(first)

    def send_delay_s(self) -> float:
        """Return the time until some first engine takes a request, by what they say."""
        state = self._context.state
        engines = state.active_upstreams(self._request.service)
        first = [e for e in engines if e.layers is not None and e.layers.first == 0]
        return state.notices.shortest_delay_s(first, now_s())

    def leaves_places(self, path: Path) -> bool:
        """Return whether a second attempt on a path leaves its engines places for other streams."""
        loads = self._context.loads.estimate()
        most = MAX_SECOND_FRACTION * self._model.slots
        return all(loads.get(s.engine, EngineLoad()).streams + 1 <= most for s in path)

    def avoid(self, engines: Iterable[UpstreamId]) -> None:
        """Exclude engines from the further paths of this stream."""
        self._avoided.update(engines)

    def uses_avoided(self, path: Path) -> bool:
        """Return whether a path uses engines that were to be avoided, for want of others."""
        return any(stage.engine in self._avoided for stage in path)

    def avoid_silent(self, path: Path) -> None:
        """Avoid the engines of a path of which an unknown one is silent, as far as others are left.

        Without another first engine, avoid the ones behind it, otherwise the first one only.
        """
        engines = {stage.engine for stage in path}
        first = {path[0].engine}
        for silent in (engines, engines - first):
            avoided = self._avoided | silent
            found = self._context.choose_path(
                self._request.service, self._model, self._request_size, avoided
            )
            if found is not None and silent.isdisjoint(stage.engine for stage in found):
                self._avoided = avoided
                return
        self._avoided |= first

    def avoid_failed(self, path: Path) -> None:
        """Avoid the engines of a path that has failed, as far as paths without them are left.

        Of engines that can't be avoided together with those before them, later ones are used again.
        """
        if self._finds_path_without(self._avoided.union(s.engine for s in path)):
            self._avoided.update(stage.engine for stage in path)
            self._context.state.metrics.count_avoided_path(self._request.service)
            return
        for stage in path:
            if self._finds_path_without(self._avoided | {stage.engine}):
                self._avoided.add(stage.engine)

    def _finds_path_without(self, avoided: Set[UpstreamId]) -> bool:
        """Return whether there is a path that uses none of the engines in `avoided`."""
        found = self._context.choose_path(
            self._request.service, self._model, self._request_size, avoided
        )
        return found is not None and avoided.isdisjoint(stage.engine for stage in found)

    def avoid_rejecting_engine(
        self, attempt: StreamAttempt, status: int, fault: str | None
    ) -> None:
        """Avoid the engine that caused a rejection with `status`.

        This is the engine at address `fault`, or the first of the path if `fault` names no engine.
        """
        address = Address(fault) if fault else None
        engine = self._avoid_address(address, _STATUS_AVOID_S.get(status, FULL_AVOID_S))
        if engine is None:
            engine = attempt.path[0].engine
            self._avoided.add(engine)
        if status == SERVICE_UNAVAILABLE and self._context.admission.applies(self._request.service):
            self._record_full(engine)

    def _record_full(self, engine: UpstreamId) -> None:
        """Count the room that an engine seemed to have as taken; it has just rejected a request."""
        entry = self._context.state.upstreams.get(engine)
        kind = self._model.kind(entry.kind) if entry is not None else None
        if entry is None or kind is None or entry.layers is None:
            return
        limit = MAX_MEMORY_UTILIZATION * token_capacity(self._model, kind, len(entry.layers))
        load = self._context.loads.estimate().get(engine, EngineLoad())
        self._context.loads.record_full(engine, limit - load.tokens)

    def find_stalled(self, waits: Iterable[tuple[str, Address]]) -> set[UpstreamId]:
        """Return the engines that stall this stream, according to the report of its first engine.

        `waits` lists attempt ids with the address of the engine that each of them waits for.
        """
        stalled: set[UpstreamId] = set()
        for attempt_id, address in waits:
            engine = None
            if attempt_id == self._request.attempt_id:
                engine = self._context.avoid_address(address, STALLED_AVOID_S)
            if engine is not None:
                stalled.add(engine)
        return stalled

    async def move(self, attempt: StreamAttempt, dead: Set[UpstreamId]) -> bool:
        """Order the first engine to continue on another path; return whether it accepted.

        If the order is rejected because of another engine, that engine is avoided too and a new
        order is sent.
        """
        first = attempt.path[0]
        while self._progress.moves < MAX_MOVES:
            entry = self._context.state.upstreams.get(first.engine)
            path = self.choose_moved(first.engine)
            if entry is None or path is None or any(s.engine in dead for s in path):
                return False
            self._progress.moves += 1
            outcome = await self._send_order(entry, path)
            self._log.moved(outcome.accepted, path, dead, outcome.reason, self._progress)
            if outcome.accepted:
                self._context.state.metrics.count_recovery(self._request.service, "repath")
                attempt.follow(path)
                return True
            if self._avoid_address(outcome.fault, FULL_AVOID_S) is None:
                return False
        return False

    async def _send_order(self, entry: UpstreamEntry, path: Path) -> OrderOutcome:
        try:
            return await self._context.state.engines.repath(
                entry, self._request.attempt_id, format_path(path), MOVE_TIMEOUT_S
            )
        except SourceError as exc:
            return OrderOutcome(False, reason=str(exc))

    def _avoid_address(self, address: Address | None, for_s: float) -> UpstreamId | None:
        """Avoid an engine that another engine reported; return its id, `None` if unlisted."""
        engine = self._context.avoid_address(address, for_s) if address is not None else None
        if engine is not None:
            self._avoided.add(engine)
        return engine
