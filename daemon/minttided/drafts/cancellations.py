"""Cancellations on their way to one engine: sent together, and repeated until they arrive."""

import asyncio
import logging

from minttide.ids import RequestId, UpstreamId
from minttide.interfaces import EngineClient, EngineError

log = logging.getLogger(__name__)

MAX_WAITING = 4_096
DELAY_S = 0.01
"""Time that a cancellation waits for others to go with it."""

RETRY_S = 0.5
KEEP_S = 60.0
"""How long a cancellation is tried at an engine that can't be reached."""


class Cancellations:
    """The requests whose remains one engine has yet to drop."""

    def __init__(self, engine: UpstreamId, client: EngineClient):
        self._engine = engine
        self._client = client
        self._keep_until: dict[RequestId, float] = {}
        self._sender: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Return the number of requests whose cancellation has not arrived."""
        return len(self._keep_until)

    def add(self, request: RequestId) -> None:
        """Have the engine drop all that it keeps for a request."""
        loop = asyncio.get_running_loop()
        if len(self._keep_until) >= MAX_WAITING:
            dropped = next(iter(self._keep_until))
            del self._keep_until[dropped]
            extra = {"engine": self._engine, "request": dropped}
            log.warning("cancellation given up", extra=extra)
        self._keep_until[request] = loop.time() + KEEP_S
        if self._sender is None:
            self._sender = loop.create_task(self._send())

    def forget(self, request: RequestId) -> None:
        """Call a cancellation off, since the engine runs the request again."""
        self._keep_until.pop(request, None)

    async def _send(self) -> None:
        delay_s = DELAY_S
        while self._keep_until:
            await asyncio.sleep(delay_s)
            delay_s = DELAY_S if await self._try_once() else RETRY_S
        self._sender = None

    async def _try_once(self) -> bool:
        """Send what waits; return whether the engine took it."""
        sent = dict(self._keep_until)
        if not sent:
            return True
        try:
            await self._client.cancel(list(sent))
        except EngineError as exc:
            self._drop_old(str(exc))
            return False
        except Exception:
            log.exception("cancellation failed", extra={"engine": self._engine})
            self._drop_old("a defect in the router")
            return False
        for request, keep_until in sent.items():
            if self._keep_until.get(request) == keep_until:
                del self._keep_until[request]
        return True

    def _drop_old(self, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        old = [r for r, keep_until in self._keep_until.items() if keep_until <= now]
        for request in old:
            del self._keep_until[request]
        if old:
            extra = {"engine": self._engine, "requests": len(old), "reason": reason}
            log.warning("cancellations given up", extra=extra)

    async def close(self) -> None:
        """Send no more."""
        if self._sender is not None:
            self._sender.cancel()
            await asyncio.gather(self._sender, return_exceptions=True)
