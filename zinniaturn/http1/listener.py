"""Listening socket and its open connections."""

__all__ = ('Listener',)

import asyncio
from dataclasses import dataclass, field

from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.http1.callers import CallerConnection
from zinniaturn.http1.exchanges import Service
from zinniaturn.sockets import accept_waiting

_SWEEP_INTERVAL_SECONDS = 0.5
_ACCEPT_BACKLOG = 1024


@dataclass(slots=True)
class Listener:
    """
    A listening address and its open connections.

    ``byte_budget`` bounds the bodies that all of them receive at a time.
    ``accepting`` are the last connections, which waited as listening ended.
    """

    service: Service
    byte_budget: ByteBudget = field(default_factory=ByteBudget)
    connections: set[CallerConnection] = field(default_factory=set)
    server: asyncio.Server | None = None
    sweep_task: 'asyncio.Task[None] | None' = None
    accepting: 'set[asyncio.Task[None]]' = field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._build_connection, host, port, backlog=_ACCEPT_BACKLOG
        )
        self.sweep_task = loop.create_task(self._sweep_connections())

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a complete response."""
        return sum(len(connection.exchanges) for connection in self.connections)

    def is_idle(self) -> bool:
        """Return whether nothing is being accepted, received or served."""
        if self.accepting:
            return False
        return all(connection.is_idle() for connection in self.connections)

    def close(self) -> None:
        """Stop listening and close the idle connections."""
        if self.server is not None and self.server.is_serving():
            self._accept_last(self.server)
            self.server.close()
        if self.sweep_task is not None:
            self.sweep_task.cancel()
        for connection in list(self.connections):
            connection.close_if_idle()

    def _build_connection(self) -> CallerConnection:
        return CallerConnection(
            asyncio.get_running_loop(),
            self.service,
            self.connections,
            self.byte_budget,
        )

    def _accept_last(self, server: asyncio.Server) -> None:
        """Accept the connections that wait."""
        for task in accept_waiting(server, self._build_connection):
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    async def _sweep_connections(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            for connection in list(self.connections):
                connection.check_progress(loop.time(), self.service.limits)
