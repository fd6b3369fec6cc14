"""
How many requests a cold server may get.

A server that has just started takes few requests a second until its warm-up is
over. The bound holds in any second over all VMs, so that such a server has a
limit, and its requests need permits of its owner as those of other limits do.

The rate follows from the worst case of a second: permits that were granted in
it and in the life of a permit before it, by an owner and by the one before it,
each with a full bucket. Parts of the fleet that are cut off share what one
owner leaves of the bound. A part whose bucket holds less than one request
grants none, since the parts may use what they hold at the same moment.
"""

__all__ = (
    'COLD_PERMIT_LIFETIME_SECONDS',
    'HAND_OVER_SECONDS',
    'WarmUpLimit',
    'warm_up_limit',
)

from dataclasses import dataclass

# Shorter than that of other permits: what was granted in a permit's life is
# used in the same second as what was granted in the second.
COLD_PERMIT_LIFETIME_SECONDS = 0.3
# After a warm-up the limit doubles each half second, 16 times in all.
HAND_OVER_SECONDS = 2.0
_DOUBLING_SECONDS = 0.5

_WINDOW_SECONDS = 1.0
_GRANTING_SECONDS = _WINDOW_SECONDS + COLD_PERMIT_LIFETIME_SECONDS
# A bucket holds one request and those of this time.
_BUCKET_SECONDS = 0.2
_OWNERS = 2
_LOWEST_PER_SECOND = 0.2
# Parts of the fleet without a majority are less than this beside one with it.
_PARTS_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """
    The requests per second that VMs may send to a cold server.

    ``part_depth`` is the number of requests that the buckets of all parts of
    the fleet together hold that have no majority of the VMs.
    """

    per_second: float
    part_depth: float

    def rate(self, warm_seconds: float) -> float | None:
        """
        Return the limit at a time after the warm-up, ``None`` for no limit.

        A negative time is one before the end of the warm-up.

        >>> limit = WarmUpLimit(2.0, 4.0)
        >>> limit.rate(-3.0), limit.rate(1.0), limit.rate(2.0)
        (2.0, 8.0, None)
        """
        if warm_seconds >= HAND_OVER_SECONDS:
            return None
        doublings = max(0, warm_seconds) / _DOUBLING_SECONDS
        return float(self.per_second * 2**doublings)


def warm_up_limit(
    per_second: float, overage: float, slack: float
) -> WarmUpLimit | None:
    """
    Return the limit that keeps a cold server's bound in any second.

    The bound is ``per_second * overage + slack``. Returns ``None`` where the
    rate or the bound is 0, that is, not known.

    >>> warm_up_limit(2.7, 1.5, 8)
    WarmUpLimit(per_second=2.7, part_depth=8.54)
    >>> warm_up_limit(5.6, 1.5, 8)
    WarmUpLimit(per_second=4.8, part_depth=10.16)
    >>> warm_up_limit(5.6, 0, 0), warm_up_limit(0, 1.5, 8)
    (None, None)
    """
    most = per_second * overage + slack
    if per_second <= 0 or most <= 0:
        return None
    seconds = _OWNERS * (_GRANTING_SECONDS + _BUCKET_SECONDS)
    rate = min(per_second, (most - _OWNERS) / seconds)
    rate = max(_LOWEST_PER_SECOND, rate)
    granted = rate * _GRANTING_SECONDS
    owner = granted + 1 + rate * _BUCKET_SECONDS
    beside_owner = (most - owner) / _PARTS_SHARE - granted
    part_depth = max(0, min(beside_owner, most - granted))
    return WarmUpLimit(round(rate, 3), round(part_depth, 2))
