"""A backend server that rejects requests and sends its rejections twice."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

_WORK_SECONDS = 0.05
_SPLIT_SECONDS = 0.01
_IDLE_SECONDS = 0.005
_LATE_SECONDS = 0.5
_HEALTH_PATH = b'/healthz'
# The key of a copy that bears no id.
_ANY = b''
_LOAD = b'X-Upstream-Load: 0,0,4\r\n'


def _response(status, fields, body=b''):
    head = b'HTTP/1.1 %d -\r\n%bContent-Length: %d\r\n\r\n'
    return head % (status, fields, len(body)) + body


@dataclass(slots=True, eq=False)
class CopyingServer:
    """
    Rejects each request once, or the first status check of each connection.

    ``when`` says when the rejection is sent again. ``runs`` counts the runs by
    request id, and ``connections`` those that were opened.
    """

    name: str
    when: str
    status: int = 503
    rejects_checks: bool = False
    runs: Counter = field(default_factory=Counter)
    rejected: set = field(default_factory=set)
    connections: int = 0
    server: asyncio.Server | None = None
    port: int = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()

    def entry(self):
        return {
            'service': 'pool',
            'address': f'127.0.0.1:{self.port}',
            'zone': 'dc-a',
            'capacity': 4,
            'state': 'ready',
            'born': 1,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        copies = {}
        is_checked = False
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _fields_of(head)
                await reader.readexactly(int(fields[b'content-length']))
                if head.split(b' ')[1] == _HEALTH_PATH:
                    is_first, is_checked = not is_checked, True
                    self._answer_check(writer, is_first, copies)
                else:
                    await self._answer(writer, fields[b'x-attempt-id'], copies)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer_check(self, writer, is_first, copies):
        fields = b'X-Instance-Id: %b\r\n%b' % (self.name.encode(), _LOAD)
        if self.rejects_checks and is_first:
            raw = _response(503, b'X-Not-Executed: 1\r\n%b' % fields)
            writer.write(raw)
            copies[_ANY] = raw
        else:
            writer.write(_response(200, fields))

    async def _answer(self, writer, request_id, copies):
        if self.rejects_checks or request_id in self.rejected:
            await self._run(writer, request_id, copies)
            return
        self.rejected.add(request_id)
        fields = b'X-Attempt-Id: %b\r\nX-Not-Executed: 1\r\n%b'
        raw = _response(self.status, fields % (request_id, _LOAD))
        writer.write(raw)
        loop = asyncio.get_running_loop()
        if self.when == 'while the connection is idle':
            loop.call_later(_IDLE_SECONDS, _write, writer, raw)
        elif self.when == 'half a second later':
            loop.call_later(_LATE_SECONDS, _write, writer, raw)
        elif self.when != 'never':
            copies[request_id] = raw

    async def _run(self, writer, request_id, copies):
        self.runs[request_id] += 1
        copy = copies.pop(request_id, b'') or copies.pop(_ANY, b'')
        fields = b'X-Attempt-Id: %b\r\nX-Upstream-Signature: by-%b\r\n%b'
        answer = _response(
            200, fields % (request_id, self.name.encode(), _LOAD), request_id
        )
        match self.when:
            case 'as the next request arrives':
                writer.write(copy)
            case 'in two parts around the next request':
                half = len(copy) // 2
                writer.write(copy[:half])
                await asyncio.sleep(_SPLIT_SECONDS)
                writer.write(copy[half:])
            case 'in one write with the next answer':
                answer = copy + answer
        await asyncio.sleep(_WORK_SECONDS)
        writer.write(answer)


def _write(writer, raw):
    if not writer.transport.is_closing():
        writer.write(raw)


def _fields_of(head):
    fields = {b'content-length': b'0'}
    for line in head.split(b'\r\n')[1:]:
        name, _, text = line.partition(b':')
        fields[name.lower()] = text.strip()
    return fields
