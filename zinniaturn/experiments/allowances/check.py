"""
Checks of what a tenant's requests may be, over all windows of a day.

Work: a pass over the sorted times.
"""

__all__ = ('Violation', 'find_violations', 'refused_below')

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.tenants import Tenant
from zinniaturn.tenants.allowance import AllowanceBounds

# A document is known to all VMs after this time.
_KNOWN_SECONDS = 1.0

Documents = Sequence[tuple[float, Tenant]]


@dataclass(frozen=True, slots=True)
class Violation:
    """A window that ends at ``end`` with ``count`` requests, over ``most``."""

    end: float
    count: int
    most: float


def find_violations(
    arrivals: Sequence[float], documents: Documents, bounds: AllowanceBounds
) -> list[Violation]:
    """
    Return the windows with more requests than the bound, one a window's time.

    Allowed is what the highest allowance of the documents allows that were in
    force in the window, or until a second before it.
    """
    times = sorted(arrivals)
    found: list[Violation] = []
    first = 0
    for last, end in enumerate(times):
        start = end - bounds.window_seconds
        while times[first] <= start:
            first += 1
        most = _most(documents, start - _KNOWN_SECONDS, end, bounds)
        count = last - first + 1
        is_counted = found and end - found[-1].end < bounds.window_seconds
        if count > most and not is_counted:
            found.append(Violation(end, count, most))
    return found


def refused_below(
    refused: Sequence[float],
    asked: Sequence[float],
    documents: Documents,
    bounds: AllowanceBounds,
) -> int:
    """
    Return how many requests were refused while the tenant was within.

    It is while what it asked for in the window before, refused requests too, is
    no more than the lowest allowance in force then.
    """
    times = sorted(asked)
    count = 0
    for time in refused:
        start = time - bounds.window_seconds
        number = bisect_left(times, time + 1e-9) - bisect_left(times, start)
        lowest = min(_allowances(documents, start, time, bounds))
        count += number <= lowest
    return count


def _most(
    documents: Documents, start: float, end: float, bounds: AllowanceBounds
) -> float:
    highest = max(_allowances(documents, start, end, bounds))
    return highest * (1 + bounds.overage) + bounds.slack


def _allowances(
    documents: Documents, start: float, end: float, bounds: AllowanceBounds
) -> list[float]:
    """Return the allowances of a window by the documents in force."""
    before = [tenant for time, tenant in documents if time <= start]
    within = [tenant for time, tenant in documents if start < time <= end]
    return [
        tenant.requests_per_second * bounds.window_seconds + tenant.burst
        for tenant in (before[-1], *within)
    ]
