"""Ending a connection by a reset."""

__all__ = ('reset',)

import asyncio
import socket
import struct

_LINGER_ZERO = struct.pack('ii', 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that its end cannot pass for a clean one."""
    endpoint = transport.get_extra_info('socket')
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
