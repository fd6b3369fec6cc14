"""A backend server's response whose body is still to be read."""

__all__ = ('BackendResponse',)

import asyncio
import math
from collections.abc import AsyncIterator

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from zinniaturn.forwarding.connections import (
    BackendConnection,
    ConnectionPool,
)
from zinniaturn.forwarding.exceptions import ExchangeError
from zinniaturn.forwarding.upload import Upload
from zinniaturn.outcomes.table import Event, Phase


class BackendResponse:
    """
    The head of a response and the stream of its body.

    Its holder must read the body to its end or call `abandon` or `discard`.
    The body must be complete by ``deadline``, in the event loop's time.
    ``sent`` is the phase of the request when the head arrived. If
    ``is_self_delimited`` is false, the body ends when the connection closes.
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
        self.deadline = math.inf
        self.sent = Phase.SENT_WHOLE
        self.upload: Upload | None = None
        self.is_self_delimited = True
        self.buffered_chunks: list[bytes] = []

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `ExchangeError` if it is cut short."""
        for buffered in self.buffered_chunks:
            yield buffered
        self.buffered_chunks = []
        while not self.payload.at_eof():
            chunk = await self._read()
            if chunk:
                yield chunk
        if self.payload.exception() is not None:
            error = ConnectionResetError('the connection was reset')
            raise self._cut_error(Event.CONNECTION_LOST, error)
        self._stop_upload()
        self.pool.release(self.connection)

    def put_back(self, chunks: list[bytes]) -> None:
        """Make `read_chunks` begin with chunks that were read already."""
        self.buffered_chunks = chunks

    @property
    def is_body_received(self) -> bool:
        """Return whether the body has arrived, so that no read blocks."""
        is_whole = self.payload.is_eof() and self.payload.exception() is None
        return is_whole and not self.buffered_chunks

    def take_body(self) -> bytes:
        """Return a body that has arrived and release the connection."""
        body = self.payload.read_nowait()
        self._stop_upload()
        self.pool.release(self.connection)
        return body

    def abandon(self) -> None:
        """Close the connection, so that the rest is never read from it."""
        self._stop_upload()
        self.connection.close()

    def discard(self) -> None:
        """Release the connection if the body has arrived, else close it."""
        if self.payload.is_eof():
            self.payload.read_nowait()
            self._stop_upload()
            self.pool.release(self.connection)
        else:
            self.abandon()

    def _stop_upload(self) -> None:
        if self.upload is not None:
            self.upload.stop()

    async def _read(self) -> bytes:
        try:
            async with asyncio.timeout_at(self.deadline):
                return await self.payload.readany()
        except TimeoutError as error:
            raise self._cut_error(Event.DEADLINE_PASSED, error) from error
        except (ClientError, OSError) as error:
            raise self._cut_error(Event.CONNECTION_LOST, error) from error
        except HttpProcessingError as error:
            raise self._cut_error(Event.BAD_ANSWER, error) from error

    def _cut_error(self, event: Event, error: Exception) -> ExchangeError:
        self.abandon()
        return ExchangeError(
            f'the answer was cut short: {error}',
            Phase.ANSWER_BEGUN,
            event,
        )
