"""
Attempts of one request: server selection, the exchange, and hedging.

A hedged request is a second attempt of an idempotent request at another
server, sent once the first attempt has taken longer than most requests do. The
first response is used and the other attempt is cancelled.

References
----------
.. [1] J. Dean and L. A. Barroso, "The tail at scale", Communications of the
   ACM, 2013.

"""

__all__ = ('Attempt', 'AttemptRunner')

import asyncio
from dataclasses import dataclass

from zinniaturn.choosing import Completion, PoolState, RejectedError, Ticket
from zinniaturn.choosing.server_state import ServerState
from zinniaturn.entry.requests import CallerRequest
from zinniaturn.entry.state import EntryState
from zinniaturn.explain.decisions import RequestHedged, ServerChosen
from zinniaturn.forwarding import BackendResponse, ExchangeError, exchange
from zinniaturn.forwarding.load_reports import (
    is_leaving,
    is_shed,
    parse_load_report,
)
from zinniaturn.outcomes import Event, Phase

_MIN_SERVER_ERROR_STATUS = 500


@dataclass(slots=True)
class Attempt:
    """A response whose body has not been read yet, and its server."""

    server: ServerState
    response: BackendResponse
    completion: Completion


class AttemptRunner:
    """Sends one request to servers of its pool, hedged where allowed."""

    def __init__(
        self,
        state: EntryState,
        parsed: CallerRequest,
        pool: PoolState,
    ) -> None:
        self.state = state
        self.parsed = parsed
        self.pool = pool
        self.tried_servers: set[str] = set()
        self.sent_count = 0
        self.started = state.clock.monotonic()

    async def run(self) -> Attempt:
        """
        Return the first response of one attempt, or of two if hedged.

        Raises `RejectedError` if no server was available in time and
        `ExchangeError` if the attempts failed.
        """
        ticket = await self._wait_for_server()
        first = self._start_attempt(ticket)
        try:
            return await self._first_response(first)
        except asyncio.CancelledError:
            await self._cancel(first)
            raise

    def finish(self, attempt: Attempt) -> None:
        """Release the server once the response was read or discarded."""
        self.pool.release(attempt.server, attempt.completion)

    async def _wait_for_server(self) -> Ticket:
        granted = asyncio.Event()
        ticket = Ticket(
            self.parsed.deadline,
            exclude=self.tried_servers,
            on_granted=granted.set,
        )
        self.pool.admit(ticket)
        if ticket.server is None:
            await self._wait_until_granted(ticket, granted)
        assert ticket.server is not None
        self.tried_servers.add(ticket.server.server.name)
        self._record_server_choice(ticket.server)
        return ticket

    def _record_server_choice(self, server: ServerState) -> None:
        if server.leaving or server.server.leaving:
            name = self.pool.pool.name
            self.state.metrics.sent_to_leaving.inc({'pool': name})
        self.state.recorder.record(
            ServerChosen(
                self.parsed.request_id,
                self.pool.pool.name,
                server.server.name,
                self.sent_count + 1,
                server.in_flight,
                type(self.pool.policy).__name__,
            ),
        )

    async def _wait_until_granted(
        self, ticket: Ticket, granted: asyncio.Event
    ) -> None:
        remaining = ticket.deadline - self.state.clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                await granted.wait()
        except TimeoutError as error:
            self.pool.abandon(ticket)
            raise RejectedError(
                'the deadline passed before a server was free',
                'deadline-not-run',
            ) from error
        except asyncio.CancelledError:
            self.pool.abandon(ticket)
            raise

    async def _first_response(self, first: asyncio.Future[Attempt]) -> Attempt:
        delay = self.pool.hedge_delay()
        if delay is None or not self._may_hedge():
            return await first
        await asyncio.wait((first,), timeout=delay)
        if first.done():
            return await first
        ticket = Ticket(self.parsed.deadline, exclude=self.tried_servers)
        if not self._admit_hedge(ticket):
            return await first
        self._record_hedge(ticket, delay)
        return await self._race(first, self._start_attempt(ticket))

    def _record_hedge(self, ticket: Ticket, delay: float) -> None:
        assert ticket.server is not None
        self.state.recorder.record(
            RequestHedged(
                self.parsed.request_id,
                self.pool.pool.name,
                ticket.server.server.name,
                delay,
            ),
        )

    def _may_hedge(self) -> bool:
        return self.parsed.idempotent and self.parsed.can_resend

    def _admit_hedge(self, ticket: Ticket) -> bool:
        if len(self.pool.waiting) or not self.pool.hedge(ticket):
            return False
        assert ticket.server is not None
        self.tried_servers.add(ticket.server.server.name)
        return True

    async def _race(
        self,
        first: asyncio.Future[Attempt],
        second: asyncio.Future[Attempt],
    ) -> Attempt:
        running = {first, second}
        try:
            while running:
                done, running = await asyncio.wait(
                    running,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answered = [
                    ended for ended in done if ended.exception() is None
                ]
                for extra_attempt in answered[1:]:
                    await self._cancel(extra_attempt)
                if answered:
                    return answered[0].result()
            raise _furthest_progressed_error(first, second)
        finally:
            for unfinished in running:
                await self._cancel(unfinished)

    async def _cancel(self, attempt: asyncio.Future[Attempt]) -> None:
        attempt.cancel()
        await asyncio.wait((attempt,))
        if not attempt.cancelled() and attempt.exception() is None:
            attempt.result().response.abandon()
            self.finish(attempt.result())

    def _start_attempt(self, ticket: Ticket) -> asyncio.Future[Attempt]:
        attempt = asyncio.ensure_future(self._send(ticket))
        started = self.state.clock.monotonic()
        attempt.add_done_callback(
            lambda ended: self._release_failed(ticket, ended, started),
        )
        return attempt

    def _release_failed(
        self,
        ticket: Ticket,
        attempt: asyncio.Future[Attempt],
        started: float,
    ) -> None:
        """Release the server of an attempt that ended without a response."""
        error = None if attempt.cancelled() else attempt.exception()
        if error is None and not attempt.cancelled():
            return
        assert ticket.server is not None
        event = error.event if isinstance(error, ExchangeError) else None
        completion = Completion(
            succeeded=False,
            latency_seconds=self.state.clock.monotonic() - started,
            shed=event is Event.SERVER_SHED,
            cancelled=event in {None, Event.DEADLINE_PASSED},
            timed_out=event is Event.DEADLINE_PASSED,
        )
        self.pool.release(ticket.server, completion)

    async def _send(self, ticket: Ticket) -> Attempt:
        server = ticket.server
        assert server is not None
        self.sent_count += 1
        started = self.state.clock.monotonic()
        response = await self._exchange(server)
        completion = self._completion(response, started)
        if completion.shed:
            raise _shed_error(server, response)
        return Attempt(server, response, completion)

    async def _exchange(self, server: ServerState) -> BackendResponse:
        loop = asyncio.get_running_loop()
        remaining = self.parsed.deadline - self.state.clock.monotonic()
        return await exchange(
            self.state.connections,
            (server.server.host, server.server.port),
            self.parsed.backend_request,
            loop.time() + remaining,
        )

    def _completion(
        self, response: BackendResponse, started: float
    ) -> Completion:
        headers = response.message.headers
        return Completion(
            succeeded=response.message.code < _MIN_SERVER_ERROR_STATUS,
            latency_seconds=self.state.clock.monotonic() - started,
            report=parse_load_report(headers),
            shed=is_shed(response.message),
            leaving=is_leaving(headers),
        )


def _shed_error(
    server: ServerState, response: BackendResponse
) -> ExchangeError:
    response.discard()
    return ExchangeError(
        f'{server.server.name} shed the request',
        response.sent,
        Event.SERVER_SHED,
    )


def _furthest_progressed_error(
    *attempts: asyncio.Future[Attempt],
) -> BaseException:
    errors = [attempt.exception() for attempt in attempts]
    exchanges = [error for error in errors if isinstance(error, ExchangeError)]
    return max(exchanges, key=_progress)


def _progress(error: ExchangeError) -> tuple[bool, Phase]:
    return error.event is not Event.SERVER_SHED, error.phase
