"""
Until when another VM may have granted what belongs to this VM now.

VMs learn of each other's coming and going at different times. So for a moment
two of them may take themselves for the owner of a key: shortly after a VM came
or stopped, and for longer after one seemed to be dead, as a VM that is cut off
grants until it has missed more than it can see.

Work: when VMs come or go, a pass over the ready ones; for a new key, a look at
each VM that has gone within the last seconds.
"""

__all__ = ('OwnerHistory',)

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from zinniaturn.fleet.owner_ring import OwnerRing

# News of a VM that has come or stops reaches all others within this time.
_NEWS_SECONDS = 0.3
# A part of the fleet that is cut off has noticed it by then.
_CUT_OFF_SECONDS = 1.0
# Whoever went longer ago has granted nothing that matters now.
_REMEMBERED_SECONDS = 30.0


@dataclass(slots=True)
class OwnerHistory:
    """
    Until when others grant what this VM has, and those that have gone lately.

    ``joined_at`` is when those that were ready before this VM have heard of
    it. ``free_at`` are the times from which on VMs that have gone grant
    nothing.

    >>> history = OwnerHistory('vm-1')
    >>> history.update({'vm-1', 'vm-2'}, set(), 10)
    >>> history.granted_until('k')
    10.3
    >>> history = OwnerHistory('vm-1')
    >>> history.update({'vm-1'}, set(), 10)
    >>> history.granted_until('k')
    10
    """

    own_name: str
    joined_at: float = math.inf
    ready: frozenset[str] = frozenset()
    free_at: dict[str, float] = field(default_factory=dict)

    def update(
        self, ready: Collection[str], dead: Collection[str], now: float
    ) -> None:
        """Note the VMs that are ready now, and those that seem dead."""
        present = frozenset(ready)
        if self.own_name not in self.ready:
            is_first = present <= {self.own_name}
            self.joined_at = now if is_first else now + _NEWS_SECONDS
        for name in self.ready - present:
            wait = _CUT_OFF_SECONDS if name in dead else _NEWS_SECONDS
            self.free_at[name] = now + wait
        for name, time in list(self.free_at.items()):
            if time < now - _REMEMBERED_SECONDS:
                self.free_at.pop(name)
        self.ready = present

    def forget(self, now: float) -> None:
        """Take this VM for one that has just come, after a pause."""
        self.joined_at = now + _NEWS_SECONDS

    def granted_until(self, key: str) -> float:
        """Return until when another VM may have granted a key's permits."""
        times = [self.joined_at]
        for name, free_at in self.free_at.items():
            ring = OwnerRing()
            ring.add(self.own_name)
            ring.add(name)
            if ring.owner(key) == name:
                times.append(free_at)
        return max(times)
