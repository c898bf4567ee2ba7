"""Servers that write a response a second time on a connection that is kept."""

import asyncio
from contextlib import closing

import pytest

from minttide.ids import Address, StreamName
from minttide.interfaces import LogUnavailableError, LogUncertainError, UpstreamCall
from minttide_fakes.memory_network import run_in_memory
from minttided.callers.upstream_http import HttpUpstreamClient
from minttided.http.client import HttpClient
from minttided.log.log_http import HttpPlatformLog

COPY_DELAY_S = 0.05
REST_S = 0.1
LIMIT_S = 60.0
"""Limit on the virtual time of a test."""


class CopyingServer:
    """Writes each response a second time: at once, while the connection rests or when the next
    request arrives. `connections` counts those that were accepted.

    Each response holds the request's path; `status` is that of the first one.
    """

    def __init__(self, when, status=200):
        self.connections = 0
        self.served = []
        self._when = when
        self._status = status

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(f"127.0.0.1:{port}")
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self._when == "on arrival":
                    writer.write(last)
                path = head.split()[1]
                self.served.append(path.decode())
                last = self._make_response(path)
                writer.write(last)
                if self._when == "at once":
                    writer.write(last)
                if self._when == "at rest":
                    asyncio.get_running_loop().call_later(COPY_DELAY_S, writer.write, last)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _make_response(self, path):
        status = self._status if len(self.served) == 1 else 200
        head = b"HTTP/1.1 %d X\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
        return head % (status, len(path)) + path


# Guards against a response that a server sends twice being taken for that of the next request.
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("when", ["at once", "at rest"])
def test_a_second_copy_of_a_response_ends_the_connection(when, status):
    async def run():
        async with CopyingServer(when, status) as server:
            with closing(HttpClient(server.address)) as client:
                await client.request("GET", "/first")
                await asyncio.sleep(REST_S)
                second = await client.request("GET", "/second")
        return second.status, second.body, server.connections

    assert run_in_memory(run(), LIMIT_S) == (200, b"/second", 2)


def test_a_connection_without_a_copy_is_kept():
    async def run():
        async with CopyingServer("never") as server:
            with closing(HttpClient(server.address)) as client:
                bodies = [(await client.request("GET", f"/{n}")).body for n in range(3)]
        return bodies, server.connections

    assert run_in_memory(run(), LIMIT_S) == ([b"/0", b"/1", b"/2"], 1)


# Guards against callers' calls that share connections: a copy that arrives with the next request
# can't be told from its response.
@pytest.mark.parametrize("when", ["at once", "at rest", "on arrival"])
@pytest.mark.parametrize("status", [200, 503])
def test_calls_never_get_the_response_of_another_call(when, status):
    async def run():
        async with CopyingServer(when, status) as server:
            with closing(HttpClient(server.address)) as client:
                upstream = HttpUpstreamClient(client)
                await upstream.call(UpstreamCall("POST", "/first", [], b""), timeout_s=2.0)
                return (
                    await upstream.call(UpstreamCall("POST", "/second", [], b""), timeout_s=2.0)
                ).body

    assert run_in_memory(run(), LIMIT_S) == b"/second"


# The copy of a rejected append would say that the next one, which the log took, was not appended.
def test_append_does_not_get_the_response_of_another_append():
    async def run():
        server = CopyingServer("on arrival", 503)
        async with server, HttpPlatformLog(server.address) as log:
            with pytest.raises(LogUnavailableError):
                await log.append(StreamName("s"), b"r")
            with pytest.raises(LogUncertainError):  # Its response, a 200, holds no offset.
                await log.append(StreamName("s"), b"r")

    run_in_memory(run(), LIMIT_S)
