"""HTTP server for a stand-in upstream of a plain service."""

from minttide.ids import Address
from minttide.interfaces import CallNotSentError, CallOutcomeUnknownError, UpstreamCall
from minttide_fakes.plain import FakeUpstream
from minttide_fakes.routes import ANY_PORT, Answer, RoutedServer, aborted_response
from minttided.http.messages import HttpRequest, HttpResponse


class PlainServer(RoutedServer):
    """Serves a `FakeUpstream` on every path."""

    def __init__(self, upstream: FakeUpstream, address: Address = ANY_PORT) -> None:
        self.upstream = upstream
        super().__init__({}, address)

    async def _handle(self, req: HttpRequest) -> Answer:
        path = f"{req.path}?{req.query}" if req.query else req.path
        call = UpstreamCall(req.method, path, req.headers, req.body)
        if self.upstream.down:
            return aborted_response()
        try:
            reply = await self.upstream.handle(call)
        except (CallOutcomeUnknownError, CallNotSentError):
            return aborted_response()
        return HttpResponse(reply.status, reply.body, reply.content_type)
