"""A backend server that answers by a list of steps, such as sending bytes."""

import asyncio
from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class Send:
    content: bytes


@dataclass(frozen=True)
class Pause:
    seconds: float


@dataclass(frozen=True)
class Close:
    """Close the connection."""


@dataclass(frozen=True)
class ReadBody:
    """Read the rest of the request and count it as run."""


@dataclass
class ReceivedRequest:
    """A received request, with its head as parsed and as raw bytes."""

    method: str
    target: str
    headers: dict[str, str]
    raw_head: bytes
    body: bytes = b''

    @property
    def request_id(self):
        return self.headers.get('x-request-id', '')


def whole_answer(body, status=200, extra=''):
    head = f'HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n{extra}\r\n'
    return head.encode() + body


def answer_with_token(request):
    return [ReadBody(), Send(whole_answer(request.request_id.encode()))]


class SteppedServer:
    """Answers each request with the steps that ``script`` returns for it."""

    def __init__(self, script=answer_with_token):
        self.script = script
        self.executions = Counter()
        self.requests = []
        self.connections = 0
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve,
            '127.0.0.1',
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        try:
            while not writer.is_closing():
                request = await self.read_head(reader)
                self.requests.append(request)
                await self.run_steps(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def run_steps(self, request, reader, writer):
        for step in self.script(request):
            match step:
                case Send(content):
                    writer.write(content)
                    await writer.drain()
                case Pause(seconds):
                    await asyncio.sleep(seconds)
                case Close():
                    writer.close()
                case ReadBody():
                    request.body = await self.read_body(request, reader)
                    self.executions[request.request_id] += 1

    async def read_head(self, reader):
        raw = await reader.readuntil(b'\r\n\r\n')
        first, *rows = raw.decode('latin-1').rstrip().split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for row in rows:
            name, _, text = row.partition(':')
            headers[name.lower()] = text.strip()
        return ReceivedRequest(method, target, headers, raw)

    async def read_body(self, request, reader):
        if 'transfer-encoding' in request.headers:
            return await self.read_chunks(reader)
        length = int(request.headers.get('content-length', '0'))
        return await reader.readexactly(length)

    async def read_chunks(self, reader):
        chunks = []
        while True:
            size = int(await reader.readuntil(b'\n'), 16)
            chunks.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(chunks)
