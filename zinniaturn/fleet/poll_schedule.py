"""
Schedule by which a VM polls the store.

Every VM may read the store; there is no leader election. The first VM by rank
reads as soon as the state is slightly old and passes it on to the others. VMs
further down wait for an older state, so they rarely have to read. If the first
VM fails, the next one notices by the age of its own state.

Only the first twelve by rank read while the state is within its bound, so that
an outage of the store doesn't make every VM of a large fleet call it. A VM
whose last read failed leaves the first reads to the others, as the store may
refuse just this VM.
"""

__all__ = ('PollSchedule',)

import random
from dataclasses import dataclass
from typing import Self

_FIRST_RANKS = 3
_READING_RANKS = 12
_INITIAL_BACKOFF_SECONDS = 0.1
_MOST_DOUBLINGS = 8
_FIRST_MAX_BACKOFF_SECONDS = 0.8
_LATER_MAX_BACKOFF_SECONDS = 2.0
_FIRST_SHARE_OF_BOUND = 0.35
_STEP_SHARE_OF_BOUND = 0.08
_LATER_SHARE_OF_BOUND = 0.55
_LATER_STEP_SHARE_OF_BOUND = 0.013
_RESERVE_SHARE_OF_BOUND = 2.0
# Ranks read for a proof one after the other, before the tables of a bound of
# 5 s count as outdated.
_FIRST_PROOF_FACTOR = 1.7
_PROOF_PLACES = 20


@dataclass(slots=True)
class PollSchedule:
    """
    The state age at which a VM polls the store, by the VM's rank.

    The VM of rank 0 polls at ``first_seconds`` and the next two each
    ``step_seconds`` later. Ranks 3 to 11 follow from ``later_seconds`` in steps
    of ``later_step_seconds``, the others at ``reserve_seconds``. Jitter keeps
    VMs apart.

    >>> schedule = PollSchedule(random.Random(1), jitter_seconds=0)
    >>> [schedule.poll_age_seconds(rank) for rank in (0, 1, 3, 12)]
    [0.5, 0.7, 1.1, 4.0]
    """

    random_source: random.Random
    first_seconds: float = 0.5
    step_seconds: float = 0.2
    later_seconds: float = 1.1
    later_step_seconds: float = 0.026
    reserve_seconds: float = 4.0
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
            bound_seconds * _LATER_SHARE_OF_BOUND,
            bound_seconds * _LATER_STEP_SHARE_OF_BOUND,
            bound_seconds * _RESERVE_SHARE_OF_BOUND,
        )

    def poll_age_seconds(self, rank: int) -> float:
        """Return the state age at which the VM of this rank polls."""
        if self.failures:
            rank = max(rank, _FIRST_RANKS)
        jitter = self.random_source.uniform(0, self.jitter_seconds)
        if rank < _FIRST_RANKS:
            return (
                self.first_seconds
                + rank * self.step_seconds
                + jitter * bool(rank)
            )
        if rank < _READING_RANKS:
            later_rank = rank - _FIRST_RANKS
            return (
                self.later_seconds
                + later_rank * self.later_step_seconds
                + jitter * bool(later_rank)
            )
        return self.reserve_seconds + jitter * rank

    def proof_age_seconds(self, rank: int) -> float:
        """
        Return the age of the tables' proof at which the VM of this rank reads.

        Other VMs tell it younger ones much earlier, unless none of them can.
        Each rank reads then, as one in a fleet of an earlier build has nobody
        to ask.
        """
        place = rank % _PROOF_PLACES / _PROOF_PLACES
        return self.later_seconds * (_FIRST_PROOF_FACTOR + place)

    def backoff(self, rank: int) -> float:
        """Return the delay in seconds after consecutive failed reads."""
        most = (
            _FIRST_MAX_BACKOFF_SECONDS
            if rank < _FIRST_RANKS
            else _LATER_MAX_BACKOFF_SECONDS
        )
        doublings = min(self.failures, _MOST_DOUBLINGS)
        exponential = _INITIAL_BACKOFF_SECONDS * 2**doublings
        return min(most, exponential) * self.random_source.uniform(0.7, 1.0)
