"""A token bucket with a fixed rate and depth."""

__all__ = ('TokenBucket',)

from dataclasses import dataclass, field


@dataclass(slots=True)
class TokenBucket:
    """
    Allows ``per_second`` actions on average and ``most`` at once.

    >>> bucket = TokenBucket(10, 2, 0)
    >>> bucket.take(2, 0), bucket.take(1, 0), bucket.take(1, 0.1)
    (True, False, True)
    """

    per_second: float
    most: float
    updated_at: float
    tokens: float = field(init=False)

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.most

    def take(self, count: float, now: float) -> bool:
        """Take tokens; return whether there were enough."""
        added = (now - self.updated_at) * self.per_second
        self.tokens = min(self.most, self.tokens + added)
        self.updated_at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
