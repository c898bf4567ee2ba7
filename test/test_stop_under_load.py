"""What is in the sockets' buffers when a server stops to accept, as in a busy process."""

import asyncio
import socket

import pytest

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http.messages import HttpResponse, split_address
from minttided.http.server import HttpServer

ANY_PORT = Address("127.0.0.1:0")
REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
WORK_S = 0.02
LIMIT_S = 5.0


async def handle(req):
    await asyncio.sleep(WORK_S)
    return HttpResponse(200, b"ok", "text/plain")


def connect(server):
    """Connect without a turn of the event loop, which would accept the connection."""
    return socket.create_connection(split_address(server.address))


async def read_response(sock):
    """Return what a caller receives until its connection ends."""
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await reader.read()
    finally:
        writer.close()


async def stop(server):
    server.announce_close()
    await server.stop_accepting()
    async with asyncio.timeout(LIMIT_S):
        while server.unfinished_requests:  # noqa: ASYNC110 - as in a shutdown
            await asyncio.sleep(0.01)


# Guards against callers whose connection was established, but not yet accepted by the process.
@pytest.mark.parametrize("count", [1, 40])
@pytest.mark.parametrize("sends", [True, False], ids=["with a request", "with a request later"])
def test_connections_in_the_queue_are_served_as_the_server_stops(count, sends):
    async def run():
        async with HttpServer(handle, ANY_PORT, Bounds()) as server:
            socks = [connect(server) for _ in range(count)]
            for sock in socks:
                if sends:
                    sock.sendall(REQUEST)
            stopping = asyncio.create_task(stop(server))
            if not sends:
                await asyncio.sleep(0)
                for sock in socks:
                    sock.sendall(REQUEST)
            responses = await asyncio.gather(*(read_response(s) for s in socks))
            await stopping
            return responses

    responses = asyncio.run(run())
    assert [r.startswith(b"HTTP/1.1 200 ") and r.endswith(b"ok") for r in responses] == [
        True
    ] * count


# Guards against a request on a kept connection that has arrived, but wasn't read yet.
def test_request_in_the_buffer_of_an_idle_connection_is_served_as_the_server_stops():
    async def run():
        async with HttpServer(handle, ANY_PORT, Bounds()) as server:
            sock = connect(server)
            sock.sendall(REQUEST)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            first = await loop.sock_recv(sock, 65536)
            while server.open_requests:  # noqa: ASYNC110 - there is no event
                await asyncio.sleep(0)
            sock.sendall(REQUEST)
            stopping = asyncio.create_task(stop(server))
            second = await read_response(sock)
            await stopping
            return first, second

    first, second = asyncio.run(run())
    assert first.endswith(b"ok")
    assert second.startswith(b"HTTP/1.1 200 ") and second.endswith(b"ok")


def test_idle_connections_and_the_listening_socket_are_closed_as_the_server_stops():
    async def run():
        async with HttpServer(handle, ANY_PORT, Bounds()) as server:
            address = split_address(server.address)
            sock = connect(server)
            sock.sendall(REQUEST)
            await asyncio.sleep(5 * WORK_S)
            assert server.connections == 1
            await stop(server)
            rest = await read_response(sock)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)
            return rest, server.connections

    rest, connections = asyncio.run(run())
    assert rest.endswith(b"ok") and connections == 0
