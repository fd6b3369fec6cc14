"""
Backend server that responds at once with 2 kB, or never to a ``/hold`` path.

Run it as ``python -m zinniaturn.experiments.speed.answering PORT...``. It is
an asyncio protocol without an HTTP parser, so that it is not the bottleneck.
"""

__all__ = ('main',)

import asyncio
import sys
from typing import cast

import uvloop

_BODY = b'x' * 2048
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: application/octet-stream\r\n'
    b'Server-Load: busy=1, queued=0, slots=256\r\n'
    b'Content-Length: 2048\r\n\r\n'
) + _BODY
_HEAD_END = b'\r\n\r\n'
_HOLD_PATH = b'/hold '


class _ServerProtocol(asyncio.Protocol):
    """Sends a response for each request head; requests have no body."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.received = b''

    def data_received(self, data: bytes) -> None:
        self.received += data
        heads = self.received.split(_HEAD_END)
        self.received = heads.pop()
        if heads and _HOLD_PATH not in heads[0]:
            self.transport.write(_RESPONSE * len(heads))


async def _serve(ports: list[int]) -> None:
    loop = asyncio.get_running_loop()
    for port in ports:
        await loop.create_server(_ServerProtocol, '127.0.0.1', port)
    await asyncio.Event().wait()


def main() -> None:
    """Listen on the ports given on the command line."""
    ports = [int(text) for text in sys.argv[1:]]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(ports))


if __name__ == '__main__':
    main()
