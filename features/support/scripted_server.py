"""A backend server that records raw requests and sends a fixed answer."""

import asyncio
from dataclasses import dataclass, field

BLOCK = b'z' * 65_536


@dataclass
class ScriptedServer:
    """
    Answers every request with ``answer``, byte for byte.

    ``request_heads`` and ``request_bodies`` are the received requests, in
    order. ``answers_before_body`` sends the answer before reading the body,
    ``never_answers`` sends none, and ``closes_after_answer`` closes the
    connection after one. ``stream_bytes`` is the length of a generated body
    after the answer. The body is read only while ``reading_allowed`` is set.
    """

    answer: bytes = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    answers_before_body: bool = False
    never_answers: bool = False
    closes_after_answer: bool = False
    stream_bytes: int = 0
    request_heads: list[bytes] = field(default_factory=list)
    request_bodies: list[bytes] = field(default_factory=list)
    records_bodies: bool = True
    received_bytes: int = 0
    sent_bytes: int = 0
    lost_connections: int = 0
    open_connections: int = 0

    def __post_init__(self):
        self.head_received = asyncio.Event()
        self.reading_allowed = asyncio.Event()
        self.reading_allowed.set()

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
        self.request_heads.append(head)
        self.head_received.set()
        if self.never_answers:
            await reader.readexactly(1)
        if self.answers_before_body:
            await self._send(writer)
            self.request_bodies.append(await self._read_body(reader, head))
        else:
            self.request_bodies.append(await self._read_body(reader, head))
            await self._send(writer)
        return not self.closes_after_answer

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
            await self.reading_allowed.wait()
            chunk = await reader.read(min(length, len(BLOCK)))
            if not chunk:
                raise asyncio.IncompleteReadError(bytes(body), length)
            length -= len(chunk)
            self.received_bytes += len(chunk)
            if self.records_bodies:
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
