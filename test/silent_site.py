"""A gateway whose engines fall silent for a while, on connections in memory and in virtual time."""

import asyncio
import math
from dataclasses import dataclass

import msgspec
from gateway_site import (
    END,
    NOT_RUN,
    RESET,
    STREAM_HEAD,
    FakeEngines,
    GatewaySite,
    RawResponse,
    ScriptedUpstream,
    events,
    plain_response,
)
from stream_site import FAULT, MODEL

from minttide.policy.shared_retries import RetryLimit
from minttide.routing.sources import OrderOutcome, SourceError
from minttide_fakes.memory_network import run_in_memory
from minttided.http.messages import split_address

PAUSE_S = 0.02
"""Time between two steps of an engine that isn't silent."""

ARRIVAL_S = 0.01
"""Time from the last step to the silence, in which what was sent arrives."""

CLOSE_S = 0.05
"""Time after an answer in which the gateway may still close its connections to engines."""

SETTLE_S = 3.0
"""Time after an answer in which nothing more may be sent to the engines."""

SLOW_S = 1.5
"""Time that a slow engine takes to begin."""

LAYOUTS = {
    "first": {"a": (0, 4), "b": (0, 4)},
    "middle": {"a": (0, 2), "m": (2, 4), "n": (2, 4)},
    "all": {"a": (0, 2), "b": (0, 2), "m": (2, 4), "n": (2, 4)},
}
"""The engines with their first and last layers, by the engines that fall silent."""

SPARES = {"first": "b", "middle": "n", "all": ""}
"""The engine that is left out of the layout where there is no other engine."""

STREAM_STEPS = {
    "before the head": ([], [STREAM_HEAD, events(1), events(2), events(3), END]),
    "before the first event": ([STREAM_HEAD], [events(1), events(2), events(3), END]),
    "between events": ([STREAM_HEAD, events(1)], [events(2), events(3), END]),
    "before the last event": ([STREAM_HEAD, events(1), events(2)], [events(3), END]),
    "before the end": ([STREAM_HEAD, events(1), events(2), events(3)], [END]),
}
"""What an engine sends before and after its silence."""

PLAIN_BODY = b"the whole body"
PLAIN_RESPONSE = plain_response(body=PLAIN_BODY)
PLAIN_STEPS = {
    "before the head": ([], [PLAIN_RESPONSE]),
    "within the body": ([PLAIN_RESPONSE[:-9]], [PLAIN_RESPONSE[-9:]]),
}

WHOLE_STREAM = [STREAM_HEAD, events(1), events(2), events(3), END]
PLAIN_ROUTES = ("get", "post")
MAX_ATTEMPTS = {"draft": 2, "once": 1, "get": 2, "post": 1}
METHODS = {"draft": "POST", "once": "POST", "get": "GET", "post": "POST"}

RETRIES = {"full": RetryLimit(), "empty": RetryLimit(share=0.0, slack=0.0)}


@dataclass(frozen=True)
class Case:
    """One silence, and what the rest of the site does meanwhile.

    With `probes` "time out", connections to the silent engines are held too; with "answer" only
    their streams are silent; with "stall", the first engine also reports that it waits for them.
    `fails` says that the silent engine ends after its silence. `deadline_ms` is what the caller
    names.
    """

    who: str = "first"
    when: str = "between events"
    length_s: float = 1.2
    other: str = "free"
    route: str = "draft"
    budget: str = "full"
    probes: str = "time out"
    fails: bool = False
    deadline_ms: int | None = None

    def __str__(self):
        length = f"{self.length_s} s" if math.isfinite(self.length_s) else "for good"
        parts = (self.route, self.who, self.when, length, f"other {self.other}")
        return ", ".join((*parts, f"budget {self.budget}", f"probes {self.probes}"))

    @property
    def is_plain(self):
        return self.route in PLAIN_ROUTES

    @property
    def whole(self):
        """The steps of a whole answer."""
        return [PLAIN_RESPONSE] if self.is_plain else WHOLE_STREAM

    @property
    def steps(self):
        """The steps before and after the silence."""
        return (PLAIN_STEPS if self.is_plain else STREAM_STEPS)[self.when]


@dataclass(frozen=True)
class Answer:
    """What the caller, the engines and the gateway saw.

    Times are in seconds after the silence began.
    `sends` counts the requests that engines received, `ran` those that they didn't refuse. After
    the end, `open_streams` counts the gateway's load and `open_connections` those to engines.
    `progress` holds the times with the number of events that the caller had received by then.
    """

    response: RawResponse
    ended_s: float
    sends: int
    ran: int
    open_streams: int
    open_connections: int
    progress: tuple[tuple[float, int], ...]

    @property
    def body(self):
        """The body that the caller got, as far as it came."""
        chunked = self.response.headers["transfer-encoding"] == "chunked"
        return self.response.chunks if chunked else self.response.rest

    @property
    def first_further_s(self):
        """When the caller got the first event after the silence began, `inf` if it got none."""
        before = max((count for at_s, count in self.progress if at_s <= 0), default=0)
        return min((at_s for at_s, count in self.progress if count > before), default=math.inf)


class SlowProbes(FakeEngines):
    """Engines of which the dead ones let probes time out."""

    async def check_reachable(self, entry, timeout_s):
        await self._wait(entry, timeout_s)
        await super().check_reachable(entry, timeout_s)

    async def report(self, entry, timeout_s):
        await self._wait(entry, timeout_s)
        return await super().report(entry, timeout_s)

    async def _wait(self, entry, timeout_s):
        if entry.id in self.dead:
            await asyncio.sleep(timeout_s)


class SilentEngines(SlowProbes):
    """Reports and orders of engines of which some are silent."""

    def __init__(self, site):
        super().__init__()
        self._site = site

    async def repath(self, entry, attempt, path, timeout_s):
        await self._wait(entry, timeout_s)
        self._check(entry)
        others = self._site.find_names(path) - {entry.id}
        if others & self._site.silent:
            await asyncio.sleep(timeout_s)
            raise SourceError("no response")
        self.repaths.append((entry.id, attempt, path))
        return self._site.take_order(others)


class SilentUpstream(ScriptedUpstream):
    """An engine that asks the site for its scripts."""

    def __init__(self, name, site):
        super().__init__(name)
        self._site = site

    def next_script(self, head):
        return self._site.next_script(self, head.decode())

    def refuse_connections(self):
        self._server.close()


class SilentSite:
    """A site on which one request is sent, and which falls silent as its case says.

    The engine that gets the first request, or the engine behind it, is the silent one.
    `silent` holds the engines that are silent now, `chosen` those that are once. `change` is called
    with the site before, during or after the silence, as `at` says; `changed` tells that it was.
    """

    def __init__(self, case, change=None, at="during"):
        self.case = case
        names = dict(LAYOUTS[case.who])
        if case.other == "none":
            names.pop(SPARES[case.who], None)
        self.upstreams = {name: SilentUpstream(name, self) for name in names}
        engines = [(self.upstreams[n], first, last, "k") for n, (first, last) in names.items()]
        plain = self.upstreams.values() if case.is_plain else ()
        self.gateway = GatewaySite(*plain, engines=() if case.is_plain else engines, model=MODEL)
        self.gateway.engines = SilentEngines(self)
        self.silent = frozenset()
        self.chosen = frozenset()
        self.sends = self.ran = 0
        self.began_s = math.inf
        self.changed = False
        self._change = change
        self._change_at = at
        self._over = asyncio.Event()
        self._continued = asyncio.Event()  # the first engine goes on, or was moved to another path

    # The engines.

    def find_names(self, path):
        """Return the names of the engines of a path."""
        return {name for name, u in self.upstreams.items() if u.address in path}

    def next_script(self, engine, head):
        """Return the script for a request with this head."""
        path = next((line for line in head.split("\r\n") if line.startswith("x-path: ")), "")
        used = self.find_names(path) | {engine.name}
        self.sends += 1
        if not self.chosen:
            self.chosen = self._choose_silent(engine, used)
            self.ran += 1
            self._apply_at("before")
            if self.case.other == "refuses":
                self._end_processes(set(self.upstreams) - self.chosen)
            before, after = self.case.steps
            end = [self._end_silent_process, RESET] if self.case.fails else after
            return [*_with_pauses(before), self._fall_silent, *_with_pauses(end)]
        if used & self.chosen:
            self.ran += 1
            return [self._over.wait, *_with_pauses(self.case.whole)]
        self.ran += self.case.other != "full"
        fault = FAULT % self.upstreams[max(used)].address.encode()
        full = plain_response(503, headers=NOT_RUN + (fault if len(used) > 1 else b""))
        cut_head = PLAIN_RESPONSE[:-9] if self.case.is_plain else STREAM_HEAD
        return {
            "free": _with_pauses(self.case.whole),
            "full": [full],
            "cuts": [RESET],
            "cuts after its head": [cut_head, RESET],
            "slow": [_begin_slowly, *_with_pauses(self.case.whole)],
        }[self.case.other]

    def take_order(self, others):
        """Return the outcome of an order to the first engine to go on with these engines."""
        fault = self.upstreams[next(iter(others))].address if others else None
        outcome = {
            "free": OrderOutcome(True),
            "full": OrderOutcome(False, reason="409", fault=fault),
        }.get(self.case.other, OrderOutcome(False, reason="502", fault=fault))
        if outcome.accepted:
            self._continued.set()
        return outcome

    def _choose_silent(self, engine, used):
        if self.case.who == "all":
            return frozenset(self.upstreams)
        chosen = {engine.name} if self.case.who == "first" else used - {engine.name}
        if self.case.other == "silent":
            layers = LAYOUTS[self.case.who]
            chosen = {n for n in self.upstreams if any(layers[n] == layers[c] for c in chosen)}
        return frozenset(chosen)

    async def _fall_silent(self):
        await asyncio.sleep(ARRIVAL_S)
        loop = asyncio.get_running_loop()
        self.began_s = loop.time()
        self.silent = self.chosen
        engines = self.gateway.engines
        if self.case.probes == "time out":
            engines.dead |= self.silent
            for port in self._silent_ports():
                loop.hold(port)
        elif self.case.probes == "stall":
            waits = tuple(("1", self.upstreams[name].address) for name in sorted(self.silent))
            engines.stalled["a"] = waits
        if math.isfinite(self.case.length_s):
            loop.call_later(self.case.length_s / 2, self._apply_at, "during")
            loop.call_later(self.case.length_s, self._end_silence)
        await self._continued.wait()

    def _ports(self):
        return [split_address(u.address)[1] for u in self.upstreams.values()]

    def _silent_ports(self):
        return [split_address(self.upstreams[name].address)[1] for name in sorted(self.chosen)]

    def _end_silence(self):
        loop = asyncio.get_running_loop()
        self.silent = frozenset()
        self.gateway.engines.dead.clear()
        self.gateway.engines.stalled.clear()
        for port in self._silent_ports():
            loop.release(port)
        self._over.set()
        self._continued.set()
        loop.call_later(PAUSE_S / 4, self._apply_at, "after")

    async def _end_silent_process(self):
        self._end_processes(self.chosen)

    def _end_processes(self, names):
        for name in sorted(names):
            self.gateway.engines.ended.add(name)
            self.upstreams[name].refuse_connections()

    def _apply_at(self, at):
        if self._change is not None and at == self._change_at:
            self._change(self)
            self.changed = True

    # The request.

    async def _run(self):
        gateway, loop = self.gateway, asyncio.get_running_loop()
        progress = []

        def record_progress(data):
            progress.append((loop.time(), data.count(b"data: t")))

        async with gateway:
            state = gateway.state
            retries = RETRIES[self.case.budget]
            state.cfg = msgspec.structs.replace(state.cfg, retries=retries)
            route, deadline_ms = self.case.route, self.case.deadline_ms
            headers = [("x-deadline", str(deadline_ms))] if deadline_ms is not None else []
            response = await gateway.send_request(
                route, METHODS[route], headers=headers, on_data=record_progress
            )
            ended_s = loop.time()
            open_streams = sum(load.streams for load in gateway.loads.estimate().values())
            await asyncio.sleep(CLOSE_S)
            open_connections = sum(loop.count_connections(port) for port in self._ports())
            await asyncio.sleep(SETTLE_S)
        return Answer(
            response,
            ended_s - self.began_s,
            self.sends,
            self.ran,
            open_streams,
            open_connections,
            tuple((at_s - self.began_s, count) for at_s, count in progress),
        )

    def run(self):
        """Send the request; return its answer."""
        return run_in_memory(self._run(), 60.0)


def _with_pauses(steps):
    """Return the steps of a script with pauses between them."""
    paused = []
    for step in steps:
        paused += [step, _pause]
    return paused[:-1]


async def _begin_slowly():
    await asyncio.sleep(SLOW_S)


async def _pause():
    await asyncio.sleep(PAUSE_S)
