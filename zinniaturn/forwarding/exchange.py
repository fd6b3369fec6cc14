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
from zinniaturn.forwarding.upload import Upload
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
        upload: Upload | None = None,
    ) -> None:
        self.message = message
        self.payload = payload
        self.connection = connection
        self.pool = pool
        self.upload = upload

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
        self._end_upload()
        self.pool.give_back(self.connection)

    def abandon(self) -> None:
        """Close the connection, so that no one else reads what is left."""
        self._end_upload()
        self.connection.close()

    def _end_upload(self) -> None:
        if self.upload is not None:
            self.upload.end()


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
    except (ClientError, OSError) as error:
        tracker.abort()
        raise tracker.error(Event.CONNECTION_LOST, str(error)) from error
    except HttpProcessingError as error:
        tracker.abort()
        raise tracker.error(Event.BAD_ANSWER, str(error)) from error
    except BaseException:
        tracker.abort()
        raise


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
        if self.request.stream is None:
            await self._send(connection)
            message, payload = await self._read_head(connection)
            return Answer(message, payload, connection, self.pool)
        upload = Upload(connection, self._send(connection))
        message, payload = await self._read_while_sending(connection, upload)
        return Answer(message, payload, connection, self.pool, upload)

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

    async def _read_while_sending(
        self,
        connection: BackendConnection,
        upload: Upload,
    ) -> tuple[RawResponseMessage, StreamReader]:
        reading = asyncio.ensure_future(self._read_head(connection))
        try:
            await asyncio.wait(
                (upload.task, reading),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not reading.done():
                await upload.wait()
            return await reading
        except BaseException:
            upload.end()
            raise
        finally:
            reading.cancel()

    async def _read_head(
        self,
        connection: BackendConnection,
    ) -> tuple[RawResponseMessage, StreamReader]:
        while True:
            message, payload = await connection.protocol.read()
            if message.code >= 200:
                return message, payload
