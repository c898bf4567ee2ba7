"""A gateway that is partitioned from its upstreams for a while, in virtual time."""

import asyncio
from contextlib import asynccontextmanager

from gateway_site import (
    END,
    STREAM_HEAD,
    FakeEngines,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_response,
)
from stream_site import MODEL

from minttide.routing.sources import ProcessEndedError, SourceError
from minttided.http.client_connection import ClientConnection, NotSentError, RefusedError
from minttided.http.messages import split_address

PLAIN = ("p1", "p2", "p3")
LAYOUTS = {
    "one engine": {"a1": (0, 4)},
    "two ranges": {"a1": (0, 2), "a2": (0, 2), "a3": (0, 2), "b1": (2, 4), "b2": (2, 4)},
    "three ranges": {
        n + i: r for n, r in (("a", (0, 1)), ("b", (1, 3)), ("c", (3, 4))) for i in "12"
    },
}
"""The engines with their first and last layers."""

ERRORS = {"refuse": ConnectionRefusedError, "reset": ConnectionResetError}
STREAM = [STREAM_HEAD, events(1, 2, 3), END]
REQUEST_INTERVAL_S = 0.05
WARM_UP_S = 1.0


class ConnectingEngines(FakeEngines):
    """Engines that are reached over connections in memory.

    `connects` holds what was probed by a connection, `most_open` the most of these at once.
    """

    def __init__(self):
        super().__init__()
        self.connects = []
        self.open = self.most_open = 0

    async def check_reachable(self, entry, timeout_s):
        self.connects.append(entry.id)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await self._connect(entry, timeout_s)
        finally:
            self.open -= 1

    async def report(self, entry, timeout_s):
        await self._connect(entry, timeout_s)
        return await super().report(entry, timeout_s)

    async def _connect(self, entry, timeout_s):
        limit_s = asyncio.get_running_loop().time() + timeout_s
        try:
            conn = await ClientConnection.open(entry.address, limit_s)
        except RefusedError as exc:
            raise ProcessEndedError(str(exc)) from exc
        except NotSentError as exc:
            raise SourceError(str(exc)) from exc
        conn.abort()


class AnsweringUpstream(ScriptedUpstream):
    """Answers each request, an engine with a whole stream."""

    def __init__(self, name, answer):
        super().__init__(name)
        self._answer = answer

    def next_script(self, head):
        return self.scripts.pop(0) if self.scripts else self._answer


class ReachSite(GatewaySite):
    """A gateway with a plain service and a model, whose callers send requests at a steady rate.

    `answers` holds (route, time of the answer in loop seconds, status). `start_monitor` is called
    with the state, and returns what runs beside the callers.
    """

    def __init__(self, layout="two ranges", plain=PLAIN, start_monitor=None):
        engines = [
            (AnsweringUpstream(name, STREAM), first, last, "k")
            for name, (first, last) in LAYOUTS[layout].items()
        ]
        plain = [AnsweringUpstream(name, [plain_response()]) for name in plain]
        super().__init__(*plain, engines=engines, model=MODEL)
        self.engines = ConnectingEngines()
        self.answers = []
        self.monitor = None
        self._start_monitor = start_monitor

    @asynccontextmanager
    async def running(self, routes=("get", "draft")):
        """Run the gateway, its monitor and the callers of `routes`, which start with a warm-up."""
        async with self, asyncio.TaskGroup() as group:
            tasks = [group.create_task(self._send_steadily(route)) for route in routes]
            if self._start_monitor is not None:
                self.monitor = self._start_monitor(self.state)
                tasks.append(group.create_task(self.monitor.run(lambda: None)))
            await asyncio.sleep(WARM_UP_S)
            yield self
            for task in tasks:
                task.cancel()

    async def _send_steadily(self, route):
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send_once(route))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_once(self, route):
        response = await self.send_request(route, "GET" if route == "get" else "POST")
        self.answers.append((route, asyncio.get_running_loop().time(), response.status))

    def find_ports(self, names):
        """Return the ports of upstreams."""
        return [split_address(self.state.find_upstream(name).address)[1] for name in names]

    def names_of(self, service):
        """Return the upstreams of a service."""
        return {u.id for u in self.state.upstreams.values() if u.service == service}

    def cut(self, names, fault):
        """Cut the gateway off from upstreams: connects "hang", or fail by "refuse" or "reset"."""
        loop = asyncio.get_running_loop()
        for port in self.find_ports(names):
            if fault == "hang":
                loop.hold(port)
            else:
                loop.block_connects(port, lambda: ERRORS[fault]("blocked"))

    def heal(self, names):
        """End `cut`."""
        loop = asyncio.get_running_loop()
        for port in self.find_ports(names):
            loop.release(port)
            loop.unblock_connects(port)

    def hold_up(self, seconds):
        """Hold up the whole process: nothing runs, and timers are late."""
        asyncio.get_running_loop()._virtual_selector.now_s += seconds
