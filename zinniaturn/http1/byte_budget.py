"""Bodies that are being received, and the bounds on what they may take."""

__all__ = ('BodyBuffer', 'ByteBudget')

from dataclasses import dataclass, field

_MOST_BYTES = 64 * 1024 * 1024
# Chunk sizes may take this multiple of a body in small chunks.
_MAX_FRAMING_FACTOR = 16


@dataclass(slots=True)
class ByteBudget:
    """
    Counts the bytes of incomplete bodies, of callers and servers together.

    ``refused`` counts the bodies for which there was no room.

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

    def take(self, count: int) -> bool:
        """Count bytes that arrive; return whether there is room for them."""
        if self.held + count > self.most:
            self.refused += 1
            return False
        self.held += count
        return True

    def give_back(self, count: int) -> None:
        """Count bytes as no longer held."""
        self.held -= count


@dataclass(slots=True)
class BodyBuffer:
    """
    The parts of a body that is being received, counted in ``byte_budget``.

    ``received_bytes`` are all bytes that have arrived for the message, with its
    head and the framing of chunks.
    """

    byte_budget: ByteBudget
    size: int = 0
    received_bytes: int = 0
    parts: list[bytes] = field(default_factory=list)

    def add(self, part: bytes) -> bool:
        """Add a part; return whether the budget has room for it."""
        if not self.byte_budget.take(len(part)):
            return False
        self.parts.append(part)
        self.size += len(part)
        return True

    def has_excess(self, head_bytes: int) -> bool:
        """Return whether more than a head of this size and chunk sizes came."""
        allowed = head_bytes + self.size * _MAX_FRAMING_FACTOR
        return self.received_bytes - self.size > allowed

    def take_all(self) -> bytes:
        """Return the body and forget it."""
        body = b''.join(self.parts)
        self.clear()
        return body

    def drop_body(self) -> None:
        """Forget the body of a message that is followed by another one."""
        self.byte_budget.give_back(self.size)
        self.received_bytes -= self.size
        self.size = 0
        self.parts = []

    def clear(self) -> None:
        """Forget what has been received."""
        self.drop_body()
        self.received_bytes = 0
