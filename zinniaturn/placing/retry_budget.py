"""
The fleet's allowance of second sends, and one VM's share of it.

A server pool may get, in any window, a share of its requests and a fixed
number more as arrivals beyond the first. The share goes by a VM's own
requests; of the fixed number each VM has an equal part of what is allowed if
all VMs that may be alive take theirs, and a VM that has just started earns its
part as it goes, since the process before it may have spent it.
"""

__all__ = ('FleetRetryBudget',)

from collections import deque
from dataclasses import dataclass, field

from zinniaturn.placing.recent_rate import discard_until

_SAFETY = 0.9


@dataclass(slots=True)
class FleetRetryBudget:
    """
    One VM's second sends to one pool.

    ``ratio`` and ``fixed`` are the fleet's, ``window_seconds`` the span over
    which they hold, ``started_at`` the start of this process.
    """

    ratio: float
    fixed: float
    window_seconds: float
    started_at: float
    requests: deque[float] = field(default_factory=deque)
    withdrawn: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a caller's request for the pool."""
        self.requests.append(now)
        self._forget(now)

    def try_withdraw(self, now: float, vms: int) -> bool:
        """Take one second send; return whether there is one."""
        self._forget(now)
        if len(self.withdrawn) + 1 > self.allowed(now, vms):
            return False
        self.withdrawn.append(now)
        return True

    def allowed(self, now: float, vms: int) -> float:
        """Return how many may be spent in the window that ends now."""
        earned = min(1.0, (now - self.started_at) / self.window_seconds)
        part = self.fixed / max(1, vms) * earned
        return (part + self.ratio * len(self.requests)) * _SAFETY

    def _forget(self, now: float) -> None:
        oldest = now - self.window_seconds
        for times in (self.requests, self.withdrawn):
            discard_until(times, oldest)
