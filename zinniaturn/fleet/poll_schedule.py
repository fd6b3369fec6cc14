"""
Schedule by which a VM polls the store.

Every VM may read the store; there is no leader election. The first VM by rank
reads as soon as the state is slightly old and passes it on to the others. VMs
further down wait for an older state, so they rarely have to read. If the first
VM fails, the next one notices by the age of its own state.
"""

__all__ = ('PollSchedule',)

import random
from dataclasses import dataclass
from typing import Self

_MAX_BACKOFF_SECONDS = 0.8
_INITIAL_BACKOFF_SECONDS = 0.1
_FIRST_SHARE_OF_BOUND = 0.35
_STEP_SHARE_OF_BOUND = 0.08
_LAST_SHARE_OF_BOUND = 0.55


@dataclass(slots=True)
class PollSchedule:
    """
    The state age at which a VM polls the store, by the VM's rank.

    The VM of rank 0 polls at ``first_seconds``; each further rank waits
    ``step_seconds`` more, up to ``last_seconds``. Jitter keeps VMs apart whose
    age is capped by ``last_seconds``.

    >>> schedule = PollSchedule(random.Random(1), jitter_seconds=0)
    >>> schedule.poll_age_seconds(0), schedule.poll_age_seconds(1)
    (0.5, 0.7)
    """

    random_source: random.Random
    first_seconds: float = 0.5
    step_seconds: float = 0.2
    last_seconds: float = 1.1
    jitter_seconds: float = 0.1
    failures: int = 0

    @classmethod
    def within_bound(
        cls, random_source: random.Random, bound_seconds: float
    ) -> Self:
        """
        Return a schedule for a bound on the state's age.

        It leaves room within the bound for one read that gets no reply.
        """
        return cls(
            random_source,
            bound_seconds * _FIRST_SHARE_OF_BOUND,
            bound_seconds * _STEP_SHARE_OF_BOUND,
            bound_seconds * _LAST_SHARE_OF_BOUND,
        )

    def poll_age_seconds(self, rank: int) -> float:
        """Return the state age at which the VM of this rank polls."""
        age = self.first_seconds + rank * self.step_seconds
        jitter = self.random_source.uniform(0, self.jitter_seconds)
        return min(age, self.last_seconds) + jitter * bool(rank)

    def backoff(self) -> float:
        """Return the delay in seconds after consecutive failed reads."""
        exponential = _INITIAL_BACKOFF_SECONDS * 2**self.failures
        seconds = min(_MAX_BACKOFF_SECONDS, exponential)
        return seconds * self.random_source.uniform(0.7, 1.0)
