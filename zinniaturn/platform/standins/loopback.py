"""The base class of the stand-ins: a service on a loopback address."""

__all__ = ('LoopbackService',)

import asyncio
from dataclasses import dataclass, field

from zinniaturn.http1.exchanges import CallerExchange, Reply
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.listener import Listener


@dataclass(slots=True)
class LoopbackService:
    """An HTTP service that can be stopped abruptly."""

    host: str = '127.0.0.1'
    listener: Listener = field(init=False)
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_stopping: bool = False

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 picks a free one."""
        self.listener = Listener(self)
        await self.listener.start(self.host, port)

    async def stop(self) -> None:
        """Stop listening and abort all connections, the last ones too."""
        self.listener.close()
        self._abort_connections()
        if self.listener.accepting:
            await asyncio.wait(self.listener.accepting)
            self._abort_connections()

    def _abort_connections(self) -> None:
        for connection in list(self.listener.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @property
    def port(self) -> int:
        """Return the listening port."""
        return self.listener.port

    def handle(self, exchange: CallerExchange) -> Reply:
        """Return the response, or a coroutine that returns it."""
        raise NotImplementedError
