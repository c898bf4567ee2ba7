"""A client that nobody controls: it sends bodies in chunks of one byte, on many connections.

    python3 flood.py ADDRESS CONNECTIONS SECONDS

All that it sends is well-formed: a short head at once, then chunks that follow without a pause. It
prints how many bytes it has handed to the system.
"""

import asyncio
import sys

SOURCE = "127.0.0.2"
HEAD = (
    b"POST /book/flood HTTP/1.1\r\nhost: a.example\r\nminttide-attempt-id: flood\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
PART = b"1\r\nx\r\n" * 5000
sent = 0


async def attack(host, port, stop):
    global sent
    while not stop.is_set():
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, port, local_addr=(SOURCE, 0))
            answered = asyncio.ensure_future(reader.read(1))
            writer.write(HEAD)
            while not stop.is_set() and not answered.done():
                writer.write(PART)
                await writer.drain()
                sent += len(PART)
                await asyncio.sleep(0.01)
            answered.cancel()
        except OSError:
            await asyncio.sleep(0.2)
        finally:
            if writer is not None:
                writer.transport.abort()


async def main():
    host, _, port = sys.argv[1].rpartition(":")
    stop = asyncio.Event()
    asyncio.get_running_loop().call_later(float(sys.argv[3]), stop.set)
    await asyncio.gather(*(attack(host, int(port), stop) for _ in range(int(sys.argv[2]))))
    print(sent)


asyncio.run(main())
