"""Responses of a backend server that never end."""

__all__ = ('ENDLESS_FAULTS', 'send_without_end')

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import NoReturn

from zinniaturn.platform.standins.faults import ServerFault

_BLOCK_BYTES = 64 * 1024
_BUFFERED_BLOCKS = 16
_TRICKLE_SECONDS = 1.0
_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Upstream-Signature: by-x\r\n'
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_CHUNK = b'%x\r\n%b\r\n' % (_BLOCK_BYTES, b'x' * _BLOCK_BYTES)

# What is sent first, with the request's id, and then again and again.
_PARTS: Mapping[ServerFault, tuple[bytes, bytes]] = MappingProxyType(
    {
        ServerFault.ENDLESS_HEAD: (_HEAD, b'X-More: %b\r\n' % (b'x' * 1000)),
        ServerFault.ENDLESS_LINE: (b'HTTP/1.1 200 %b', b'x' * _BLOCK_BYTES),
        ServerFault.ENDLESS_INTERIM: (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        ServerFault.ENDLESS_BODY: (_CHUNKED, _CHUNK),
        ServerFault.TRICKLED_BODY: (_CHUNKED, b'1\r\nx\r\n'),
    }
)
ENDLESS_FAULTS = frozenset(_PARTS)


async def send_without_end(
    transport: asyncio.Transport, request_id: bytes, fault: ServerFault
) -> NoReturn:
    """Send until the caller closes; waits for ever afterwards."""
    first, repeated = _PARTS[fault]
    transport.write(first % request_id if first else b'')
    block = repeated
    if fault is not ServerFault.TRICKLED_BODY:
        block *= max(1, _BLOCK_BYTES // len(repeated))
    while not transport.is_closing():
        if fault is ServerFault.TRICKLED_BODY:
            await asyncio.sleep(_TRICKLE_SECONDS)
        buffered = transport.get_write_buffer_size()
        if buffered < _BUFFERED_BLOCKS * _BLOCK_BYTES:
            transport.write(block)
        await asyncio.sleep(0)
    await asyncio.Event().wait()
    raise AssertionError('nothing ends the wait')
