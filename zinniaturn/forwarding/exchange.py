"""One exchange: a request to one server and the head of its answer."""

__all__ = ('Answer', 'exchange')

import asyncio
from collections.abc import AsyncIterator

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from zinniaturn.forwarding.connections import (
    Address,
    BackendConnection,
    ConnectionPool,
)
from zinniaturn.forwarding.exceptions import ExchangeError
from zinniaturn.forwarding.messages import BackendRequest, request_head
from zinniaturn.outcomes.table import Event, Phase


class Answer:
    """
    The head of an answer and the stream of its body.

    Whoever has it must read the body to its end or call `abandon`.
    """

    def __init__(
        self,
        message: RawResponseMessage,
        payload: StreamReader,
        connection: BackendConnection,
        pool: ConnectionPool,
    ) -> None:
        self.message = message
        self.payload = payload
        self.connection = connection
        self.pool = pool

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `ExchangeError` where it is cut short."""
        try:
            while not self.payload.at_eof():
                chunk = await self.payload.readany()
                if chunk:
                    yield chunk
        except (ClientError, HttpProcessingError, OSError) as error:
            self.abandon()
            raise ExchangeError(
                f'the answer was cut short: {error}',
                Phase.ANSWER_BEGUN,
                Event.CONNECTION_LOST,
            ) from error
        self.pool.give_back(self.connection)

    def abandon(self) -> None:
        """Close the connection, so that no one else reads what is left."""
        self.connection.close()


async def exchange(
    pool: ConnectionPool,
    address: Address,
    request: BackendRequest,
    deadline: float,
) -> Answer:
    """
    Send a request and return the head of the answer.

    ``deadline`` is in the loop's time. Raises `ExchangeError` with the phase
    that was reached. A cancellation closes the connection.
    """
    tracker = _Tracker(pool, address, request)
    try:
        async with asyncio.timeout_at(deadline):
            return await tracker.run()
    except TimeoutError as error:
        tracker.abort()
        raise tracker.error(Event.DEADLINE_PASSED, 'deadline') from error
    except asyncio.CancelledError:
        tracker.abort()
        raise
    except (ClientError, OSError) as error:
        tracker.abort()
        raise tracker.error(Event.CONNECTION_LOST, str(error)) from error
    except HttpProcessingError as error:
        tracker.abort()
        raise tracker.error(Event.BAD_ANSWER, str(error)) from error


class _Tracker:
    """Runs an exchange and remembers how far it has come."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        request: BackendRequest,
    ) -> None:
        self.pool = pool
        self.address = address
        self.request = request
        self.phase = Phase.NOT_SENT
        self.connection: BackendConnection | None = None

    def error(self, event: Event, reason: str) -> ExchangeError:
        host, port = self.address
        return ExchangeError(f'{host}:{port}: {reason}', self.phase, event)

    def abort(self) -> None:
        if self.connection is not None:
            self.connection.close()

    async def run(self) -> Answer:
        connection = await self._connect()
        connection.prepare(self.request.method)
        sending = self._send(connection)
        if self.request.stream is None:
            await sending
            message, payload = await self._read_head(connection)
        else:
            message, payload = await self._send_while_reading(
                connection,
                asyncio.ensure_future(sending),
            )
        return Answer(message, payload, connection, self.pool)

    async def _connect(self) -> BackendConnection:
        connection = self.pool.take_idle(self.address)
        if connection is None:
            try:
                connection = await self.pool.connect(self.address)
            except OSError as error:
                raise self.error(Event.CONNECT_FAILED, str(error)) from error
        self.connection = connection
        return connection

    async def _send(self, connection: BackendConnection) -> None:
        head = request_head(self.request)
        if self.request.stream is None:
            connection.write(head + self.request.body)
            self.phase = Phase.SENT_WHOLE
            await connection.drain()
            return
        connection.write(head)
        self.phase = Phase.SENT_PART
        async for chunk in self.request.stream:
            connection.write(self._framed(chunk))
            await connection.drain()
        if self.request.length is None:
            connection.write(b'0\r\n\r\n')
        self.phase = Phase.SENT_WHOLE

    def _framed(self, chunk: bytes) -> bytes:
        if self.request.length is not None:
            return chunk
        return b'%x\r\n%b\r\n' % (len(chunk), chunk)

    async def _send_while_reading(
        self,
        connection: BackendConnection,
        sending: asyncio.Future[None],
    ) -> tuple[RawResponseMessage, StreamReader]:
        reading = asyncio.ensure_future(self._read_head(connection))
        try:
            await asyncio.wait(
                (sending, reading),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not reading.done():
                await sending
            head = await reading
            if not sending.done():
                connection.protocol.force_close()
            return head
        finally:
            reading.cancel()
            sending.cancel()

    async def _read_head(
        self,
        connection: BackendConnection,
    ) -> tuple[RawResponseMessage, StreamReader]:
        while True:
            message, payload = await connection.protocol.read()
            if message.code >= 200:
                return message, payload
