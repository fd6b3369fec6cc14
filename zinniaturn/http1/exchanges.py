"""A caller's request, its answer, and what brings one about."""

__all__ = ('CallerExchange', 'Reply', 'Service')

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Request, Response

if TYPE_CHECKING:
    from zinniaturn.http1.callers import CallerConnection

Reply = Response | Coroutine[None, None, Response]


@dataclass(slots=True, eq=False)
class CallerExchange:
    """A request of a connection and its answer, once there is one."""

    request: Request
    connection: 'CallerConnection'
    answer: Response | None = None
    task: 'asyncio.Task[None] | None' = None
    turn: 'asyncio.Future[None] | None' = None

    async def serve(self, outcome: Coroutine[None, None, Response]) -> None:
        """Await the answer and have it written in its turn."""
        self.answer = await outcome
        self.connection.flush()

    async def wait_for_turn(self) -> None:
        """Wait until every earlier request of the connection is answered."""
        if self.connection.exchanges[0] is not self:
            loop = asyncio.get_running_loop()
            self.turn = loop.create_future()
            await self.turn


class Service(Protocol):
    """What answers requests."""

    limits: CallerLimits
    is_stopping: bool

    def handle(self, exchange: CallerExchange) -> Reply:
        """Return the answer, or a coroutine that brings it."""
