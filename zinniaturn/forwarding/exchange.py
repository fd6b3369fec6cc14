"""One exchange: a request to one server and the head of its answer."""

__all__ = ('exchange',)

import asyncio

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
from zinniaturn.forwarding.framing import find_violation, is_self_delimited
from zinniaturn.forwarding.messages import BackendRequest, request_head
from zinniaturn.forwarding.response import BackendResponse
from zinniaturn.forwarding.upload import Upload
from zinniaturn.outcomes.table import Event, Phase

_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_MAX_INTERIM_ANSWERS = 8


async def exchange(
    pool: ConnectionPool,
    address: Address,
    request: BackendRequest,
    deadline: float,
) -> BackendResponse:
    """
    Send a request and return the head of the answer.

    ``deadline`` is in the loop's time and bounds the answer's body too. Raises
    `ExchangeError` with the phase that was reached. A cancellation closes the
    connection.
    """
    tracker = _Tracker(pool, address, request, deadline)
    try:
        async with asyncio.timeout_at(deadline):
            return await tracker.run()
    except ExchangeError:
        tracker.abort()
        raise
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
    """
    Runs an exchange and remembers how far it has come.

    The phase moves on before the bytes are handed to the transport: from then
    on they may reach the server.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        request: BackendRequest,
        deadline: float,
    ) -> None:
        self.pool = pool
        self.address = address
        self.request = request
        self.deadline = deadline
        self.phase = Phase.NOT_SENT
        self.connection: BackendConnection | None = None

    def error(self, event: Event, reason: str) -> ExchangeError:
        host, port = self.address
        return ExchangeError(f'{host}:{port}: {reason}', self.phase, event)

    def abort(self) -> None:
        if self.connection is not None:
            self.connection.close()

    async def run(self) -> BackendResponse:
        connection = await self._connect()
        connection.prepare(self.request.method)
        if self.request.stream is None:
            await self._send_small(connection)
            message, payload = await self._read_head(connection)
            upload = None
        else:
            upload = Upload(connection, self._send_stream(connection))
            message, payload = await self._read_while_sending(
                connection,
                upload,
            )
        flaw = find_violation(self.request, message)
        if flaw:
            raise self.error(Event.BAD_ANSWER, flaw)
        answer = BackendResponse(message, payload, connection, self.pool)
        answer.deadline = self.deadline
        answer.sent = self.phase
        answer.upload = upload
        answer.is_self_delimited = is_self_delimited(self.request, message)
        return answer

    async def _connect(self) -> BackendConnection:
        connection = self.pool.take_idle(
            self.address, self.request.at_most_once
        )
        if connection is None:
            try:
                connection = await self.pool.connect(self.address)
            except OSError as error:
                raise self.error(Event.CONNECT_FAILED, str(error)) from error
        self.connection = connection
        connection.check_open()
        if asyncio.get_running_loop().time() >= self.deadline:
            raise self.error(Event.DEADLINE_PASSED, 'deadline')
        return connection

    async def _send_small(self, connection: BackendConnection) -> None:
        head = request_head(self.request)
        self.phase = Phase.SENT_WHOLE
        connection.write(head + self.request.body)
        await connection.drain()

    async def _send_stream(self, connection: BackendConnection) -> None:
        assert self.request.stream is not None
        self.phase = Phase.SENT_PART
        connection.write(request_head(self.request))
        async for chunk in self.request.stream:
            connection.write(self._framed(chunk))
            await connection.drain()
        self.phase = Phase.SENT_WHOLE
        if self.request.length is None:
            connection.write(b'0\r\n\r\n')

    def _framed(self, chunk: bytes) -> bytes:
        if self.request.length is not None:
            return chunk
        return b'%x\r\n%b\r\n' % (len(chunk), chunk)

    async def _read_while_sending(
        self,
        connection: BackendConnection,
        upload: Upload,
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the answer's head, which may come before the body is sent."""
        reading = asyncio.ensure_future(self._read_head(connection))
        try:
            await asyncio.wait(
                (upload.task, reading),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not reading.done():
                await self._finish_upload(upload)
            return await reading
        except BaseException:
            upload.end()
            raise
        finally:
            reading.cancel()

    async def _finish_upload(self, upload: Upload) -> None:
        try:
            await upload.wait()
        except ClientError:
            return
        except Exception as error:
            raise self.error(Event.REQUEST_BROKEN, str(error)) from error

    async def _read_head(
        self,
        connection: BackendConnection,
    ) -> tuple[RawResponseMessage, StreamReader]:
        for _ in range(_MAX_INTERIM_ANSWERS):
            message, payload = await connection.protocol.read()
            if message.code >= _FINAL_STATUS:
                return message, payload
            if message.code == _SWITCHING_PROTOCOLS:
                break
        raise self.error(Event.BAD_ANSWER, 'only interim answers came')
