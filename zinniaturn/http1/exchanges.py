"""A caller's request with its response, and the interface of services."""

__all__ = ('CallerExchange', 'Reply', 'Service', 'failure_response')

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Request, Response

if TYPE_CHECKING:
    from zinniaturn.http1.callers import CallerConnection

Reply = Response | Coroutine[None, None, Response]


@dataclass(slots=True, eq=False)
class CallerExchange:
    """
    A request of a connection, and its response once there is one.

    ``turn`` is resolved when all earlier requests are answered. ``held_bytes``
    is what the exchange counts in the connection's account.
    """

    request: Request
    connection: 'CallerConnection'
    response: Response | None = None
    task: 'asyncio.Task[None] | None' = None
    turn: 'asyncio.Future[None] | None' = None
    held_bytes: int = 0

    @property
    def response_bytes(self) -> int:
        """Return the length of the response's body, 0 without a response."""
        return 0 if self.response is None else len(self.response.body)

    @property
    def peer_host(self) -> str:
        """Return the address of the client, empty once it has left."""
        transport = self.connection.transport
        peer = (
            None if transport is None else transport.get_extra_info('peername')
        )
        return peer[0] if peer else ''

    async def serve(self, reply: Coroutine[None, None, Response]) -> None:
        """
        Await the response and let the connection write it in order.

        An unexpected exception is reported to the event loop and answered with
        500, which says nothing of whether the request has run.
        """
        try:
            self.response = await reply
        except Exception as error:
            self.response = failure_response(error)
        self.connection.finish(self)

    async def wait_for_turn(self) -> None:
        """Wait until every earlier request of the connection is answered."""
        if self.connection.exchanges[0] is not self:
            loop = asyncio.get_running_loop()
            self.turn = loop.create_future()
            await self.turn


def failure_response(error: Exception) -> Response:
    """Report an unexpected exception; return the response to its request."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'a request failed', 'exception': error}
    )
    return Response(HTTPStatus.INTERNAL_SERVER_ERROR, b'', [], closes=True)


class Service(Protocol):
    """Handler of the requests of a listener."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on requests."""

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should be closed after the response."""

    def handle(self, exchange: CallerExchange) -> Reply:
        """Return the response, or a coroutine that returns it."""
