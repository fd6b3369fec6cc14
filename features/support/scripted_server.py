"""A backend server that records raw requests and answers from a script."""

import asyncio
from dataclasses import dataclass, field

BLOCK = b'z' * 65_536


@dataclass
class ScriptedServer:
    """
    Answers every request with ``answer``, byte for byte.

    ``heads`` and ``bodies`` are what came in, in order. With ``early`` the
    answer goes out before the body is read. ``stream_bytes`` follow the
    answer's head. With ``holds`` no answer comes at all. ``hangs_up`` ends
    the connection after an answer.
    """

    answer: bytes = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    early: bool = False
    holds: bool = False
    hangs_up: bool = False
    stream_bytes: int = 0
    heads: list[bytes] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    keeps_bodies: bool = True
    received_bytes: int = 0
    sent_bytes: int = 0
    lost_connections: int = 0
    open_connections: int = 0

    def __post_init__(self):
        self.received = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve,
            '127.0.0.1',
            0,
            limit=1_048_576,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.writers = set()

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.open_connections += 1
        self.writers.add(writer)
        try:
            is_open = True
            while is_open:
                is_open = await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            self.lost_connections += 1
        finally:
            self.open_connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await self._read_head(reader)
        if head is None:
            return False
        self.heads.append(head)
        self.received.set()
        if self.holds:
            await reader.readexactly(1)
        if self.early:
            await self._send(writer)
            self.bodies.append(await self._read_body(reader, head))
        else:
            self.bodies.append(await self._read_body(reader, head))
            await self._send(writer)
        return not self.hangs_up

    async def _read_head(self, reader):
        try:
            return await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return None

    async def _send(self, writer):
        writer.write(self.answer)
        remaining = self.stream_bytes
        while remaining:
            block = BLOCK[:remaining]
            writer.write(block)
            await writer.drain()
            remaining -= len(block)
            self.sent_bytes += len(block)
        await writer.drain()

    async def _read_body(self, reader, head):
        if b'transfer-encoding: chunked' in head.lower():
            return await self._read_chunks(reader)
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                return await self._read_exactly(reader, int(line[15:]))
        return b''

    async def _read_exactly(self, reader, length):
        body = bytearray()
        while length:
            await self.gate.wait()
            chunk = await reader.read(min(length, len(BLOCK)))
            if not chunk:
                raise asyncio.IncompleteReadError(bytes(body), length)
            length -= len(chunk)
            self.received_bytes += len(chunk)
            if self.keeps_bodies:
                body += chunk
        return bytes(body)

    async def _read_chunks(self, reader):
        body = bytearray()
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            body += await reader.readexactly(size)
            self.received_bytes += size
            await reader.readexactly(2)
            if not size:
                return bytes(body)
