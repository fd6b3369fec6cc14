"""Exchange of a request and a response with one backend server."""

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

_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_MAX_INTERIM_RESPONSES = 8


async def exchange(
    pool: ConnectionPool,
    address: Address,
    request: BackendRequest,
    deadline: float,
) -> BackendResponse:
    """
    Send a request and return the response once its head has arrived.

    ``deadline`` is in the event loop's time and applies to the response body
    too. Raises `ExchangeError` with the phase that was reached. Cancellation
    closes the connection.
    """
    runner = _ExchangeRunner(pool, address, request, deadline)
    try:
        async with asyncio.timeout_at(deadline):
            return await runner.run()
    except ExchangeError:
        runner.abort()
        raise
    except TimeoutError as error:
        runner.abort()
        raise runner.error(Event.DEADLINE_PASSED, 'deadline') from error
    except (ClientError, OSError) as error:
        runner.abort()
        raise runner.error(Event.CONNECTION_LOST, str(error)) from error
    except HttpProcessingError as error:
        runner.abort()
        raise runner.error(Event.BAD_ANSWER, str(error)) from error
    except BaseException:
        runner.abort()
        raise


class _ExchangeRunner:
    """
    Runs an exchange and tracks its phase.

    The phase advances before the bytes are passed to the transport, because
    from then on they may reach the server.
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
            await self._send_whole(connection)
            message, payload = await self._read_head(connection)
            upload = None
        else:
            upload = Upload(connection, self._send_stream(connection))
            message, payload = await self._read_while_sending(
                connection,
                upload,
            )
        violation = find_violation(self.request, message)
        if violation:
            raise self.error(Event.BAD_ANSWER, violation)
        response = BackendResponse(message, payload, connection, self.pool)
        response.deadline = self.deadline
        response.sent = self.phase
        response.upload = upload
        response.is_self_delimited = is_self_delimited(self.request, message)
        return response

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

    async def _send_whole(self, connection: BackendConnection) -> None:
        head = request_head(self.request)
        self.phase = Phase.SENT_WHOLE
        connection.write(head + self.request.body)
        await connection.drain()

    async def _send_stream(self, connection: BackendConnection) -> None:
        assert self.request.stream is not None
        self.phase = Phase.SENT_PART
        connection.write(request_head(self.request))
        async for chunk in self.request.stream:
            connection.write(self._frame(chunk))
            await connection.drain()
        self.phase = Phase.SENT_WHOLE
        if self.request.length is None:
            connection.write(b'0\r\n\r\n')

    def _frame(self, chunk: bytes) -> bytes:
        if self.request.length is not None:
            return chunk
        return b'%x\r\n%b\r\n' % (len(chunk), chunk)

    async def _read_while_sending(
        self,
        connection: BackendConnection,
        upload: Upload,
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head, which may arrive before the body is sent."""
        head_task = asyncio.ensure_future(self._read_head(connection))
        try:
            await asyncio.wait(
                (upload.task, head_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not head_task.done():
                await self._finish_upload(upload)
            return await head_task
        except BaseException:
            upload.stop()
            raise
        finally:
            head_task.cancel()

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
        for _ in range(_MAX_INTERIM_RESPONSES):
            message, payload = await connection.protocol.read()
            if message.code >= _FIRST_FINAL_STATUS:
                return message, payload
            if message.code == _SWITCHING_PROTOCOLS:
                break
        raise self.error(Event.BAD_ANSWER, 'only interim answers came')
