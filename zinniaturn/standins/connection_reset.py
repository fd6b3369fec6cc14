"""Closes a connection with a TCP reset."""

__all__ = ('reset_connection',)

import asyncio
import socket
import struct

_LINGER_ZERO = struct.pack('ii', 1, 0)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection, so that it does not look like a clean close."""
    if transport.is_closing():
        return
    connection_socket = transport.get_extra_info('socket')
    connection_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
    )
    transport.abort()
