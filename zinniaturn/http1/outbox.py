"""
Bytes that a connection still has to send.

A transport copies what the kernel doesn't take at once. Large bodies are
therefore handed to it in pieces, each once the one before has been taken, so
that a body of 64 MiB is not held twice.
"""

__all__ = ('Outbox',)

import asyncio
from collections import deque
from dataclasses import dataclass, field

_PIECE_BYTES = 64 * 1024


@dataclass(slots=True)
class Outbox:
    """
    What is to be sent on one connection, in order.

    The protocol calls `pause` and `resume` when its transport does. With
    ``closes`` the connection is closed behind the last byte. With ``lingers``
    only the sending half is: a connection that is closed while the other side
    still sends is reset, and what was sent last may be lost.
    """

    transport: asyncio.Transport | None = None
    pieces: deque[memoryview] = field(default_factory=deque)
    queued_bytes: int = 0
    is_paused: bool = False
    closes: bool = False
    lingers: bool = False

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        if self.transport is None:
            return 0
        return self.queued_bytes + self.transport.get_write_buffer_size()

    def write(self, head: bytes, body: bytes) -> None:
        """Send a message; ``body`` must not change until it is sent."""
        if len(body) <= _PIECE_BYTES:
            self._add(head + body if body else head)
        else:
            self._add(head)
            self._add(body)

    def close(self, lingers: bool = False) -> None:
        """Close the connection, or its half, once everything is sent."""
        self.closes = True
        self.lingers = lingers
        self._send_next()

    def clear(self) -> None:
        """Forget what is not sent, as the connection has ended."""
        self.pieces.clear()
        self.queued_bytes = 0

    def pause(self) -> None:
        """Send no more until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Send on."""
        self.is_paused = False
        self._send_next()

    def _add(self, message: bytes) -> None:
        self.pieces.append(memoryview(message))
        self.queued_bytes += len(message)
        self._send_next()

    def _send_next(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            self.clear()
            return
        while self.pieces and not self.is_paused:
            view = self.pieces.popleft()
            piece = view[:_PIECE_BYTES]
            if len(view) > len(piece):
                self.pieces.appendleft(view[len(piece) :])
            self.queued_bytes -= len(piece)
            transport.write(piece)
        if self.closes and not self.pieces:
            if self.lingers and transport.can_write_eof():
                transport.write_eof()
            else:
                transport.close()
