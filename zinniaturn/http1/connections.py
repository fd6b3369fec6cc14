"""Pool of connections to backend servers."""

__all__ = ('Address', 'ConnectionPool', 'apply_keep_alive', 'parse_address')

import asyncio
import math
import re
import socket

from zinniaturn.http1.backend import BackendConnection
from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.http1.connection_slots import ConnectionSlots
from zinniaturn.http1.exceptions import ConnectFailedError
from zinniaturn.http1.messages import Response, find_field

Address = tuple[str, int]

_MAX_IDLE_SECONDS = 8.0
_KEEP_ALIVE_TIMEOUT_SHARE = 0.8
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d+)')
_TCP_USER_TIMEOUT_MS = 3000
_SHOWN_CHARACTERS = 80


def parse_address(text: str) -> Address:
    """
    Return host and port; raises `ValueError`.

    >>> parse_address('10.1.0.15:8641')
    ('10.1.0.15', 8641)
    """
    host, separator, port = text.rpartition(':')
    if not (separator and host):
        raise ValueError(f'"{text[:_SHOWN_CHARACTERS]}" is not HOST:PORT')
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f'"{text[:_SHOWN_CHARACTERS]}" has no valid port')
    return host, number


class ConnectionPool:
    """
    Idle connections by address, reused in last-in, first-out order.

    Connections are opened from ``own_host`` if it is given. ``byte_budget``
    bounds the bodies that all of them receive at a time. Of ``most`` open
    connections, an idle one is closed for a new one, which else waits.
    """

    def __init__(
        self,
        own_host: str = '',
        byte_budget: ByteBudget | None = None,
        most: float = math.inf,
    ) -> None:
        self.slots = ConnectionSlots(most, self._close_one_idle)
        self.byte_budget = byte_budget or ByteBudget()
        self.local_address = (own_host, 0) if own_host else None
        self.idle: dict[Address, list[BackendConnection]] = {}

    def take_idle(
        self, address: Address, now: float, request_id: bytes | None = None
    ) -> BackendConnection | None:
        """
        Return an idle connection that is still usable, if there is one.

        With ``request_id`` it may carry the request with that id.
        """
        idle_connections = self.idle.get(address, [])
        for connection in reversed(idle_connections.copy()):
            if not connection.is_usable(now):
                idle_connections.remove(connection)
                connection.close()
            elif connection.rejections.allow(request_id):
                idle_connections.remove(connection)
                return connection
        return None

    def take_expiring(
        self, address: Address, until: float
    ) -> BackendConnection | None:
        """Return an idle connection that is usable, but not up to ``until``."""
        idle_connections = self.idle.get(address, [])
        for connection in idle_connections:
            is_usable = connection.is_usable(connection.loop.time())
            if is_usable and connection.usable_until <= until:
                idle_connections.remove(connection)
                return connection
        return None

    async def connect(
        self,
        address: Address,
        timeout_seconds: float,
    ) -> BackendConnection:
        """
        Open a connection; raises `ConnectFailedError`.

        It is a `NoSlotError` if as many are open as may be.
        """
        loop = asyncio.get_running_loop()
        await self.slots.acquire(timeout_seconds)
        try:
            async with asyncio.timeout(timeout_seconds):
                transport, protocol = await loop.create_connection(
                    lambda: BackendConnection(loop, self.byte_budget),
                    *address,
                    local_addr=self.local_address,
                )
        except (TimeoutError, OSError) as error:
            self.slots.release()
            raise ConnectFailedError(repr(error)) from error
        except asyncio.CancelledError:
            self.slots.release()
            raise
        if protocol.is_lost:
            self.slots.release()
        else:
            protocol.on_closed = self.slots.release
        endpoint = transport.get_extra_info('socket')
        endpoint.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _TCP_USER_TIMEOUT_MS,
        )
        return protocol

    def release(
        self,
        address: Address,
        connection: BackendConnection,
        response: Response,
    ) -> None:
        """Return a connection to the pool after a complete response."""
        apply_keep_alive(connection, response)
        self.keep_idle(address, connection)

    def keep_idle(
        self, address: Address, connection: BackendConnection
    ) -> None:
        """
        Add a connection to the pool if it is usable, else close it.

        It is closed too if a new one waits for its place.
        """
        is_needed = not self.slots.waiting
        if is_needed and connection.is_usable(connection.loop.time()):
            self.idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close_stale(self, now: float) -> None:
        """Close the idle connections that are no longer usable."""
        for address, idle_connections in list(self.idle.items()):
            usable = [
                connection
                for connection in idle_connections
                if connection.is_usable(now)
            ]
            for connection in idle_connections:
                if not connection.is_usable(now):
                    connection.close()
            if usable:
                self.idle[address] = usable
            else:
                self.idle.pop(address)

    def _close_one_idle(self) -> bool:
        """Close an idle connection; return whether there was one."""
        while self.idle:
            address = next(iter(self.idle))
            idle_connections = self.idle[address]
            if idle_connections:
                idle_connections.pop(0).close()
                return True
            self.idle.pop(address)
        return False

    def close(self) -> None:
        """Close every idle connection."""
        for idle_connections in self.idle.values():
            for connection in idle_connections:
                connection.close()
        self.idle.clear()


def apply_keep_alive(
    connection: BackendConnection,
    response: Response,
) -> None:
    """Set the connection's expiry from the response's ``Keep-Alive``."""
    now = connection.loop.time()
    connection.usable_until = now + _max_idle_seconds(response)


def _max_idle_seconds(response: Response) -> float:
    """Return a time that is shorter than the server's own timeout."""
    keep_alive = find_field(response.fields, b'keep-alive')
    match = _KEEP_ALIVE_TIMEOUT.search(keep_alive) if keep_alive else None
    if match is None:
        return _MAX_IDLE_SECONDS
    return min(_MAX_IDLE_SECONDS, int(match[1]) * _KEEP_ALIVE_TIMEOUT_SHARE)
