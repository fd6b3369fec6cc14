"""
One VM's share of the fleet's budget of retries and hedged requests.

In any window a server pool may receive a ratio of its requests plus a fixed
number as additional sends. The ratio applies to the requests that the VM
itself received. The fixed number is divided equally among all VMs that may be
alive, so that the fleet stays within it even if every VM uses its part. A
process that has just started gets its part gradually over one window, since
the process before it may have used the part already.

The budget is meant for two loads. A few servers that fail at once need a few
sends each second and get them. A whole pool that sheds a part of its requests
for many seconds needs more than there is: the budget then lasts for about eight
seconds instead of the first one, and the more urgent routes come first.
"""

__all__ = ('FleetRetryBudget',)

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from zinniaturn.placing.recent_rate import discard_until

# A tenth of the budget is left unused as a safety margin.
_USABLE_SHARE = 0.9
_PACE_SECONDS = 1.0
# Part of the window's budget that may be used within a second.
_SHARE_PER_SECOND = 0.12
_MIN_PER_SECOND = 2.0
# Part of it that may be kept for more urgent requests.
_MOST_RESERVED_SHARE = 0.8


class _Demand(NamedTuple):
    """A wish for an additional send, with the route's priority."""

    time: float
    priority: int
    is_granted: bool


@dataclass(slots=True)
class FleetRetryBudget:
    """
    The retries and hedges that one VM may send to one pool.

    ``ratio`` and ``fixed`` are the fleet's limits, which hold over any span of
    ``window_seconds``. ``started_at`` is the start of this process.
    ``requests`` and ``withdrawn`` are the times of the requests and of the
    additional sends within the window, ``demands`` those of the last second.
    """

    ratio: float
    fixed: float
    window_seconds: float
    started_at: float
    requests: deque[float] = field(default_factory=deque)
    withdrawn: deque[float] = field(default_factory=deque)
    demands: deque[_Demand] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a caller's request for the pool."""
        self.requests.append(now)
        self._discard_old(now)

    def forget_latest_request(self) -> None:
        """Take back a request that another VM counts instead."""
        if self.requests:
            self.requests.pop()

    def try_withdraw(self, now: float, vms: int, priority: int = 0) -> bool:
        """
        Take one additional send; return whether the budget allowed it.

        A lower ``priority`` is more urgent.
        """
        self._discard_old(now)
        allowed = self.allowed(now, vms)
        is_granted = len(self.withdrawn) + 1 <= allowed and self._is_in_pace(
            allowed, priority
        )
        self.demands.append(_Demand(now, priority, is_granted))
        if is_granted:
            self.withdrawn.append(now)
        return is_granted

    def allowed(self, now: float, vms: int) -> float:
        """Return the additional sends allowed in the window ending now."""
        started_share = min(1.0, (now - self.started_at) / self.window_seconds)
        fixed_part = self.fixed / max(1, vms) * started_share
        return (fixed_part + self.ratio * len(self.requests)) * _USABLE_SHARE

    def _is_in_pace(self, allowed: float, priority: int) -> bool:
        """
        Return whether the last second leaves room for one more send.

        More urgent requests are expected to ask as often as they did in it.
        """
        pace = max(_MIN_PER_SECOND, allowed * _SHARE_PER_SECOND)
        granted = sum(demand.is_granted for demand in self.demands)
        if granted + 1 > pace:
            return False
        more_urgent = [
            demand for demand in self.demands if demand.priority < priority
        ]
        reserved = min(len(more_urgent), pace * _MOST_RESERVED_SHARE)
        granted -= sum(demand.is_granted for demand in more_urgent)
        return granted + 1 + reserved <= pace

    def _discard_old(self, now: float) -> None:
        oldest = now - self.window_seconds
        for times in (self.requests, self.withdrawn):
            discard_until(times, oldest)
        while self.demands and self.demands[0].time <= now - _PACE_SECONDS:
            self.demands.popleft()
