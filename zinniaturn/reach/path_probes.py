"""
Which pools a VM probes to learn whether its paths to them work.

A pool that doesn't respond is probed a few times a second, so that the VM uses
it again within a second of the path's return. A VM that others ask about a pool
probes it if no server of it has responded lately; in a large fleet about twelve
VMs do so at a time.
"""

__all__ = ('PathProbes',)

import random
from dataclasses import dataclass, field
from itertools import islice

from zinniaturn.placing.rate_limit import RateLimit
from zinniaturn.reach.reach_table import ReachTable

_OWN_SECONDS = 0.3
_FOR_OTHERS_SECONDS = 0.4
_JITTER = (0.8, 1.2)
_MOST_POOLS = 8
_PROBING_VMS = 12


@dataclass(slots=True)
class PathProbes:
    """
    Decides which pools to probe; call `due` ten times a second.

    ``limits`` tell when each pool may be probed again. Work: the pools that
    don't respond and those that others ask about; at most 8 of each.
    """

    random_source: random.Random
    limits: dict[str, RateLimit] = field(default_factory=dict)

    def due(self, reach: ReachTable, fleet_size: int) -> list[str]:
        """Return the pools to send one probe each."""
        now = reach.clock.monotonic()
        asking = list(reach.asking_since)
        others = reach.pools_to_probe_for_others()
        if not (asking or others):
            self.limits.clear()
            return []
        share = _PROBING_VMS / fleet_size
        own_due = (
            pool for pool in asking if self._admit(pool, _OWN_SECONDS, now)
        )
        due_for_others = (
            pool
            for pool in others
            if self.random_source.random() < share
            and self._admit(pool, _FOR_OTHERS_SECONDS, now)
        )
        due = list(islice(own_due, _MOST_POOLS))
        due.extend(islice(due_for_others, _MOST_POOLS))
        return due

    def _admit(self, pool: str, seconds: float, now: float) -> bool:
        """Return whether a pool may be probed, at most once in ``seconds``."""
        limit = self.limits.setdefault(pool, RateLimit(seconds))
        if not limit.admit(now):
            return False
        limit.next_at = now + seconds * self.random_source.uniform(*_JITTER)
        return True
