"""What the kernel holds that the event loop has not read yet."""

__all__ = ('accept_waiting', 'unread_bytes')

import array
import asyncio
import fcntl
import socket
import termios
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # A gateway process does without the memory that this module takes.
    import ssl

_ProtocolFactory = Callable[[], asyncio.BaseProtocol]


def unread_bytes(transport: asyncio.Transport) -> int:
    """
    Return how many bytes have arrived that the event loop has not read.

    It is 0 for a transport without an open socket.
    """
    endpoint = transport.get_extra_info('socket')
    if endpoint is None or endpoint.fileno() < 0:
        return 0
    count = array.array('i', [0])
    fcntl.ioctl(endpoint.fileno(), termios.FIONREAD, count)
    return count[0]


def accept_waiting(
    server: asyncio.Server,
    factory: _ProtocolFactory,
    tls_context: 'ssl.SSLContext | None' = None,
) -> 'list[asyncio.Task[None]]':
    """
    Accept the connections that wait at a server's listening sockets.

    Closing a listening socket resets them. Returns a task for each connection,
    which is done once its protocol has it, or it has failed.
    """
    loop = asyncio.get_running_loop()
    return [
        loop.create_task(_hand_over(connection, factory, tls_context))
        for endpoint in server.sockets
        for connection in _accept_all(endpoint)
    ]


async def _hand_over(
    connection: socket.socket,
    factory: _ProtocolFactory,
    tls_context: 'ssl.SSLContext | None',
) -> None:
    """Give a connection to a protocol; one that the caller reset is closed."""
    loop = asyncio.get_running_loop()
    try:
        await loop.connect_accepted_socket(factory, connection, ssl=tls_context)
    except OSError:
        connection.close()


def _accept_all(endpoint: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait at a listening socket."""
    accepted: list[socket.socket] = []
    try:
        with endpoint.dup() as listening:
            listening.setblocking(False)
            while True:
                connection = listening.accept()[0]
                connection.setblocking(False)
                accepted.append(connection)
    except OSError:
        # Nobody waits any more, or no file descriptor is left to accept more.
        return accepted
