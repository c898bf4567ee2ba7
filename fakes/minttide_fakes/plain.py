"""An in-memory upstream of a plain service that counts its runs by idempotency key."""

import asyncio
from collections import Counter, deque
from enum import Enum

from minttide.interfaces import (
    CallNotSentError,
    CallOutcomeUnknownError,
    UpstreamCall,
    UpstreamReply,
)

KEY_HEADER = "idempotency-key"


class CallFault(Enum):
    """A fault of one call."""

    REFUSED = "refused"  # the connection is refused; nothing is sent
    BREAKS_BEFORE = "breaks-before"  # the connection fails before the call runs
    BREAKS_AFTER = "breaks-after"  # the call runs, and the response is lost
    FAILS = "fails"  # responds with 503 without running the call


class FakeUpstream:
    """One upstream of a plain service. `ran` counts runs by key; calls without one count as "".

    `ledger` may be shared by the upstreams of one service, so that with `rejects_duplicates` a key
    that has run on any of them is rejected. `service_s` is the duration of a call in seconds.
    """

    def __init__(
        self,
        name: str = "upstream",
        service_s: float = 0.002,
        rejects_duplicates: bool = False,
        ledger: "Counter[str] | None" = None,
    ) -> None:
        self.name = name
        self.service_s = service_s
        self.rejects_duplicates = rejects_duplicates
        self.ran: Counter[str] = Counter() if ledger is None else ledger
        self.faults: deque[CallFault] = deque()
        self.calls: list[UpstreamCall] = []
        self.down = False
        self.leaving = False
        self.open = 0

    def inject_fault(self, fault: CallFault, times: int = 1) -> None:
        """Schedule `fault` for the next `times` calls."""
        self.faults.extend([fault] * times)

    async def call(self, call: UpstreamCall, timeout_s: float) -> UpstreamReply:
        """Run one call as `UpstreamClient.call`."""
        if self.down:
            raise CallNotSentError(f"{self.name} is down")
        self.open += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self.handle(call)
        except TimeoutError as exc:
            raise CallOutcomeUnknownError("the call timed out") from exc
        finally:
            self.open -= 1

    async def handle(self, call: UpstreamCall) -> UpstreamReply:
        """Run one received call, or its scheduled fault."""
        fault = self.faults.popleft() if self.faults else None
        if fault is CallFault.REFUSED:
            raise CallNotSentError(f"{self.name} refused the connection")
        if fault is CallFault.BREAKS_BEFORE:
            raise CallOutcomeUnknownError(f"{self.name} closed the connection")
        if fault is CallFault.FAILS:
            return _reply(503, b'{"error":"not available"}')
        await asyncio.sleep(self.service_s)
        reply = self._run(call)
        if fault is CallFault.BREAKS_AFTER:
            raise CallOutcomeUnknownError(f"{self.name} closed the connection")
        return reply

    def _run(self, call: UpstreamCall) -> UpstreamReply:
        self.calls.append(call)
        key = dict(call.headers).get(KEY_HEADER, "")
        if key and self.rejects_duplicates and self.ran[key]:
            return _reply(409, b'{"error":"this key has run before"}')
        self.ran[key] += 1
        return _reply(200, b'{"ok":true,"by":"%s"}' % self.name.encode())


def _reply(status: int, body: bytes) -> UpstreamReply:
    return UpstreamReply(status, "application/json", body)
