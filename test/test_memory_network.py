"""The connections in memory on which tests of the gateway run in virtual time."""

import asyncio

import pytest

from minttide_fakes.memory_network import DELIVERY_S, HIGH_WATER_BYTES, run_in_memory

HOST = "127.0.0.1"


async def connect(serve):
    """Start a server and connect to it; return the server, and the client's reader and writer."""
    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    return server, *await asyncio.open_connection(HOST, port)


def run_pair(serve, use):
    """Run both ends of one connection; return what they return."""

    async def scenario():
        served = asyncio.get_running_loop().create_future()

        async def serve_once(reader, writer):
            served.set_result(await serve(reader, writer))

        _, reader, writer = await connect(serve_once)
        return await use(reader, writer), await served

    return run_in_memory(scenario(), 60.0)


async def read_all(reader, writer):
    return await reader.read()


async def read_and_reply(reader, writer):
    data = await reader.read()
    writer.write(b"got " + data)
    writer.close()
    return data


async def reset(reader, writer):
    await reader.readexactly(1)
    writer.write(b"lost")
    writer.transport.abort()


async def send_and_read(reader, writer):
    writer.write(b"question")
    writer.write_eof()
    return await reader.read()


async def send_and_close(reader, writer):
    writer.write(b"all of this")
    writer.close()
    await writer.wait_closed()
    return writer.is_closing()


async def read_until_reset(reader, writer):
    writer.write(b"x")
    with pytest.raises(ConnectionResetError):
        await reader.read()
    with pytest.raises(ConnectionResetError):
        await writer.drain()


async def write_until_reset(reader, writer):
    """Write to an end that closes without reading."""
    with pytest.raises(ConnectionResetError):
        while True:
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.01)


async def close(reader, writer):
    writer.close()


@pytest.mark.parametrize(
    ("serve", "use", "used", "served"),
    [
        (read_and_reply, send_and_read, b"got question", b"question"),
        (read_all, send_and_close, True, b"all of this"),
        (reset, read_until_reset, None, None),
        (close, write_until_reset, None, None),
    ],
    ids=["half-close", "close flushes", "reset", "peer closed"],
)
def test_the_ends_of_a_connection_see_its_end(serve, use, used, served):
    assert run_pair(serve, use) == (used, served)


def test_connections_are_refused_where_nothing_listens():
    async def scenario():
        server, _, writer = await connect(read_all)
        port = server.sockets[0].getsockname()[1]
        server.close()
        for refused in (port, 1):
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(HOST, refused)
        return server.sockets, writer.is_closing()

    assert run_in_memory(scenario(), 60.0) == ((), False)


def test_a_port_is_listened_on_once():
    async def scenario():
        server, *_ = await connect(read_all)
        with pytest.raises(OSError, match="in use"):
            await asyncio.start_server(read_all, HOST, server.sockets[0].getsockname()[1])

    run_in_memory(scenario(), 60.0)


def test_ends_know_their_addresses_and_have_no_socket():
    names = ("sockname", "peername", "socket")

    async def tell(reader, writer):
        return [writer.get_extra_info(name) for name in names]

    (sockname, peername, sock), served = run_pair(tell, tell)
    assert served == [peername, sockname, None] and sock is None
    assert sockname != peername


# Guards against a sender without bound: the gateway drops callers that don't read.
def test_a_writer_waits_while_its_peer_does_not_read():
    resumed = asyncio.Event()

    async def read_late(reader, writer):
        writer.transport.pause_reading()
        await resumed.wait()
        writer.transport.resume_reading()
        return len(await reader.read())

    async def write_much(reader, writer):
        writer.write(bytes(HIGH_WATER_BYTES))
        await asyncio.wait_for(writer.drain(), 1.0)
        writer.write(b"x")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(writer.drain(), 1.0)
        resumed.set()
        await writer.drain()
        size = writer.transport.get_write_buffer_size()
        writer.close()
        return size

    assert run_pair(read_late, write_much) == (0, HIGH_WATER_BYTES + 1)


def test_a_held_port_delivers_nothing_until_it_is_released():
    async def scenario():
        loop = asyncio.get_running_loop()
        server, reader, writer = await connect(read_and_reply)
        port = server.sockets[0].getsockname()[1]
        loop.hold(port)
        loop.call_later(2.0, loop.release, port)
        writer.write(b"late")
        writer.write_eof()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(HOST, port), 0.5)
        await asyncio.open_connection(HOST, port)
        connected_s = loop.time()
        return await reader.read(), connected_s

    answer, connected_s = run_in_memory(scenario(), 60.0)
    assert answer == b"got late" and 2.0 <= connected_s <= 2.0 + 2 * DELIVERY_S


def test_open_connections_are_counted_by_the_end_of_the_client():
    async def scenario():
        loop = asyncio.get_running_loop()
        server, _, writer = await connect(read_all)
        port = server.sockets[0].getsockname()[1]
        kept = await asyncio.open_connection(HOST, port)
        before = loop.count_connections(port)
        loop.hold(port)
        writer.transport.abort()
        after = loop.count_connections(port)
        kept[1].close()
        return before, after, loop.count_connections(port)

    assert run_in_memory(scenario(), 60.0) == (2, 1, 0)


def test_two_runs_are_identical():
    async def scenario():
        loop = asyncio.get_running_loop()
        seen = []

        async def echo(reader, writer):
            seen.append((loop.time(), writer.get_extra_info("peername")))
            writer.write(await reader.read())
            writer.close()

        async def call(number):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"%d" % number)
            writer.write_eof()
            seen.append((loop.time(), await reader.read()))

        server = await asyncio.start_server(echo, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        await asyncio.gather(*(call(number) for number in range(50)))
        return seen

    first = run_in_memory(scenario(), 60.0)
    assert first == run_in_memory(scenario(), 60.0)
    assert sorted(s for _, s in first if isinstance(s, bytes)) == sorted(
        b"%d" % n for n in range(50)
    )


def test_connections_that_are_left_open_end_with_their_loop():
    """Guards against writers that raise once they are collected, as their loop is closed."""
    left = []

    async def run():
        server = await asyncio.start_server(lambda *_: asyncio.sleep(60.0), "127.0.0.1", 0)
        left.append(await asyncio.open_connection(*server.sockets[0].getsockname()))

    run_in_memory(run())
    ((_, writer),) = left
    assert writer.transport.is_closing()
    writer.close()
