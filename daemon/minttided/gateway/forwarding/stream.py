"""A stream that another host runs, and its resumption on a third one if that host fails."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Protocol

from minttide.ids import HostId
from minttide.interfaces import MemberView
from minttide.policy.upstream_allowance import UpstreamAllowance
from minttided.gateway.callers.exchange import media_type
from minttided.gateway.callers.request import GatewayRequest, parse_last_event_id
from minttided.gateway.streams.events import DeliveredEvents, EventSplitter, EventTooLongError
from minttided.http.client import ExchangeError
from minttided.http.turns import Turn
from minttided.peers.interfaces import ForwardedResponse, PeerError


class OpenForward:
    """A request that a helper runs, until `end_s` in loop seconds.

    `on_close` is called once when it is closed.
    """

    def __init__(
        self,
        helper: MemberView,
        response: ForwardedResponse,
        end_s: float,
        on_close: Callable[[], None],
    ):
        self.helper = helper
        self.response = response
        self._end_s = end_s
        self._on_close: Callable[[], None] | None = on_close

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or `None` at its end. Raises `PeerError`."""
        try:
            async with asyncio.timeout_at(self._end_s):
                return await self.response.read_chunk()
        except TimeoutError as exc:
            raise PeerError("the response was not complete in time") from exc

    async def read_body(self) -> bytes:
        """Return the complete body. Raises `PeerError`."""
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            body += chunk
        return bytes(body)

    async def aclose(self) -> None:
        """End the work of the helper unless it is complete."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()
        await self.response.aclose()


class Resumer(Protocol):
    """Passes a stream that broke off on to another helper."""

    async def resume(
        self,
        request: GatewayRequest,
        last_event_id: int | None,
        tried: list[HostId],
        allowance: UpstreamAllowance,
    ) -> OpenForward:
        """Return the stream from after `last_event_id` on, all of it if `None`.

        Raises `PeerError`.

        Appends each helper that is asked to `tried`, and takes its part of `allowance`.
        """


class ForwardedStream:
    """The events of one stream as chunks of a response body. It can be iterated once."""

    def __init__(
        self,
        resumer: Resumer,
        request: GatewayRequest,
        opened: OpenForward,
        allowance: UpstreamAllowance,
    ):
        self._allowance = allowance
        self._resumer = resumer
        self._request = request
        self._opened = opened
        self._tried = [opened.helper.host]
        self._delivered = DeliveredEvents(parse_last_event_id(request.req))
        self._content_type = media_type(opened.response.head.content_type)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._iterate()

    async def _iterate(self) -> AsyncGenerator[bytes, None]:
        """Yield the events. Raises `ExchangeError` if the stream breaks off and can't go on."""
        splitter = EventSplitter()
        turn = Turn(self._opened.helper.host)
        while True:
            if turn.is_used_up:
                await turn.give_way()
            event = splitter.next_event()
            turn.record(len(event.raw) if event is not None else 0)
            try:
                if event is None:
                    chunk = await self._opened.read_chunk()
                    if chunk is None:
                        return
                    splitter.feed(chunk)
                elif not self._delivered.allows(event):
                    raise PeerError("an event without an id in the rest of a stream")
                elif self._delivered.is_new(event):
                    self._delivered.record(event)
                    yield event.raw
            except (PeerError, EventTooLongError) as exc:
                await self._resume(str(exc))
                splitter = EventSplitter()

    async def _resume(self, reason: str) -> None:
        """Go on at another helper, from the beginning if the caller has no event yet.

        Raises `ExchangeError` if that isn't possible.
        """
        await self._opened.aclose()
        if not self._request.route.resumable or not self._delivered.allows_continuation:
            raise ExchangeError(reason)
        last = self._delivered.last_id
        try:
            self._opened = await self._resumer.resume(
                self._request, last, self._tried, self._allowance
            )
        except PeerError as exc:
            raise ExchangeError(f"not resumed: {reason}; {exc}") from exc
        if media_type(self._opened.response.head.content_type) != self._content_type:
            raise ExchangeError(f"not resumed: {reason}; the rest is of another type")
        self._delivered.record_continuation()

    async def aclose(self) -> None:
        """End the work of the helper, whether the stream has been sent completely or not."""
        await self._opened.aclose()
