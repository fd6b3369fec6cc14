"""Bytes that a process holds for its clients, and the bound on them."""

__all__ = ('BodyBuffer', 'ByteBudget', 'Entrant')

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, cast

_MOST_BYTES = 64 * 1024 * 1024
# Chunk sizes may take this multiple of a body in small chunks.
_MAX_FRAMING_FACTOR = 16
# Smaller bodies are handed on as immutable bytes, which costs one copy.
_COPIED_BYTES = 64 * 1024


class Entrant(Protocol):
    """Something that waits for room."""

    def enter(self) -> bool:
        """Return whether it has found room, or needs none any more."""


@dataclass(slots=True)
class ByteBudget:
    """
    Counts the bytes held for callers and of servers' responses together.

    ``refused`` counts the requests that were refused or cut off for want of
    room. ``make_room`` is called when there is not enough. ``waiting`` are
    those that need room before they go on.

    >>> budget = ByteBudget(10)
    >>> budget.take(8), budget.take(3), budget.held
    (True, False, 8)
    >>> budget.give_back(8)
    >>> budget.held
    0
    """

    most: int = _MOST_BYTES
    held: int = 0
    refused: int = 0
    make_room: Callable[[int], None] | None = None
    waiting: 'deque[Entrant]' = field(default_factory=deque)
    is_admitting: bool = False

    @property
    def excess(self) -> int:
        """Return by how many bytes the bound is exceeded, if it is."""
        return max(0, self.held - self.most)

    def take(self, count: int) -> bool:
        """Count bytes that arrive; return whether there is room for them."""
        if self.held + count > self.most and self.make_room is not None:
            self.make_room(count)
        if self.held + count > self.most:
            return False
        self.held += count
        return True

    def hold(self, count: int) -> None:
        """Count bytes that have arrived, whether or not there is room."""
        self.held += count

    def give_back(self, count: int) -> None:
        """Count bytes as no longer held."""
        self.held -= count
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Let in what has waited longest, as far as there is room."""
        if self.is_admitting:
            return
        self.is_admitting = True
        try:
            while self.waiting and self.waiting[0].enter():
                self.waiting.popleft()
        finally:
            self.is_admitting = False


@dataclass(slots=True)
class BodyBuffer:
    """
    The body of a message that is being received.

    ``received_bytes`` are all bytes that have arrived for the message, with its
    head and the framing of chunks. A body in one part is kept as it came.
    Further parts are added to one array, so that neither one-byte parts nor a
    final join take more room than the body.

    >>> buffer = BodyBuffer()
    >>> for part in (b'a', b'b', b'c'):
    ...     buffer.add(part)
    >>> buffer.size, buffer.take_all(), buffer.size
    (3, b'abc', 0)
    """

    size: int = 0
    received_bytes: int = 0
    first: bytes = b''
    whole: bytearray = field(default_factory=bytearray)

    def add(self, part: bytes) -> None:
        """Add a part."""
        if self.size:
            if self.first:
                self.whole += self.first
                self.first = b''
            self.whole += part
        else:
            self.first = part
        self.size += len(part)

    def has_excess(self, head_bytes: int) -> bool:
        """Return whether more than a head of this size and chunk sizes came."""
        allowed = head_bytes + self.size * _MAX_FRAMING_FACTOR
        return self.received_bytes - self.size > allowed

    def take_all(self) -> bytes:
        """Return the body, which is not changed any more, and forget it."""
        body = self.first
        if self.whole:
            # An array serves as bytes wherever it isn't hashed.
            body = cast(bytes, self.whole)
            if self.size <= _COPIED_BYTES:
                body = bytes(self.whole)
        self.clear()
        return body

    def drop_body(self) -> None:
        """Forget the body of a message that is followed by another one."""
        self.received_bytes -= self.size
        self.size = 0
        self.first = b''
        if self.whole:
            self.whole = bytearray()

    def clear(self) -> None:
        """Forget what has been received."""
        self.drop_body()
        self.received_bytes = 0
