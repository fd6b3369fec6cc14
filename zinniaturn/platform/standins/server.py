"""A stand-in for a backend server on the platform."""

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
    find_field,
)
from zinniaturn.platform.standins.broken_answers import (
    CLOSING_FAULTS,
    broken_answer,
)
from zinniaturn.platform.standins.crashes import CrashRule
from zinniaturn.platform.standins.endless import (
    ENDLESS_FAULTS,
    send_without_end,
)
from zinniaturn.platform.standins.faults import ServerFault
from zinniaturn.platform.standins.loopback import LoopbackService
from zinniaturn.standins.connection_reset import reset_connection

_MILLISECONDS_PER_SECOND = 1000
_RESET_DELAY_SECONDS = 0.02
_SIGNATURE = b'X-Upstream-Signature'
_HEALTH_PATH = b'/healthz'
_RESETTING_FAULTS = frozenset((ServerFault.LOST, ServerFault.UNFRAMED_CUT))


@dataclass(slots=True)
class ServerStandIn(LoopbackService):
    """
    Runs requests in its slots and queues a few more.

    ``runs`` counts the executions by request id, and ``arrived_at`` holds the
    time of each id's last arrival. ``faults`` apply to the next requests in
    turn and ``default_fault`` to all others. ``slowness`` is the factor by
    which the VM stretches the work, ``work_seconds`` or what ``work_for``
    returns for a request. With ``echoes_request_id`` each
    body begins with its request's id, so that a response to another request is
    detected. ``cancelled`` counts the requests whose connection was closed
    while they ran. ``limit`` is the text of the requests per second that the
    server names, ``pause`` that of the seconds that it asks a VM to wait when
    it sheds a request. Responses to probes tell the limit and the leaving only
    with ``states_in_probes``. ``request_times`` are the times of all arrivals.
    With a `CrashRule` in ``crash_rule`` its process ends on some requests.
    Its entry says that it is cold for ``entry_warm_up_ms`` yet, and responses
    to probes do so until ``cold_until``.
    """

    name: str = ''
    pool: str = 'pool'
    data_center: str = 'dc-a'
    slots: int = 4
    queue: int = 8
    work_seconds: float = 0.01
    work_for: Callable[[Request], float] | None = None
    slowness: float = 1.0
    body: bytes = b'answer'
    echoes_request_id: bool = False
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
    default_fault: ServerFault | None = None
    limit: bytes | None = None
    is_leaving: bool = False
    pause: bytes | None = None
    states_in_probes: bool = True
    request_times: list[float] = field(default_factory=list)
    crash_rule: CrashRule | None = None
    entry_warm_up_ms: int = 0
    cold_until: float = 0
    slot_semaphore: asyncio.Semaphore = field(init=False)

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 picks a free one."""
        self.slot_semaphore = asyncio.Semaphore(self.slots)
        await LoopbackService.start(self, port)

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the server's entry in the store."""
        return {
            'service': self.pool,
            'address': f'{self.host}:{self.port}',
            'zone': self.data_center,
            'version': 'v1',
            'capacity': self.slots,
            'state': state,
            'warmup_left_ms': self.entry_warm_up_ms,
            'sequence': 1,
            'born': self.started_ms,
        }

    async def restart(self, name: str, port: int) -> None:
        """Start the next process, after a crash, at the port of this one."""
        self.name = name
        self.started_ms += 1
        await self.start(port)

    def handle(self, exchange: CallerExchange) -> Reply:
        """Respond to a request or a load probe."""
        request = exchange.request
        if request.target == _HEALTH_PATH:
            self.probed += 1
            status = 200 if self.is_healthy and not self.is_leaving else 503
            instance_field = (b'X-Instance-Id', self.name.encode())
            statement_fields = [self._load_report_field()]
            if self.states_in_probes:
                statement_fields = self._statement_fields()
            statement_fields.extend(self._warm_up_fields())
            return Response(status, b'', [instance_field, *statement_fields])
        self.arrivals += 1
        self.requests.append(request)
        request_id = find_field(request.fields, b'x-attempt-id') or b''
        now = asyncio.get_running_loop().time()
        self.arrived_at[request_id] = now
        self.request_times.append(now)
        expected_server = find_field(request.fields, b'x-expect-instance')
        fault = self.faults.popleft() if self.faults else self.default_fault
        if (
            fault is ServerFault.REPLACED
            or expected_server != self.name.encode()
        ):
            return Response(421, b'', [(b'X-Instance-Id', b'another')])
        is_full = self.running + self.waiting >= self.slots + self.queue
        if fault is ServerFault.SHED or is_full:
            return self._build_rejection()
        return self._run_request(exchange, fault)

    async def _run_request(
        self,
        exchange: CallerExchange,
        fault: ServerFault | None,
    ) -> Response:
        request = exchange.request
        request_id = find_field(request.fields, b'x-attempt-id') or b''
        time_left_ms = (
            find_field(request.fields, b'x-request-deadline-ms') or b'1000'
        )
        self.waiting += 1
        try:
            await self.slot_semaphore.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[request_id] += 1
        if self.crash_rule is not None:
            self.crash_rule.note_run(self, request)
        try:
            async with asyncio.timeout(
                int(time_left_ms) / _MILLISECONDS_PER_SECOND
            ):
                await asyncio.sleep(self._work_for(request) * self.slowness)
        except TimeoutError:
            return self._build_response(request_id, 504, b'')
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
            self.slot_semaphore.release()
        if fault is None:
            return self._build_response(
                request_id, 200, self._body_for(request_id)
            )
        return await self._respond_with_fault(exchange, request_id, fault)

    def _work_for(self, request: Request) -> float:
        if self.work_for is None:
            return self.work_seconds
        return self.work_for(request)

    async def _respond_with_fault(
        self,
        exchange: CallerExchange,
        request_id: bytes,
        fault: ServerFault,
    ) -> Response:
        transport = exchange.connection.transport
        assert transport is not None
        if fault in ENDLESS_FAULTS:
            await send_without_end(transport, request_id, fault)
        body = self._body_for(request_id)
        response = self._build_response(request_id, 200, body)
        stale = self._build_response(b'earlier', 200, b'stale')
        raw = broken_answer(fault, response, stale)
        if raw is not None:
            transport.write(raw)
            await _finish(transport, fault)
            await asyncio.Event().wait()
        return self._alter_response(response, fault)

    def _alter_response(
        self, response: Response, fault: ServerFault
    ) -> Response:
        match fault:
            case ServerFault.ERROR:
                response.status = 500
            case ServerFault.FALSE_UNAVAILABLE:
                response.status = 503
                response.fields.extend(self._pause_fields())
            case ServerFault.FALSE_TOO_MANY:
                response.status = 429
            case ServerFault.FALSE_TIMEOUT:
                response.status = 408
            case ServerFault.UNSIGNED:
                response.fields = [
                    row for row in response.fields if row[0] != _SIGNATURE
                ]
            case ServerFault.ENCODED:
                response.fields.append((b'Content-Encoding', b'gzip'))
        return response

    def _body_for(self, request_id: bytes) -> bytes:
        return (
            b'%b %b' % (request_id, self.body)
            if self.echoes_request_id
            else self.body
        )

    def _build_response(
        self, request_id: bytes, status: int, body: bytes
    ) -> Response:
        fields: Fields = [
            (b'X-Attempt-Id', request_id),
            (_SIGNATURE, b'by-%b' % self.name.encode()),
            *self._statement_fields(),
        ]
        return Response(status, b'', fields, body)

    def _build_rejection(self) -> Response:
        return Response(
            503,
            b'',
            [
                (b'X-Not-Executed', b'1'),
                *self._statement_fields(),
                *self._pause_fields(),
            ],
        )

    def _pause_fields(self) -> Fields:
        return [] if self.pause is None else [(b'Retry-After', self.pause)]

    def _statement_fields(self) -> Fields:
        """Return the fields by which the server tells of itself."""
        fields = [self._load_report_field()]
        if self.limit is not None:
            fields.append((b'Server-Limit', self.limit))
        if self.is_leaving:
            fields.append((b'Server-Leaving', b'1'))
        return fields

    def _warm_up_fields(self) -> Fields:
        seconds = self.cold_until - asyncio.get_running_loop().time()
        if seconds <= 0:
            return []
        milliseconds = int(seconds * _MILLISECONDS_PER_SECOND)
        return [(b'X-Warmup-Ms', b'%d' % milliseconds)]

    def _load_report_field(self) -> tuple[bytes, bytes]:
        figures = (
            self.running,
            self.waiting,
            self.slots,
            int(self.slowness * 100),
        )
        report = ','.join(str(figure) for figure in figures)
        return b'X-Upstream-Load', report.encode()


async def _finish(transport: asyncio.Transport, fault: ServerFault) -> None:
    """Close or reset the connection behind a broken answer, or keep it."""
    if fault is ServerFault.UNFRAMED_CUT:
        await asyncio.sleep(_RESET_DELAY_SECONDS)
    if fault in _RESETTING_FAULTS:
        reset_connection(transport)
    if fault in CLOSING_FAULTS:
        transport.close()
