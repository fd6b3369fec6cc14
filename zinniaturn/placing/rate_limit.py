"""A minimum time between repetitions of an action."""

__all__ = ('RateLimit',)

from dataclasses import dataclass


@dataclass(slots=True)
class RateLimit:
    """
    Allows an action once in ``seconds``.

    >>> limit = RateLimit(10)
    >>> limit.admit(0), limit.admit(9), limit.admit(10)
    (True, False, True)
    """

    seconds: float
    next_at: float = float('-inf')

    def admit(self, now: float) -> bool:
        """Return whether the action is allowed now, and count it if so."""
        if now < self.next_at:
            return False
        self.next_at = now + self.seconds
        return True
