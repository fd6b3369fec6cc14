"""Connections to backend servers, kept for reuse."""

__all__ = ('Address', 'ConnectionPool', 'apply_keep_alive', 'parse_address')

import asyncio
import re
import socket

from zinniaturn.http1.backend import BackendConnection
from zinniaturn.http1.exceptions import ConnectFailedError
from zinniaturn.http1.messages import Response, find_field

Address = tuple[str, int]

_IDLE_SECONDS = 8.0
_STATED_SHARE = 0.8
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')
_USER_TIMEOUT_MS = 3000


def parse_address(text: str) -> Address:
    """
    Return host and port; raises `ValueError`.

    >>> parse_address('10.1.0.15:8641')
    ('10.1.0.15', 8641)
    """
    host, separator, port = text.rpartition(':')
    if not (separator and host):
        raise ValueError(f'"{text}" is not HOST:PORT')
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f'"{text}" has no valid port')
    return host, number


class ConnectionPool:
    """
    Idle connections by address, the last used taken first.

    They are opened from ``own_host``, if one is given.
    """

    def __init__(self, own_host: str = '') -> None:
        self.own = (own_host, 0) if own_host else None
        self.idle: dict[Address, list[BackendConnection]] = {}

    def take_idle(
        self, address: Address, now: float
    ) -> BackendConnection | None:
        """Return an idle connection that is still usable, if there is one."""
        kept = self.idle.get(address)
        while kept:
            connection = kept.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    async def connect(
        self,
        address: Address,
        timeout_seconds: float,
    ) -> BackendConnection:
        """Open a connection; raises `ConnectFailedError`."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_seconds):
                transport, protocol = await loop.create_connection(
                    lambda: BackendConnection(loop),
                    *address,
                    local_addr=self.own,
                )
        except (TimeoutError, OSError) as error:
            raise ConnectFailedError(repr(error)) from error
        endpoint = transport.get_extra_info('socket')
        endpoint.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _USER_TIMEOUT_MS,
        )
        return protocol

    def release(
        self,
        address: Address,
        connection: BackendConnection,
        answer: Response,
    ) -> None:
        """Keep a connection whose answer was read whole, else close it."""
        apply_keep_alive(connection, answer)
        self.keep_idle(address, connection)

    def keep_idle(
        self, address: Address, connection: BackendConnection
    ) -> None:
        """Keep a connection if another exchange may begin, else close it."""
        if connection.is_usable(connection.loop.time()):
            self.idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close_stale(self, now: float) -> None:
        """Close the idle connections that are too old for another request."""
        for address, kept in list(self.idle.items()):
            fresh = [each for each in kept if each.is_usable(now)]
            for connection in kept:
                if not connection.is_usable(now):
                    connection.close()
            if fresh:
                self.idle[address] = fresh
            else:
                self.idle.pop(address)

    def close(self) -> None:
        """Close every idle connection."""
        for kept in self.idle.values():
            for connection in kept:
                connection.close()
        self.idle.clear()


def apply_keep_alive(connection: BackendConnection, answer: Response) -> None:
    """Take over for how long the server keeps the connection."""
    now = connection.loop.time()
    connection.usable_until = now + _idle_seconds(answer)


def _idle_seconds(answer: Response) -> float:
    stated = find_field(answer.fields, b'keep-alive')
    match = _KEEP_ALIVE.search(stated) if stated else None
    if match is None:
        return _IDLE_SECONDS
    return min(_IDLE_SECONDS, int(match[1]) * _STATED_SHARE)
