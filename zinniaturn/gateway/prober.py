"""Probing servers for their load, over kept connections."""

__all__ = ('ProbeAnswer', 'Prober')

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.gateway.dialect import Dialect
from zinniaturn.http1.backend import BackendConnection, Exchange
from zinniaturn.http1.connections import (
    Address,
    Connections,
    note_keep_alive,
)
from zinniaturn.http1.exceptions import ConnectFailedError, ExchangeBrokenError
from zinniaturn.http1.messages import Response
from zinniaturn.placing.probing import Candidate

_USUAL_WAIT_SECONDS = 0.012
_LONGEST_WAIT_SECONDS = 0.06
_ABANDON_SECONDS = 0.3
_HEALTHY = 200


@dataclass(slots=True)
class ProbeAnswer:
    """A server's answer and the connection that brought it."""

    candidate: Candidate
    report: LoadReport
    connection: BackendConnection
    is_healthy: bool = True


@dataclass(slots=True, eq=False)
class _Round:
    """The probes sent at once; `done` is set once enough are answered."""

    open_probes: int
    done: asyncio.Future[None]
    answers: list[ProbeAnswer] = field(default_factory=list)
    is_over: bool = False

    def close_one(self) -> None:
        self.open_probes -= 1
        if not self.open_probes:
            self.wake()

    def wake(self) -> None:
        if not self.done.done():
            self.done.set_result(None)

    def wake_if_answered(self) -> None:
        if self.answers:
            self.wake()


@dataclass(slots=True)
class Prober:
    """Probes servers and hands over those that answered soon."""

    connections: Connections
    dialect: Dialect

    async def probe(
        self,
        candidates: Sequence[Candidate],
        health_path: str,
    ) -> list[ProbeAnswer]:
        """
        Return the answers that came in time.

        Whoever gets them gives back their connections. A probe that is
        answered later only refreshes what is remembered of the server.
        """
        loop = asyncio.get_running_loop()
        if not candidates:
            return []
        current = _Round(len(candidates), loop.create_future())
        for candidate in candidates:
            self._probe_one(current, candidate, health_path, loop)
        timers = (
            loop.call_later(_USUAL_WAIT_SECONDS, current.wake_if_answered),
            loop.call_later(_LONGEST_WAIT_SECONDS, current.wake),
        )
        try:
            await current.done
        except asyncio.CancelledError:
            for answer in current.answers:
                self.give_back(answer)
            raise
        finally:
            current.is_over = True
            for timer in timers:
                timer.cancel()
        return current.answers

    def give_back(self, probed: ProbeAnswer) -> None:
        """Keep the connection of an answer that is not used any further."""
        self.connections.keep(probed.candidate.address, probed.connection)

    def _probe_one(
        self,
        current: _Round,
        candidate: Candidate,
        health_path: str,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        address = candidate.address
        payload = self.dialect.load_probe(health_path, address[0])
        connection = self.connections.take(address, loop.time())
        if connection is None:
            task = loop.create_task(
                self._connect_and_probe(current, candidate, address, payload),
            )
            task.add_done_callback(_swallow)
        else:
            self._send(current, candidate, connection, payload)

    async def _connect_and_probe(
        self,
        current: _Round,
        candidate: Candidate,
        address: Address,
        payload: bytes,
    ) -> None:
        try:
            connection = await self.connections.connect(
                address,
                _ABANDON_SECONDS,
            )
        except ConnectFailedError:
            candidate.stats.note_unanswered()
            current.close_one()
            return
        self._send(current, candidate, connection, payload)

    def _send(
        self,
        current: _Round,
        candidate: Candidate,
        connection: BackendConnection,
        payload: bytes,
    ) -> None:
        loop = connection.loop
        field_name = self.dialect.answer_id_field
        answer = connection.send(Exchange(payload, field_name))
        timer = loop.call_later(_ABANDON_SECONDS, connection.close)
        answer.add_done_callback(
            lambda future: self._receive(
                current, candidate, connection, future, timer
            ),
        )

    def _receive(
        self,
        current: _Round,
        candidate: Candidate,
        connection: BackendConnection,
        answer: 'asyncio.Future[Response]',
        timer: asyncio.TimerHandle,
    ) -> None:
        timer.cancel()
        if answer.cancelled() or answer.exception() is not None:
            candidate.stats.note_unanswered()
            current.close_one()
            return
        reply = answer.result()
        report = self.dialect.load_report(reply)
        server = candidate.registered.server
        if self.dialect.answering_server(reply) not in {None, server.name}:
            candidate.stats.is_replaced = True
            connection.close()
            current.close_one()
            return
        if report is None:
            report = LoadReport(0, 0, server.slots)
        candidate.stats.note_report(report, connection.loop.time())
        note_keep_alive(connection, reply)
        probed = ProbeAnswer(
            candidate, report, connection, reply.status == _HEALTHY
        )
        if current.is_over or not connection.is_clean:
            self.connections.keep(candidate.address, connection)
        else:
            current.answers.append(probed)
        current.close_one()


def _swallow(task: 'asyncio.Task[None]') -> None:
    """Take the outcome of a task that handles its own errors."""
    if not task.cancelled():
        error = task.exception()
        assert error is None or isinstance(error, ExchangeBrokenError), error
