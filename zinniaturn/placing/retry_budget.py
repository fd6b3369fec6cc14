"""
One VM's share of the fleet's budget of retries and hedged requests.

In any window a server pool may receive a ratio of its requests plus a fixed
number as additional sends. The ratio applies to the requests that the VM
itself received. The fixed number is divided equally among all VMs that may be
alive, so that the fleet stays within it even if every VM uses its part. A
process that has just started gets its part gradually over one window, since
the process before it may have used the part already.
"""

__all__ = ('FleetRetryBudget',)

from collections import deque
from dataclasses import dataclass, field

from zinniaturn.placing.recent_rate import discard_until

# A tenth of the budget is left unused as a safety margin.
_USABLE_SHARE = 0.9


@dataclass(slots=True)
class FleetRetryBudget:
    """
    The retries and hedges that one VM may send to one pool.

    ``ratio`` and ``fixed`` are the fleet's limits, which hold over any span of
    ``window_seconds``. ``started_at`` is the start of this process.
    ``requests`` and ``withdrawn`` are the times of the requests and of the
    additional sends within the window.
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
        self._discard_old(now)

    def try_withdraw(self, now: float, vms: int) -> bool:
        """Take one additional send; return whether the budget allowed it."""
        self._discard_old(now)
        if len(self.withdrawn) + 1 > self.allowed(now, vms):
            return False
        self.withdrawn.append(now)
        return True

    def allowed(self, now: float, vms: int) -> float:
        """Return the additional sends allowed in the window ending now."""
        started_share = min(1.0, (now - self.started_at) / self.window_seconds)
        fixed_part = self.fixed / max(1, vms) * started_share
        return (fixed_part + self.ratio * len(self.requests)) * _USABLE_SHARE

    def _discard_old(self, now: float) -> None:
        oldest = now - self.window_seconds
        for times in (self.requests, self.withdrawn):
            discard_until(times, oldest)
