"""Counts the requests that leave their data centre, where to and why."""

__all__ = ('Departures', 'LeaveReason', 'ShareChange')

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

# Data centres beyond this many are counted together.
_MOST_DATA_CENTERS = 64
_OTHER = 'other'
_FEWEST_REQUESTS = 20
_LARGE_CHANGE = 0.2
_LEAST_PAUSE_SECONDS = 10.0


class LeaveReason(Enum):
    """
    Why a request left its data centre.

    ``NO_OWN_SERVER``: none of its servers may get requests. ``NO_ROOM``: those
    probed had no room. ``FASTER``: they had, but the request was expected to
    take longer there, by more than the way costs. ``QUEUED``: the request
    waited, and a slot elsewhere was free first. ``OWN_PROBES_USED``: its
    servers have got their part of the probes.
    """

    NO_OWN_SERVER = 'no_own_server'
    NO_ROOM = 'no_room'
    FASTER = 'faster'
    QUEUED = 'queued'
    OWN_PROBES_USED = 'own_probes_used'


@dataclass(frozen=True, slots=True)
class ShareChange:
    """A large change of the share of a pool's requests that leaves."""

    pool: str
    share: float
    before: float
    requests: int
    reason: str


@dataclass(slots=True)
class _PoolCounts:
    """
    A pool's requests since the last check, and the share reported last.

    ``reasons`` counts those that left, by their reason.
    """

    requests: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    share: float = 0
    reported_at: float = float('-inf')


@dataclass(slots=True)
class Departures:
    """
    Counts by data centre and reason, and the share of each pool.

    Counting costs the same for each request; a check costs a step for each
    pool.
    """

    requests: Counter[tuple[str, str]] = field(default_factory=Counter)
    size: Counter[tuple[str, str]] = field(default_factory=Counter)
    data_centers: set[str] = field(default_factory=set)
    pools: dict[str, _PoolCounts] = field(default_factory=dict)

    def note_stay(self, pool: str) -> None:
        """Count a request that was served in its data centre."""
        self._pool(pool).requests += 1

    def note_departure(
        self, pool: str, data_center: str, reason: LeaveReason, size: int
    ) -> None:
        """Count a request served elsewhere, with its response's bytes."""
        counts = self._pool(pool)
        counts.requests += 1
        counts.reasons[reason.value] += 1
        if len(self.data_centers) < _MOST_DATA_CENTERS:
            self.data_centers.add(data_center)
        if data_center not in self.data_centers:
            data_center = _OTHER
        self.requests[data_center, reason.value] += 1
        self.size[data_center, reason.value] += size

    def take_changes(self, now: float) -> list[ShareChange]:
        """
        Return the pools whose share has changed much since it was reported.

        A pool is reported once in ten seconds at most, and over 20 requests at
        least.
        """
        changes = []
        for pool, counts in self.pools.items():
            is_due = now - counts.reported_at >= _LEAST_PAUSE_SECONDS
            if not is_due or counts.requests < _FEWEST_REQUESTS:
                continue
            share = counts.reasons.total() / counts.requests
            if abs(share - counts.share) >= _LARGE_CHANGE:
                most_common = counts.reasons.most_common(1)
                changes.append(
                    ShareChange(
                        pool,
                        share,
                        counts.share,
                        counts.requests,
                        most_common[0][0] if most_common else '',
                    )
                )
                counts.share = share
                counts.reported_at = now
            counts.requests = 0
            counts.reasons.clear()
        return changes

    def retain(self, pools: set[str]) -> None:
        """Forget the shares of pools that no longer exist."""
        for gone in self.pools.keys() - pools:
            self.pools.pop(gone)

    def _pool(self, name: str) -> _PoolCounts:
        return self.pools.setdefault(name, _PoolCounts())
