"""A crowd of clients that upload in one-byte chunks: HOST PORT COUNT SECONDS."""

import asyncio
import sys
import time

CHUNK = b'1\r\nx\r\n'
# Each client sends 80 kB a second, and its body stays far below the limit.
PIECE = CHUNK * 1333
INTERVAL_SECONDS = 0.1
START_SECONDS = 1.0


async def upload(address, number, count, until, sent):
    """Send a body in small chunks, which ends just short of its end."""
    await asyncio.sleep(START_SECONDS * number / count)
    try:
        _, writer = await asyncio.open_connection(*address)
        writer.write(
            b'POST /pay/upload%d HTTP/1.1\r\nHost: shop.example\r\n'
            b'X-Attempt-Id: up%d\r\nX-Request-Deadline-Ms: 6000\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' % (number, number)
        )
        while time.monotonic() < until:
            writer.write(PIECE)
            sent[0] += len(PIECE)
            await writer.drain()
            await asyncio.sleep(INTERVAL_SECONDS)
    except OSError:
        return


async def main(host, port, count, seconds):
    until = time.monotonic() + seconds
    sent = [0]
    uploads = asyncio.gather(
        *(
            upload((host, port), number, count, until, sent)
            for number in range(count)
        )
    )
    try:
        async with asyncio.timeout(seconds):
            await uploads
    except TimeoutError:
        pass
    print(sent[0], flush=True)


if __name__ == '__main__':
    asyncio.run(
        main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
    )
