"""
Which client gives way when a process holds too much.

Each connection that may be cut has a `Holding` in one of about thirty classes
by size, a power of two each. A class is ordered by the time of the last
progress. So each change, and each choice of the one that gives way, takes
constant time, whatever the number of connections.
"""

__all__ = ('Holding', 'Holdings')

from dataclasses import dataclass, field
from typing import Generic, TypeVar

OwnerT = TypeVar('OwnerT')

_CLASS_COUNT = 40
_UNPROVEN_CLASS = 0
# Fewer bytes are no progress: else a client that sends one byte now and then
# would rank behind one that sends a large body in bursts.
_PROGRESS_BYTES = 1024
# Makes the sizes decide between connections that have just made progress.
_LEAST_SECONDS = 0.05
# A client that has never sent a whole request counts as this much longer
# without progress than one whose connection is idle, for up to 12 s.
_UNPROVEN_FACTOR = 32
_UNPROVEN_BYTES = 32 * 1024


@dataclass(slots=True, eq=False)
class Holding(Generic[OwnerT]):
    """
    What one connection holds, in bytes, and when it last made progress.

    ``is_unproven`` is set until its first whole request. One that must not be
    cut, such as one with a request in work, is not ``is_listed``. ``is_open``
    is set while it counts.
    """

    owner: OwnerT
    progress_at: float
    held: int = 0
    uncounted_bytes: int = 0
    is_unproven: bool = True
    is_listed: bool = False
    size_class: int = 0
    is_open: bool = False

    def note_progress(self, count: int, now: float) -> bool:
        """Count bytes that moved; return whether they are progress by now."""
        self.uncounted_bytes += count
        if self.uncounted_bytes < _PROGRESS_BYTES:
            return False
        self.uncounted_bytes = 0
        self.progress_at = now
        return True

    def weight(self, now: float) -> float:
        """Return the bytes held times the seconds without progress."""
        seconds = now - self.progress_at + _LEAST_SECONDS
        if self.size_class == _UNPROVEN_CLASS:
            seconds *= _UNPROVEN_FACTOR
        return self.held * seconds


@dataclass(slots=True)
class Holdings(Generic[OwnerT]):
    """
    The connections that may be cut.

    >>> holdings = Holdings()
    >>> for name, size in (('small', 10), ('large', 999)):
    ...     holding = Holding(name, 0, is_unproven=False)
    ...     holdings.update(holding, size, True, False)
    >>> holdings.first_to_go(1).owner
    'large'
    """

    classes: list[dict[Holding[OwnerT], None]] = field(
        default_factory=lambda: [{} for _ in range(_CLASS_COUNT)]
    )

    def update(
        self,
        holding: Holding[OwnerT],
        held: int,
        is_listed: bool,
        has_progressed: bool,
    ) -> None:
        """Put a connection into the class that it now belongs to."""
        before = holding.size_class
        holding.held = held
        holding.size_class = _class_of(holding)
        if (
            is_listed == holding.is_listed
            and before == holding.size_class
            and not has_progressed
        ):
            return
        if holding.is_listed:
            self.classes[before].pop(holding, None)
        holding.is_listed = is_listed
        if is_listed:
            self.classes[holding.size_class][holding] = None

    def remove(self, holding: Holding[OwnerT]) -> None:
        """Forget a connection that has ended."""
        self.update(holding, 0, False, False)

    def first_to_go(
        self, now: float, least_bytes: int = 0
    ) -> Holding[OwnerT] | None:
        """
        Return the connection that holds most and makes least progress.

        Classes of fewer than ``least_bytes`` are left out.

        Only the one of each class that has made no progress for the longest
        time is looked at.
        """
        candidates = [
            next(iter(members))
            for members in self.classes[least_bytes.bit_length() :]
            if members
        ]
        return max(
            candidates, key=lambda holding: holding.weight(now), default=None
        )


def _class_of(holding: Holding[OwnerT]) -> int:
    """Return the class; small ones without a request have one of their own."""
    if holding.is_unproven and holding.held < _UNPROVEN_BYTES:
        return _UNPROVEN_CLASS
    return min(holding.held.bit_length(), _CLASS_COUNT - 1)
