"""The open connections of one listening address."""

__all__ = ('Listener',)

import asyncio
from dataclasses import dataclass, field

from zinniaturn.http1.callers import CallerConnection
from zinniaturn.http1.exchanges import Service

_SWEEP_SECONDS = 0.5
_BACKLOG = 1024


@dataclass(slots=True)
class Listener:
    """The open connections of one listening address."""

    service: Service
    connections: set[CallerConnection] = field(default_factory=set)
    server: asyncio.Server | None = None
    sweeper: 'asyncio.Task[None] | None' = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(loop, self.service, self.connections),
            host,
            port,
            backlog=_BACKLOG,
        )
        self.sweeper = loop.create_task(self._sweep())

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a whole answer."""
        return sum(len(each.exchanges) for each in self.connections)

    def is_idle(self) -> bool:
        """Return whether nothing is being received, served or sent."""
        return all(each.is_idle() for each in self.connections)

    def close(self) -> None:
        """Stop listening and close what is idle."""
        if self.server is not None:
            self.server.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            for connection in list(self.connections):
                connection.check_progress(loop.time(), self.service.limits)
