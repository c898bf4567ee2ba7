"""Chooses among the upstreams of a plain service whose few places many hosts share.

Load: bursts at a service of some 18 places behind 83 to 1,600 hosts. Each host has at most one call
of the service open, so its own calls don't show which upstream is full or slow. The calls of all
hosts in the last seconds do: their answers, how long these took, and their rejections. Hosts
exchange these sums as usages, see `SharedPlaces.local_usages`.

Nothing changes before an upstream of the service has rejected a call of any host.
"""

import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Collection, Mapping, Sequence

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.usage import Usage, Usages
from minttide.routing.routes import UpstreamEntry

CONTENTION_HOLD_S = 60.0
"""How long after a rejection the upstreams of its service are chosen by weight.

Longer than the waves of 13 s in the load of zones: with equal weights, hosts return to the
upstream of their own zone, which is full again at the next wave.
"""

WINDOW_S = 2.0
"""Calls that ended in this time count. With 0.5 s, a silent upstream cost 1.4 times the calls."""

MAX_WINDOW_CALLS = 4096
"""Calls in the window of one upstream on one host; the oldest are dropped beyond that."""

RETENTION_S = 300.0
"""How long an upstream without calls is remembered."""

MIN_ANSWERS = 3
"""Answers that an upstream needs in the window to be the quickest one."""

TIME_TOLERANCE = 1.5
"""Times to the answer up to this multiple of the quickest upstream's count as equal."""

MIN_WEIGHT = 0.01
"""Weight of an upstream that rejects all calls, so that its recovery is noticed."""

RUNNING_EXPONENT = 4
"""Weight of this host's open calls, which alone show a silent upstream before its calls time out.

With 1, a silent upstream rejected 1.3 times as many calls of hosts without reports.
"""

FALL_TIME_S = 0.5
"""Time constant with which weights fall; hosts act on the same reports, which are as old."""

RISE_PER_S = 1.75
"""Factor by which weights rise in a second, so that a recovered upstream fills gradually."""

MS_PER_S = 1000.0

MAX_REPORTED_SERVICES = 16
"""Services that a host reports, those with the latest rejections; bounds the bytes of a report."""

WAIT_BELOW = 0.8
"""Calls wait while the largest weight of the service's upstreams is below this."""

MAX_WAIT_S = 0.3
"""Longest wait of a call. It takes rejections in a burst to 0.87 of those without waits, 0.15 s to
0.93.
"""

UPDATE_S = 0.25
"""Shortest time between two updates of the weights of a service."""


class _Call(msgspec.Struct, frozen=True):
    """A call that ended at `end_s`; `duration_ms` is None if the upstream rejected it."""

    end_s: float
    duration_ms: int | None


class CallSums(msgspec.Struct, frozen=True):
    """The calls to one upstream in the window: answers, their total time in ms, rejections.

    A call without an answer counts as one that was answered when it ended.
    """

    answers: int = 0
    duration_ms: int = 0
    rejections: int = 0

    def __add__(self, other: "CallSums") -> "CallSums":
        return CallSums(
            self.answers + other.answers,
            self.duration_ms + other.duration_ms,
            self.rejections + other.rejections,
        )

    def to_usages(self, upstream: UpstreamId) -> dict[str, Usage]:
        """Return these sums under the names that other hosts read, without zeros."""
        usages = {
            answers_name(upstream): Usage(self.answers, self.duration_ms),
            rejections_name(upstream): Usage(self.rejections),
        }
        return {name: usage for name, usage in usages.items() if usage.streams}

    @property
    def accepted_fraction(self) -> float:
        """Return the fraction of calls that the upstream took, 1 if there was none."""
        calls = self.answers + self.rejections
        return self.answers / calls if calls else 1.0

    @property
    def mean_ms(self) -> float:
        """Return the mean time to the answer, infinite without answers."""
        return self.duration_ms / self.answers if self.answers else math.inf


class _Upstream(msgspec.Struct):
    """One upstream: its calls in the window, its weight and when it was last used."""

    calls: deque[_Call]
    used_s: float
    weight: float = 1.0

    def sums(self, now_s: float) -> CallSums:
        """Return the sums of the calls in the window that ends now."""
        while self.calls and self.calls[0].end_s <= now_s - WINDOW_S:
            self.calls.popleft()
        durations = [c.duration_ms for c in self.calls if c.duration_ms is not None]
        return CallSums(len(durations), sum(durations), len(self.calls) - len(durations))

    def adjust(self, rated: float | None, elapsed_s: float) -> None:
        """Move the weight towards the one that the calls give, or up without any calls."""
        target = 1.0 if rated is None else rated
        if target < self.weight:
            self.weight += (target - self.weight) * (1.0 - math.exp(-elapsed_s / FALL_TIME_S))
        else:
            self.weight = min(target, self.weight * RISE_PER_S**elapsed_s)


class _Service(msgspec.Struct):
    """The upstreams of one service, and when a call of this or of any host was last rejected."""

    upstreams: dict[UpstreamId, _Upstream] = {}
    contended: bool = False
    own_rejected_s: float = -math.inf
    rejected_s: float = -math.inf
    updated_s: float = -math.inf

    def adjust(self, rated: Mapping[UpstreamId, float], elapsed_s: float) -> None:
        """Move the weight of each upstream, see `_Upstream.adjust`."""
        for upstream, found in self.upstreams.items():
            found.adjust(rated.get(upstream), elapsed_s)

    def record_rejections(
        self,
        own: Mapping[UpstreamId, CallSums],
        others: Mapping[UpstreamId, CallSums] | None,
        now_s: float,
    ) -> bool:
        """Record rejections in the window; return whether there is contention for places.

        Without reports only this host's own rejections count: hosts that all draw from equal
        weights lose more calls to a silent upstream than those that prefer their own zone.
        """
        if _has_rejections(own):
            self.own_rejected_s = self.rejected_s = now_s
        if others is None:
            return now_s < self.own_rejected_s + CONTENTION_HOLD_S
        if _has_rejections(others):
            self.rejected_s = now_s
        return now_s < self.rejected_s + CONTENTION_HOLD_S


def answers_name(upstream: UpstreamId) -> str:
    """Return the usage name of an upstream's answers: their number and total milliseconds."""
    return f"plain answers {upstream}"


def rejections_name(upstream: UpstreamId) -> str:
    """Return the usage name of an upstream's rejections, which has only a number."""
    return f"plain rejections {upstream}"


def read_sums(usages: Usages, upstream: UpstreamId) -> CallSums:
    """Return the calls to an upstream that `usages` names."""
    answers = usages.get(answers_name(upstream), Usage())
    rejections = usages.get(rejections_name(upstream), Usage())
    return CallSums(answers.streams, answers.tokens, rejections.streams)


def rate_upstreams(sums: Mapping[UpstreamId, CallSums]) -> dict[UpstreamId, float]:
    """Return the weight, `MIN_WEIGHT` to 1, of each upstream of a service that had calls.

    The accepted fraction counts squared: a full upstream still answers what it has accepted.
    """
    timed = [s.mean_ms for s in sums.values() if s.answers >= MIN_ANSWERS]
    tolerated_ms = TIME_TOLERANCE * min(timed, default=math.inf)
    return {
        u: max(MIN_WEIGHT, s.accepted_fraction**2 * _rate_time(s, tolerated_ms))
        for u, s in sums.items()
        if s.answers + s.rejections
    }


def _rate_time(sums: CallSums, tolerated_ms: float) -> float:
    if not sums.answers or sums.mean_ms <= tolerated_ms:
        return 1.0
    return tolerated_ms / sums.mean_ms


ReadOthers = Callable[[Collection[str]], Usages | None]
"""Returns the named usages of all other hosts, or None without recent reports."""

OnChange = Callable[[ServiceName, Mapping[UpstreamId, CallSums]], None]
"""Called when contention for a service begins or ends, with the calls of all hosts."""


class SharedPlaces:
    """The weights of the upstreams of plain services on one host. Times are in loop seconds.

    Without recent reports of other hosts, this host's own calls alone count. A restarted host
    begins with equal weights.
    """

    def __init__(
        self,
        rng: random.Random,
        read_others: ReadOthers = lambda names: None,
        on_change: OnChange = lambda service, sums: None,
    ):
        self.read_others = read_others
        self._on_change = on_change
        self._rng = rng
        self._services: defaultdict[ServiceName, _Service] = defaultdict(_Service)

    def record(self, entry: UpstreamEntry, now_s: float, duration_s: float, rejected: bool) -> None:
        """Record that a call to an upstream ended after `duration_s`."""
        call = _Call(now_s, None if rejected else round(MS_PER_S * duration_s))
        self._find(entry, now_s).calls.append(call)

    def narrow(
        self, candidates: Sequence[UpstreamEntry], running: Counter[UpstreamId], now_s: float
    ) -> Sequence[UpstreamEntry]:
        """Return the candidates to choose from: all, or one drawn by weight under contention.

        `candidates` are upstreams of one service, `running` this host's open calls.
        """
        if len(candidates) < 2:
            return candidates
        found = [self._find(entry, now_s) for entry in candidates]
        service = candidates[0].service
        self._update(service, now_s)
        if not self.is_contended(service):
            return candidates
        weights = [
            f.weight / (1 + running[e.id]) ** RUNNING_EXPONENT
            for f, e in zip(found, candidates, strict=True)
        ]
        return self._rng.choices(candidates, weights)

    def is_contended(self, service: ServiceName) -> bool:
        """Return whether the upstreams of a service are chosen by weight."""
        return service in self._services and self._services[service].contended

    def draw_wait_s(self, service: ServiceName, limit_s: float, now_s: float) -> float:
        """Return how long a call should wait, up to `limit_s`, while all upstreams are full.

        Calls of a burst that wait for random times don't all reach the full upstreams.
        """
        if service in self._services and now_s - self._services[service].updated_s > WINDOW_S:
            self._update(service, now_s)  # no call and no exchange has done so
        if not self.is_contended(service) or max(self.weights(service).values()) >= WAIT_BELOW:
            return 0.0
        return self._rng.uniform(0.0, min(MAX_WAIT_S, max(0.0, limit_s)))

    def weights(self, service: ServiceName) -> dict[UpstreamId, float]:
        """Return the weights, `MIN_WEIGHT` to 1, of the upstreams of a service."""
        return {u: found.weight for u, found in self._services[service].upstreams.items()}

    def local_usages(self, now_s: float) -> dict[str, Usage]:
        """Return this host's calls in the window to the services under contention."""
        self._forget_unused(now_s)
        for name in self._services:
            self._update(name, now_s)
        contended = [s for s in self._services.values() if s.contended]
        contended.sort(key=lambda s: s.rejected_s, reverse=True)
        usages: dict[str, Usage] = {}
        for service in contended[:MAX_REPORTED_SERVICES]:
            for upstream, found in service.upstreams.items():
                usages.update(found.sums(now_s).to_usages(upstream))
        return usages

    def _find(self, entry: UpstreamEntry, now_s: float) -> _Upstream:
        upstreams = self._services[entry.service].upstreams
        found = upstreams.get(entry.id)
        if found is None:
            found = upstreams[entry.id] = _Upstream(deque(maxlen=MAX_WINDOW_CALLS), now_s)
        found.used_s = now_s
        return found

    def _forget_unused(self, now_s: float) -> None:
        oldest_s = now_s - RETENTION_S
        for name, service in list(self._services.items()):
            service.upstreams = {u: f for u, f in service.upstreams.items() if f.used_s > oldest_s}
            if not service.upstreams:
                del self._services[name]

    def _update(self, name: ServiceName, now_s: float) -> None:
        """Update the weights of a service, and whether there is contention for its places."""
        service = self._services[name]
        elapsed_s = min(now_s - service.updated_s, CONTENTION_HOLD_S)
        if elapsed_s < UPDATE_S:
            return
        service.updated_s = now_s
        own = {u: found.sums(now_s) for u, found in service.upstreams.items()}
        others = self._sums_of_others(own)
        sums = own if others is None else {u: own[u] + others[u] for u in own}
        service.adjust(rate_upstreams(sums), elapsed_s)
        contended = service.record_rejections(own, others, now_s)
        if contended is not service.contended:
            service.contended = contended
            self._on_change(name, sums)

    def _sums_of_others(
        self, upstreams: Collection[UpstreamId]
    ) -> dict[UpstreamId, CallSums] | None:
        names = [n for u in upstreams for n in (answers_name(u), rejections_name(u))]
        usages = self.read_others(names)
        return None if usages is None else {u: read_sums(usages, u) for u in upstreams}


def _has_rejections(sums: Mapping[UpstreamId, CallSums]) -> bool:
    return any(s.rejections for s in sums.values())
