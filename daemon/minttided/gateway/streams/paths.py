"""The paths of one stream: which engines it keeps away from, and orders to go on along another."""

from collections.abc import Iterable, Set

from minttide.ids import Address, UpstreamId
from minttide.layers.paths import Path, RequestSize
from minttide.routing.routes import ModelSpec, UpstreamEntry
from minttide.routing.sources import OrderOutcome, SourceError
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.streams.attempt import StreamAttempt
from minttided.gateway.streams.log import Progress, StreamLog, format_path
from minttided.gateway.streams.owner import RunOwner

MOST_MOVES = 4
"""Orders to go on along another path, in one stream."""

MOVE_TIMEOUT_S = 0.25
"""Time for an engine to take such an order, after which the stream is resumed elsewhere."""

FULL_S = 0.3
"""How long all streams keep away from an engine that has no room."""

STALE_S = 1.0
"""How long they keep away from one that doesn't hold the layers that the list says."""

STALLED_S = 2.0
"""How long they keep away from one that requests wait for in vain."""

_AVOID_S = {503: FULL_S, 421: STALE_S}


class StreamPaths:
    """Chooses and changes the paths of one stream."""

    def __init__(
        self,
        owner: RunOwner,
        request: GatewayRequest,
        model: ModelSpec,
        work: RequestSize,
        log: StreamLog,
        progress: Progress,
    ):
        self._owner = owner
        self._request = request
        self._model = model
        self._work = work
        self._log = log
        self._progress = progress
        self._avoided: set[UpstreamId] = set()

    def choose(self, first: UpstreamId | None = None) -> Path | None:
        """Return the path to use now, beginning with engine `first` where it is given."""
        return self._owner.choose_path(
            self._request.service, self._model, self._work, self._avoided, first
        )

    def avoid(self, engines: Iterable[UpstreamId]) -> None:
        """Keep this stream away from engines."""
        self._avoided.update(engines)

    def avoid_rejecting(self, attempt: StreamAttempt, status: int, fault: str | None) -> None:
        """Keep away from the engine because of which a send was rejected with `status`."""
        named = Address(fault) if fault else None
        if not self._avoid_address(named, _AVOID_S.get(status, FULL_S)):
            self._avoided.add(attempt.path[0].engine)

    def find_stalled(self, waits: Iterable[tuple[str, Address]]) -> set[UpstreamId]:
        """Return the engines that this stream waits for, by what its first engine reports."""
        found: set[UpstreamId] = set()
        for attempt, address in waits:
            named = None
            if attempt == self._request.attempt:
                named = self._owner.avoid_address(address, STALLED_S)
            if named is not None:
                found.add(named)
        return found

    async def move(self, attempt: StreamAttempt, dead: Set[UpstreamId]) -> bool:
        """Order the first engine to use another path; return whether it does.

        An order that is refused because of another engine is given again around that one too.
        """
        first = attempt.path[0]
        while self._progress.moves < MOST_MOVES:
            entry = self._owner.state.upstreams.get(first.engine)
            path = self.choose(first.engine)
            if entry is None or path is None or any(s.engine in dead for s in path):
                return False
            self._progress.moves += 1
            outcome = await self._order(entry, path)
            self._log.moved(outcome.accepted, path, dead, outcome.reason, self._progress)
            if outcome.accepted:
                self._owner.state.metrics.count_recovery(self._request.service, "repath")
                attempt.follow(path)
                return True
            if not self._avoid_address(outcome.fault, FULL_S):
                return False
        return False

    async def _order(self, entry: UpstreamEntry, path: Path) -> OrderOutcome:
        try:
            return await self._owner.state.engines.repath(
                entry, self._request.attempt, format_path(path), MOVE_TIMEOUT_S
            )
        except SourceError as exc:
            return OrderOutcome(False, reason=str(exc))

    def _avoid_address(self, address: Address | None, for_s: float) -> bool:
        """Keep away from an engine that another has named; return whether it is known."""
        named = self._owner.avoid_address(address, for_s) if address is not None else None
        if named is not None:
            self._avoided.add(named)
        return named is not None
