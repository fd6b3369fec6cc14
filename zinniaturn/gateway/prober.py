"""Probes servers for their load over pooled connections."""

__all__ = ('ProbeResult', 'Prober')

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from zinniaturn.admission.admission import ResponseKind
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.gateway.wire_format import WireFormat
from zinniaturn.http1.backend import BackendConnection, Exchange
from zinniaturn.http1.connections import (
    Address,
    ConnectionPool,
    apply_keep_alive,
)
from zinniaturn.http1.exceptions import (
    ConnectFailedError,
    ExchangeBrokenError,
    NoSlotError,
)
from zinniaturn.http1.messages import Response
from zinniaturn.placing.candidates import Candidate
from zinniaturn.reach.own_reach import OwnReach

_FIRST_RESULT_WAIT_SECONDS = 0.012
_MAX_WAIT_SECONDS = 0.06
_PROBE_TIMEOUT_SECONDS = 0.3
_REFRESH_BEFORE_SECONDS = 1.5

LearnStatement = Callable[
    [Candidate, ServerStatement, ResponseKind, float], None
]


@dataclass(slots=True)
class ProbeResult:
    """
    A server's load report and the open connection that it came on.

    ``seconds`` is the time from the probe to its response.
    """

    candidate: Candidate
    report: LoadReport
    connection: BackendConnection
    is_healthy: bool = True
    seconds: float = 0


@dataclass(slots=True, eq=False)
class _ProbeRound:
    """The probes of one round; `done` is set when the round ends."""

    pending_probes: int
    done: asyncio.Future[None]
    results: list[ProbeResult] = field(default_factory=list)
    is_closed: bool = False

    def note_probe_ended(self) -> None:
        self.pending_probes -= 1
        if not self.pending_probes:
            self.finish()

    def finish(self) -> None:
        if not self.done.done():
            self.done.set_result(None)

    def finish_if_answered(self) -> None:
        if self.results:
            self.finish()


@dataclass(slots=True)
class Prober:
    """
    Sends rounds of probes and returns the servers that answered in time.

    ``on_statement`` is called with what each server says of itself, and
    ``reach`` is told which servers respond.
    """

    connections: ConnectionPool
    wire_format: WireFormat
    on_statement: LearnStatement
    reach: OwnReach

    async def probe(
        self,
        candidates: Sequence[Candidate],
        health_path: str,
    ) -> list[ProbeResult]:
        """
        Return the results that arrived in time.

        The round ends when all probes have ended, after the first wait if any
        result is there by then, and after the maximum wait at the latest. The
        caller has to use or `release` the connections of the results. A
        response that arrives later only updates the server's statistics.
        """
        loop = asyncio.get_running_loop()
        if not candidates:
            return []
        probe_round = _ProbeRound(len(candidates), loop.create_future())
        for candidate in candidates:
            self._start_probe(probe_round, candidate, health_path, loop)
        timers = (
            loop.call_later(
                _FIRST_RESULT_WAIT_SECONDS, probe_round.finish_if_answered
            ),
            loop.call_later(_MAX_WAIT_SECONDS, probe_round.finish),
        )
        try:
            await probe_round.done
        except asyncio.CancelledError:
            for result in probe_round.results:
                self.release(result)
            raise
        finally:
            probe_round.is_closed = True
            for timer in timers:
                timer.cancel()
        return probe_round.results

    def probe_in_background(
        self, candidate: Candidate, health_path: str
    ) -> None:
        """Probe a server; the response only updates what is known of it."""
        loop = asyncio.get_running_loop()
        probe_round = _ProbeRound(1, loop.create_future(), is_closed=True)
        self._start_probe(probe_round, candidate, health_path, loop)

    def refresh(self, candidate: Candidate, health_path: str) -> bool:
        """
        Probe on an idle connection that is about to expire, which renews it.

        Returns whether there is one.
        """
        loop = asyncio.get_running_loop()
        connection = self.connections.take_expiring(
            candidate.address, loop.time() + _REFRESH_BEFORE_SECONDS
        )
        if connection is None:
            return False
        probe_round = _ProbeRound(1, loop.create_future(), is_closed=True)
        payload = self.wire_format.load_probe_request(
            health_path, candidate.address[0]
        )
        self._send(probe_round, candidate, connection, payload)
        return True

    def release(self, result: ProbeResult) -> None:
        """Return the connection of an unused result to the pool."""
        self.connections.keep_idle(result.candidate.address, result.connection)

    def _start_probe(
        self,
        probe_round: _ProbeRound,
        candidate: Candidate,
        health_path: str,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        address = candidate.address
        self.reach.note_tried(candidate.registered.pool, candidate.name)
        payload = self.wire_format.load_probe_request(health_path, address[0])
        connection = self.connections.take_idle(address, loop.time())
        if connection is None:
            task = loop.create_task(
                self._connect_and_probe(
                    probe_round, candidate, address, payload
                ),
            )
            task.add_done_callback(_check_task_error)
        else:
            self._send(probe_round, candidate, connection, payload)

    async def _connect_and_probe(
        self,
        probe_round: _ProbeRound,
        candidate: Candidate,
        address: Address,
        payload: bytes,
    ) -> None:
        pool = candidate.registered.pool
        tried_at = self.reach.clock.monotonic()
        try:
            connection = await self.connections.connect(
                address,
                _PROBE_TIMEOUT_SECONDS,
            )
        except NoSlotError:
            # Says nothing of the server.
            probe_round.note_probe_ended()
            return
        except ConnectFailedError:
            self.reach.note_unconnected(pool, candidate.name, tried_at)
            candidate.stats.note_unanswered()
            probe_round.note_probe_ended()
            return
        self.reach.note_connected(pool)
        self._send(probe_round, candidate, connection, payload)

    def _send(
        self,
        probe_round: _ProbeRound,
        candidate: Candidate,
        connection: BackendConnection,
        payload: bytes,
    ) -> None:
        loop = connection.loop
        field_name = self.wire_format.response_id_field
        self.reach.note_probe_begun(candidate.registered.pool)
        response_future = connection.send(Exchange(payload, field_name))
        timer = loop.call_later(_PROBE_TIMEOUT_SECONDS, connection.close)
        sent_at = loop.time()
        response_future.add_done_callback(
            lambda future: self._on_response(
                probe_round, candidate, connection, future, timer, sent_at
            ),
        )

    def _on_response(
        self,
        probe_round: _ProbeRound,
        candidate: Candidate,
        connection: BackendConnection,
        response_future: 'asyncio.Future[Response]',
        timer: asyncio.TimerHandle,
        sent_at: float,
    ) -> None:
        timer.cancel()
        pool = candidate.registered.pool
        self.reach.note_probe_ended(pool)
        if (
            response_future.cancelled()
            or response_future.exception() is not None
        ):
            elapsed_seconds = connection.loop.time() - sent_at
            tried_at = self.reach.clock.monotonic() - elapsed_seconds
            self.reach.note_failed(pool, candidate.name, tried_at)
            candidate.stats.note_unanswered()
            probe_round.note_probe_ended()
            return
        self.reach.note_response(pool)
        response = response_future.result()
        statement = self.wire_format.statement(response)
        server = candidate.registered.server
        if statement.server not in {None, server.name}:
            candidate.stats.is_replaced = True
            connection.close()
            probe_round.note_probe_ended()
            return
        if statement.server is not None:
            self.on_statement(
                candidate,
                statement,
                ResponseKind.PROBE
                if statement.is_healthy
                else ResponseKind.REJECTION,
                connection.loop.time() - sent_at,
            )
        report = statement.load or LoadReport(0, 0, server.slots)
        candidate.stats.note_report(report, connection.loop.time())
        apply_keep_alive(connection, response)
        result = ProbeResult(
            candidate,
            report,
            connection,
            statement.is_healthy,
            connection.loop.time() - sent_at,
        )
        if probe_round.is_closed or not connection.is_clean:
            self.connections.keep_idle(candidate.address, connection)
        else:
            probe_round.results.append(result)
        probe_round.note_probe_ended()


def _check_task_error(task: 'asyncio.Task[None]') -> None:
    """Retrieve a task's exception, so that asyncio does not report it."""
    if not task.cancelled():
        error = task.exception()
        assert error is None or isinstance(error, ExchangeBrokenError), error
