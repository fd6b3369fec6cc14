"""
When a VM reads the store itself.

Every VM may read, and none is elected. The one that stands first reads as
soon as the state is a little old and tells the others, so that their own
turn, which comes later the further behind they stand, seldom comes at all.
When it fails, the next in order notices by the age of what it holds.
"""

__all__ = ('PollSchedule',)

import random
from dataclasses import dataclass
from typing import Self

_LONGEST_BACKOFF_SECONDS = 0.8
_FIRST_BACKOFF_SECONDS = 0.1
_FIRST_SHARE = 0.35
_STEP_SHARE = 0.08
_LAST_SHARE = 0.55


@dataclass(slots=True)
class PollSchedule:
    """
    The age at which the state is read again, by the place of this VM.

    ``first_seconds`` holds for the first VM; each further place waits
    ``step_seconds`` more, at most ``last_seconds`` in all. Some jitter keeps
    those at the end apart.

    >>> pacing = PollSchedule(random.Random(1), jitter_seconds=0)
    >>> pacing.poll_age_seconds(0), pacing.poll_age_seconds(1)
    (0.5, 0.7)
    """

    source: random.Random
    first_seconds: float = 0.5
    step_seconds: float = 0.2
    last_seconds: float = 1.1
    jitter_seconds: float = 0.1
    failures: int = 0

    @classmethod
    def within_bound(cls, source: random.Random, bound_seconds: float) -> Self:
        """Return a pacing that leaves room for a lost call within a bound."""
        return cls(
            source,
            bound_seconds * _FIRST_SHARE,
            bound_seconds * _STEP_SHARE,
            bound_seconds * _LAST_SHARE,
        )

    def poll_age_seconds(self, rank: int) -> float:
        """Return the age of the state at which this VM reads the store."""
        age = self.first_seconds + rank * self.step_seconds
        jitter = self.source.uniform(0, self.jitter_seconds)
        return min(age, self.last_seconds) + jitter * bool(rank)

    def backoff(self) -> float:
        """Return the seconds to wait after reads that failed in a row."""
        longest = _FIRST_BACKOFF_SECONDS * 2**self.failures
        seconds = min(_LONGEST_BACKOFF_SECONDS, longest)
        return seconds * self.source.uniform(0.7, 1.0)
