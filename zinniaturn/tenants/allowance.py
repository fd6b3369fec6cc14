"""
How a tenant's allowance is kept by permits that all VMs get from one of them.

Each tenant's allowance belongs to one VM, as a server's limit does. It grants
permits from a token bucket that fills at the tenant's rate. A bucket bounds
each window in which permits are granted, and permits are used a moment later.
So in any window of ``w`` seconds at most ``rate * (w + life) + depth`` requests
are sent, and the depth follows from the bound. A new owner's bucket starts with
a few tokens only, whatever the owner before it has granted.
"""

__all__ = ('AllowanceBounds', 'Bucket', 'bucket_for')

from dataclasses import dataclass

from zinniaturn.admission.allowance_grantor import START_TOKENS
from zinniaturn.admission.permits import PERMIT_LIFETIME_SECONDS

# Owners that may follow each other within a window.
_OWNERS_IN_WINDOW = 2
# The rest of what a window may have is for requests that come in a clump.
_SUSTAINED_SHARE = 0.9
_SMALLEST_DEPTH = 1.0


@dataclass(frozen=True, slots=True)
class AllowanceBounds:
    """
    The window in seconds, and what is tolerated beyond an allowance.

    ``overage`` is a share of the allowance, ``slack`` a number of requests.
    """

    window_seconds: float = 5.0
    overage: float = 0
    slack: float = 0


@dataclass(frozen=True, slots=True)
class Bucket:
    """The rate in permits per second and the depth of a token bucket."""

    per_second: float
    depth: float


def bucket_for(
    per_second: float, burst: float, bounds: AllowanceBounds
) -> Bucket:
    """
    Return the bucket that keeps an allowance in any window.

    An allowance of a window may be used in each window anew, its burst too. So
    the rate is that of whole windows, as far as the tolerance covers the life
    of permits, and what is left of the bound is the depth.

    >>> bucket_for(54, 54, AllowanceBounds(5, 0.1, 20))
    Bucket(per_second=57.166, depth=36.84)
    >>> bucket = bucket_for(10, 0, AllowanceBounds(5, 0, 0))
    >>> bucket.per_second, bucket.depth
    (6.517, 4.2)
    """
    allowance = per_second * bounds.window_seconds + burst
    most = allowance * (1 + bounds.overage) + bounds.slack
    most -= _OWNERS_IN_WINDOW * min(START_TOKENS, most / 10)
    seconds = bounds.window_seconds + PERMIT_LIFETIME_SECONDS
    rate = min(
        allowance / bounds.window_seconds,
        most * _SUSTAINED_SHARE / seconds,
    )
    rate = round(rate, 3)
    depth = max(_SMALLEST_DEPTH, round(most - rate * seconds, 2))
    return Bucket(rate, depth)
