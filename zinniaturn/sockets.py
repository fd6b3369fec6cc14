"""What the kernel knows of a connection."""

__all__ = ('unread_bytes',)

import array
import asyncio
import fcntl
import termios


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
