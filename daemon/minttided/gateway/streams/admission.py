"""Admits streams by priority and client account where a service's callers differ in priority.

`minttide.policy.priority_admission` decides; here are its inputs, waiting, log lines and metrics.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

import msgspec

from minttide.ids import AccountId, PromptPart, ServiceName
from minttide.layers.memory import prefill_ms, stream_tokens, token_capacity
from minttide.layers.paths import RequestSize
from minttide.layers.usage import Usage, Usages, add_usages
from minttide.policy.admission_reports import AdmissionFigures
from minttide.policy.priority_admission import (
    AdmissionRequest,
    Admit,
    PriorityAdmission,
    Refuse,
)
from minttide.policy.request_fingerprint import make_request_part
from minttide.policy.return_order import ReturnOrder
from minttide.policy.usable_capacity import UsableCapacity
from minttide.problems import ProblemType, Ran
from minttide.routing.routes import ModelSpec, RoutingConfig, UpstreamEntry
from minttide.routing.table import RouteTable
from minttided.gateway.callers.errors import not_run_error
from minttided.gateway.callers.request import MS_PER_S, GatewayRequest
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.loads import EngineLoads

log = logging.getLogger(__name__)

READ_INTERVAL_S = 0.1
"""Time between two looks at the reports of other hosts, to save processor time for each request."""

POLL_S = 0.02
"""Interval at which waiting requests look for their turn."""

MAX_WAITING = 256
"""Requests of a service that wait on one host at most; each holds its body in memory."""

FIRST_EVENT_MARGIN_S = 0.1
"""Time to the first event beside prefill: connections, hops between engines and the first step."""

NO_ACCOUNT = AccountId("")


class _Service:
    """The admission to one service on this host."""

    def __init__(self, service: ServiceName, state: GatewayState):
        self.admission = PriorityAdmission(state.rng)
        self.figures = AdmissionFigures(service)
        self.admitted: set[AdmissionRequest] = set()
        self.returns = ReturnOrder()
        self.without_room: list[AdmissionRequest] = []
        self.waiting = 0
        self.others: Usages | None = None
        self.capacity = 0.0
        self.usable = UsableCapacity()
        self.read_s = float("-inf")
        self.polled_s = float("-inf")

    def usages(self) -> dict[str, Usage]:
        return self.figures.usages(self.admission.waiting_tokens(), now_s())


class StreamAdmission:
    """Admits the streams of one host."""

    def __init__(self, state: GatewayState, budgets: RetryBudgets, loads: EngineLoads):
        self._state = state
        self._budgets = budgets
        self._loads = loads
        self._services: dict[ServiceName, _Service] = {}
        self._table: RouteTable | None = None
        self._ranked: frozenset[ServiceName] = frozenset()
        loads.sources.append(self._usages)

    def applies(self, service: ServiceName) -> bool:
        """Return whether the settings ask for admission, and a service has several priorities."""
        if not self._state.cfg.priority_admission:
            return False
        table = self._state.table
        if table is not self._table:
            self._table = table
            self._ranked = find_ranked_services(table.config) if table else frozenset()
        return service in self._ranked

    @asynccontextmanager
    async def admit(
        self, request: GatewayRequest, model: ModelSpec, size: RequestSize
    ) -> AsyncIterator["AdmittedStream"]:
        """Wait until a request may be sent. It holds its tokens until the context is left.

        Raises `RequestError` if it can't be served in time.
        """
        service = self._services.get(request.service)
        if service is None:
            service = self._services[request.service] = _Service(request.service, self._state)
        asked = self._make_asked(request, model, size, service)
        service.figures.record_arrival(asked, now_s())
        self._update(request.service, service, model)
        decision = service.admission.request(asked, now_s())
        if not isinstance(decision, Admit):
            self._check_may_wait(request, service, asked, isinstance(decision, Refuse))
            await self._wait(request, model, service, asked)
        self._state.metrics.count_admission(request.service, request.priority, "admit")
        service.figures.record_start(asked, now_s())
        try:
            yield AdmittedStream(asked, service.figures, service.without_room)
        finally:
            service.figures.record_end(asked, now_s())

    def _make_asked(
        self, request: GatewayRequest, model: ModelSpec, size: RequestSize, service: _Service
    ) -> AdmissionRequest:
        """Return what a request asks for. Raises `RequestError` if it returns too early.

        Such a request isn't counted, so that a retry at once costs others nothing.
        """
        asked = make_admission_request(request, model, size)
        if not service.returns:
            return asked
        part = make_fingerprint(request)
        early_s = service.returns.early_s(part, now_s())
        if early_s > 0.0:
            self._update(request.service, service, model)
            if service.admission.is_scarce_for(asked):
                self._refuse(request, service, asked, "early", early_s)
        has_returned = service.returns.take_returned(part, now_s())
        return msgspec.structs.replace(asked, has_returned=has_returned)

    def _check_may_wait(
        self, request: GatewayRequest, service: _Service, asked: AdmissionRequest, refused: bool
    ) -> None:
        if refused or service.waiting >= MAX_WAITING:
            service.admission.remove(asked)
            self._refuse(request, service, asked, "refuse")

    async def _wait(
        self, request: GatewayRequest, model: ModelSpec, service: _Service, asked: AdmissionRequest
    ) -> None:
        """Wait for the turn of a request, or refuse it once it can't meet its objective."""
        service.waiting += 1
        self._state.metrics.count_admission(request.service, request.priority, "wait")
        try:
            while asked not in service.admitted:
                if now_s() >= asked.latest_s:
                    self._refuse(request, service, asked, "late")
                await asyncio.sleep(min(POLL_S, max(0.0, asked.latest_s - now_s())))
                self._poll(request.service, service, model)
        finally:
            service.waiting -= 1
            service.admitted.discard(asked)
            service.admission.remove(asked)

    def _poll(self, name: ServiceName, service: _Service, model: ModelSpec) -> None:
        """Look for requests whose turn has come, once an interval for all that wait."""
        if now_s() - service.polled_s < POLL_S:
            return
        service.polled_s = now_s()
        self._update(name, service, model)
        service.admitted.update(service.admission.take_admitted(now_s()))

    def _refuse(
        self,
        request: GatewayRequest,
        service: _Service,
        asked: AdmissionRequest,
        decision: str,
        early_s: float = 0.0,
    ) -> None:
        """Log what the decision was based on. Raises `RequestError`.

        A request that returned `early_s` too early is told to wait for the rest of its time.
        """
        metrics = self._state.metrics
        metrics.count_admission(request.service, request.priority, decision)
        metrics.count_request(request.service, Ran.NOT_RUN)
        allocation = service.admission.allocation
        has_reports = service.others is not None
        extra = {
            "request": request.attempt_id,
            "service": request.service,
            "priority": request.priority,
            "account": asked.account,
            "tokens": asked.tokens,
            "decision": decision,
            "has_returned": asked.has_returned,
            "share": allocation and allocation.fraction(asked.priority, asked.account),
            "free": allocation and allocation.free,
            "shares": allocation and dict(allocation.means),
            "ahead": allocation and allocation.ahead.get(asked.priority),
            "reports": "peers" if has_reports else "extrapolated",
            "reports_age_s": self._loads.reports_age_s() if has_reports else None,
        }
        log.warning("stream not admitted", extra=extra)
        detail = "the capacity is needed for requests that go before this one"
        retry_after_s = early_s or service.admission.retry_after_s(request.priority)
        service.returns.record_refusal(make_fingerprint(request), now_s() + retry_after_s)
        raise not_run_error(ProblemType.OVERLOADED, detail, retry_after_s)

    # Load of all hosts.

    def _usages(self) -> dict[str, Usage]:
        return add_usages(service.usages() for service in self._services.values())

    def _update(self, name: ServiceName, service: _Service, model: ModelSpec) -> None:
        """Let the next decision count this host's own figures as they are now."""
        now = now_s()
        if now - service.read_s >= READ_INTERVAL_S:
            service.read_s = now
            self._read_others(name, service, model)
        hosts = float(max(1, self._budgets.count_hosts()))
        total = add_usages([service.usages(), service.others or {}])
        has_reports = service.others is not None
        age_s = self._loads.reports_age_s() if has_reports else 0.0
        factor = 1.0 if has_reports else hosts
        capacity = service.usable.fraction * service.capacity
        load = service.figures.read_load(total, capacity, hosts, age_s, factor)
        if service.read_s == now and service.capacity > 0.0:
            rejected_share = service.figures.rejected_share(total)
            service.usable.update(load.held / service.capacity, rejected_share, now)
        service.admission.update(load, now)

    def _read_others(self, name: ServiceName, service: _Service, model: ModelSpec) -> None:
        """Read the capacity of the engines and the reports of other hosts."""
        untrusted = self._state.suspects.suspected()
        engines = [e for e in self._state.active_upstreams(name) if e.id not in untrusted]
        service.capacity = find_capacity(model, engines)
        others = self._loads.others()
        service.others = None if others is None else service.figures.select(others)


class AdmittedStream:
    """An admitted request, whose stream may wait for room on engines until `latest_s`."""

    def __init__(
        self,
        asked: AdmissionRequest,
        figures: AdmissionFigures,
        without_room: list[AdmissionRequest],
    ):
        self.latest_s = asked.latest_s
        self._asked = asked
        self._figures = figures
        self._without_room = without_room

    def record_rejection(self) -> None:
        """Record that engines had no room for the stream."""
        self._figures.record_rejection(self._asked, now_s())

    @contextmanager
    def waiting_for_room(self) -> Iterator[Callable[[], bool]]:
        """Keep the request among those that no engine has room for.

        The context value returns whether it is this request's turn: more urgent ones go first, then
        those with less time left.
        """
        self._without_room.append(self._asked)
        try:
            yield self._is_next
        finally:
            self._without_room.remove(self._asked)

    def _is_next(self) -> bool:
        return min(self._without_room, key=lambda r: (r.priority, r.latest_s)) is self._asked


def make_admission_request(
    request: GatewayRequest, model: ModelSpec, size: RequestSize
) -> AdmissionRequest:
    """Return what a request asks for; it meets its objective if it is sent by `latest_s`."""
    slowest = max(model.kinds, key=lambda kind: kind.read_factor)
    first_s = prefill_ms(model, slowest, model.layers, size.prompt) / MS_PER_S
    objective_s = min(request.received_s + request.route.objective_s, request.end_s)
    account = request.account.account if request.account is not None else NO_ACCOUNT
    # The KV cache grows with the answer; half of it is the mean over a stream's length.
    tokens = size.prompt + size.answer / 2
    latest_s = objective_s - first_s - FIRST_EVENT_MARGIN_S
    return AdmissionRequest(tokens, request.priority, account, latest_s)


def make_fingerprint(request: GatewayRequest) -> PromptPart:
    """Return what all tries of a request share."""
    account = request.account.account if request.account is not None else None
    return make_request_part(request.req.method, request.req.target, account, request.req.body)


def find_ranked_services(config: RoutingConfig) -> frozenset[ServiceName]:
    """Return the services with a model whose requests have more than one priority."""
    models = {s.name for s in config.services if s.model is not None}
    found: defaultdict[ServiceName, set[int]] = defaultdict(set)
    overrides = {a.priority for a in config.accounts}
    for route in config.routes:
        priorities = {None} if route.public or not config.accounts else overrides
        for share in route.shares:
            found[share.service].update(route.priority if p is None else p for p in priorities)
    return frozenset(s for s, priorities in found.items() if s in models and len(priorities) > 1)


def find_capacity(model: ModelSpec, engines: Sequence[UpstreamEntry]) -> float:
    """Return the tokens that a service's engines have room for, at the layer with the least.

    An engine has a place for each of its streams too, which limits short ones.
    """
    kinds = {kind.name: kind for kind in model.kinds}
    by_layer = [0.0] * model.layers
    for engine in engines:
        kind = kinds.get(engine.kind)
        if kind is None or engine.layers is None:
            continue
        tokens = token_capacity(model, kind, len(engine.layers))
        tokens = max(0.0, min(tokens, model.slots * stream_tokens(model)))
        for layer in range(engine.layers.first, min(engine.layers.last, model.layers)):
            by_layer[layer] += tokens
    return min(by_layer, default=0.0)
