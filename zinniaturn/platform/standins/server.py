"""A stand-in of a backend server on the platform."""

__all__ = ('ServerStandIn',)

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.messages import (
    Fields,
    Request,
    Response,
    encode_response,
    find_field,
)
from zinniaturn.platform.standins.faults import ServerFault
from zinniaturn.platform.standins.loopback import LoopbackService
from zinniaturn.platform.standins.resets import reset

_MILLISECONDS = 1000
_PAUSE_SECONDS = 0.02
_SIGNATURE = b'X-Upstream-Signature'
_HEALTH_PATH = b'/healthz'


@dataclass(slots=True)
class ServerStandIn(LoopbackService):
    """
    Runs requests in its slots and queues a few more.

    ``runs`` counts the executions by request id, ``arrived_at`` says when each
    came last, ``faults`` befall the next requests in turn, ``slowness`` is the
    VM's. With ``is_personal`` each body begins with its request's id, so that
    a wrong one can be told. ``cancelled`` counts the requests whose connection
    was closed while they ran.
    """

    name: str = ''
    pool: str = 'pool'
    slots: int = 4
    queue: int = 8
    work_seconds: float = 0.01
    slowness: float = 1.0
    body: bytes = b'answer'
    is_personal: bool = False
    is_healthy: bool = True
    running: int = 0
    waiting: int = 0
    probed: int = 0
    cancelled: int = 0
    arrivals: int = 0
    started_ms: int = 1
    runs: Counter[bytes] = field(default_factory=Counter)
    arrived_at: dict[bytes, float] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    faults: deque[ServerFault] = field(default_factory=deque)
    every_fault: ServerFault | None = None
    free: asyncio.Semaphore = field(init=False)

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 takes any free one."""
        self.free = asyncio.Semaphore(self.slots)
        await LoopbackService.start(self, port)

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return what the server says of itself in the store."""
        return {
            'service': self.pool,
            'address': f'{self.host}:{self.port}',
            'zone': 'dc-a',
            'version': 'v1',
            'capacity': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': self.started_ms,
        }

    def handle(self, exchange: CallerExchange) -> Reply:
        """Serve a request or a probe of the load."""
        request = exchange.request
        if request.target == _HEALTH_PATH:
            self.probed += 1
            status = 200 if self.is_healthy else 503
            own = (b'X-Instance-Id', self.name.encode())
            return Response(status, b'', [own, self._load()])
        self.arrivals += 1
        self.requests.append(request)
        identity = find_field(request.fields, b'x-attempt-id') or b''
        self.arrived_at[identity] = asyncio.get_running_loop().time()
        meant = find_field(request.fields, b'x-expect-instance')
        fault = self.faults.popleft() if self.faults else self.every_fault
        if fault is ServerFault.REPLACED or meant != self.name.encode():
            return Response(421, b'', [(b'X-Instance-Id', b'another')])
        is_full = self.running + self.waiting >= self.slots + self.queue
        if fault is ServerFault.SHED or is_full:
            return Response(503, b'', [(b'X-Not-Executed', b'1'), self._load()])
        return self._run(exchange, fault)

    async def _run(
        self,
        exchange: CallerExchange,
        fault: ServerFault | None,
    ) -> Response:
        request = exchange.request
        identity = find_field(request.fields, b'x-attempt-id') or b''
        left = find_field(request.fields, b'x-request-deadline-ms') or b'1000'
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[identity] += 1
        try:
            async with asyncio.timeout(int(left) / _MILLISECONDS):
                await asyncio.sleep(self.work_seconds * self.slowness)
        except TimeoutError:
            return self._answer(identity, 504, b'')
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
            self.free.release()
        if fault is None:
            return self._answer(identity, 200, self._body_for(identity))
        return await self._misbehave(exchange, identity, fault)

    async def _misbehave(
        self,
        exchange: CallerExchange,
        identity: bytes,
        fault: ServerFault,
    ) -> Response:
        transport = exchange.connection.transport
        assert transport is not None
        body = self._body_for(identity)
        answer = self._answer(identity, 200, body)
        whole = encode_response(answer)
        head = whole[: whole.index(b'\r\n\r\n') + 4]
        unframed = head.replace(b'Content-Length', b'X-Length')
        stale = encode_response(self._answer(b'earlier', 200, b'stale'))
        half = body[: len(body) // 2]
        writes: dict[ServerFault, tuple[bytes, Callable[[], None]]] = {
            ServerFault.MUTE: (b'', _nothing),
            ServerFault.LOST: (b'', lambda: reset(transport)),
            ServerFault.EXTRA: (whole + stale, _nothing),
            ServerFault.STALE: (stale + whole, _nothing),
            ServerFault.UNFRAMED: (unframed + body, transport.close),
            ServerFault.UNFRAMED_CUT: (unframed + half, _nothing),
            ServerFault.SHORT: (head + half, transport.close),
            ServerFault.GIBBERISH: (b'\x00\x01 nonsense\r\n\r\n', _nothing),
        }
        misdeed = writes.get(fault)
        if misdeed is not None:
            raw, end = misdeed
            transport.write(raw)
            if fault is ServerFault.UNFRAMED_CUT:
                await asyncio.sleep(_PAUSE_SECONDS)
                reset(transport)
            end()
            await asyncio.Event().wait()
        return self._altered(answer, fault)

    def _altered(self, answer: Response, fault: ServerFault) -> Response:
        match fault:
            case ServerFault.ERROR:
                answer.status = 500
            case ServerFault.UNSIGNED:
                answer.fields = [
                    row for row in answer.fields if row[0] != _SIGNATURE
                ]
            case ServerFault.ENCODED:
                answer.fields.append((b'Content-Encoding', b'gzip'))
        return answer

    def _body_for(self, identity: bytes) -> bytes:
        return (
            b'%b %b' % (identity, self.body) if self.is_personal else self.body
        )

    def _answer(self, identity: bytes, status: int, body: bytes) -> Response:
        fields: Fields = [
            (b'X-Attempt-Id', identity),
            (_SIGNATURE, b'by-%b' % self.name.encode()),
            self._load(),
        ]
        return Response(status, b'', fields, body)

    def _load(self) -> tuple[bytes, bytes]:
        figures = (
            self.running,
            self.waiting,
            self.slots,
            int(self.slowness * 100),
        )
        text = ','.join(str(each) for each in figures)
        return b'X-Upstream-Load', text.encode()


def _nothing() -> None:
    """Leave the connection open."""
