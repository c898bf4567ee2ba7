"""A client that nobody controls.

    python3 flood.py ADDRESS CONNECTIONS SECONDS KIND

On each connection it sends, for `heads`, requests with thousands of short headers, one after the
other; for `chunks`, a body in chunks of one byte. All of it is well-formed and within the limits of
the configuration. It reads the answers, and begins again where a connection ends.
"""

import asyncio
import sys

SOURCE = "127.0.0.2"
HEADERS = 3900
REQUEST = b"GET /read/flood HTTP/1.1\r\nhost: a.example\r\n" + b"a:\r\n" * HEADERS + b"\r\n"
CHUNKED = (
    b"POST /book/flood HTTP/1.1\r\nhost: a.example\r\nminttide-attempt-id: flood\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
CHUNKS = b"1\r\nx\r\n" * 5000
KINDS = {"heads": (b"", REQUEST), "chunks": (CHUNKED, CHUNKS)}


async def read_all(reader):
    while await reader.read(65_536):
        pass


async def attack(host, port, stop, first, part):
    while not stop.is_set():
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, port, local_addr=(SOURCE, 0))
            ended = asyncio.ensure_future(read_all(reader))
            writer.write(first)
            while not stop.is_set() and not ended.done():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            ended.cancel()
        except OSError:
            await asyncio.sleep(0.2)
        finally:
            if writer is not None:
                writer.transport.abort()


async def main():
    host, _, port = sys.argv[1].rpartition(":")
    stop = asyncio.Event()
    asyncio.get_running_loop().call_later(float(sys.argv[3]), stop.set)
    attacks = (attack(host, int(port), stop, *KINDS[sys.argv[4]]) for _ in range(int(sys.argv[2])))
    await asyncio.gather(*attacks)


asyncio.run(main())
