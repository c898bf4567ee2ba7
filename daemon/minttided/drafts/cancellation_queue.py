"""Delivery of cancellations to one engine, in batches and with retries."""

import asyncio
import logging

from minttide.ids import RequestId, UpstreamId
from minttide.interfaces import EngineClient, EngineError

log = logging.getLogger(__name__)

MAX_PENDING = 4_096
BATCH_DELAY_S = 0.01
"""How long a cancellation waits so that others can be sent with it."""

RETRY_DELAY_S = 0.5
EXPIRY_S = 60.0
"""How long a cancellation is retried while the engine can't be reached."""


class CancellationQueue:
    """The cancelled requests whose state one engine has yet to drop."""

    def __init__(self, engine: UpstreamId, client: EngineClient):
        self._engine = engine
        self._client = client
        self._expires_s: dict[RequestId, float] = {}
        self._sender: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Return the number of cancellations that the engine has not acknowledged."""
        return len(self._expires_s)

    def add(self, request: RequestId) -> None:
        """Queue a cancellation, so that the engine drops all state of a request."""
        loop = asyncio.get_running_loop()
        if len(self._expires_s) >= MAX_PENDING:
            oldest = next(iter(self._expires_s))
            del self._expires_s[oldest]
            extra = {"engine": self._engine, "request": oldest}
            log.warning("cancellation dropped, too many pending", extra=extra)
        self._expires_s[request] = loop.time() + EXPIRY_S
        if self._sender is None:
            self._sender = loop.create_task(self._send())

    def discard(self, request: RequestId) -> None:
        """Withdraw a pending cancellation because the engine runs the request again."""
        self._expires_s.pop(request, None)

    async def _send(self) -> None:
        delay_s = BATCH_DELAY_S
        while self._expires_s:
            await asyncio.sleep(delay_s)
            delay_s = BATCH_DELAY_S if await self._send_pending() else RETRY_DELAY_S
        self._sender = None

    async def _send_pending(self) -> bool:
        """Send all pending cancellations; return whether the engine accepted them."""
        sent = dict(self._expires_s)
        if not sent:
            return True
        try:
            await self._client.cancel(list(sent))
        except EngineError as exc:
            self._drop_expired(str(exc))
            return False
        except Exception:
            log.exception("cancellation failed", extra={"engine": self._engine})
            self._drop_expired("internal error in the router")
            return False
        for request, expires_s in sent.items():
            if self._expires_s.get(request) == expires_s:
                del self._expires_s[request]
        return True

    def _drop_expired(self, reason: str) -> None:
        now_s = asyncio.get_running_loop().time()
        expired = [r for r, expires_s in self._expires_s.items() if expires_s <= now_s]
        for request in expired:
            del self._expires_s[request]
        if expired:
            extra = {"engine": self._engine, "requests": len(expired), "reason": reason}
            log.warning("cancellations expired", extra=extra)

    async def close(self) -> None:
        """Stop sending; pending cancellations are lost."""
        if self._sender is not None:
            self._sender.cancel()
            await asyncio.gather(self._sender, return_exceptions=True)
