"""Listening socket and its open connections."""

__all__ = ('Listener',)

import asyncio
import socket
from dataclasses import dataclass, field

from zinniaturn.http1.callers import CallerConnection
from zinniaturn.http1.client_account import Door
from zinniaturn.http1.exchanges import Service
from zinniaturn.http1.stalls import close_if_stalled
from zinniaturn.sockets import accept_waiting

_SWEEP_INTERVAL_SECONDS = 0.5
_ACCEPT_BACKLOG = 1024
# So many descriptors may be open above the limit, until the clients that give
# way for them are closed.
_ACCEPTED_AT_ONCE = 16
# The kernel doubles these for its own needs. Left alone, it would receive up to
# 32 MB for a connection that isn't read. 64 KB allow for 64 Mbit/s at 8 ms.
_RECEIVE_BUFFER_BYTES = 64 * 1024
_SEND_BUFFER_BYTES = 128 * 1024


@dataclass(slots=True)
class Listener:
    """
    A listening address and its open connections.

    ``door`` counts what the connections hold. ``accepting`` are the last
    connections, which waited as listening ended.
    """

    service: Service
    door: Door = field(default_factory=Door.without_limits)
    connections: set[CallerConnection] = field(default_factory=set)
    server: asyncio.Server | None = None
    sweep_task: 'asyncio.Task[None] | None' = None
    accepting: 'set[asyncio.Task[None]]' = field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        endpoint = _bind(host, port)
        self.server = await loop.create_server(
            self._build_connection, sock=endpoint, backlog=_ACCEPTED_AT_ONCE
        )
        # The event loop has taken the number for both meanings.
        endpoint.listen(_ACCEPT_BACKLOG)
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
            self.door,
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
                close_if_stalled(connection, loop.time(), self.service.limits)


def _bind(host: str, port: int) -> socket.socket:
    """Return a bound socket; raises `OSError`."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    endpoint = socket.socket(family, socket.SOCK_STREAM)
    try:
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit these.
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        endpoint.bind((host, port))
    except OSError:
        endpoint.close()
        raise
    return endpoint
