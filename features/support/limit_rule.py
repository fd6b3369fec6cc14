"""The users' rule on the limits that backend servers name."""

from bisect import bisect_right

WINDOW_SECONDS = 4.0
# A server's limit binds from this time after it first named it.
CONTACT_SECONDS = 3.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5


def allowed_in_window(limit):
    """Return how many requests a server may get within a window."""
    return int(_ALLOWED_FACTOR * limit * WINDOW_SECONDS) + _ALLOWED_EXTRA


def most_in_window(times, start):
    """Return the most requests in any window that begins after ``start``."""
    later = sorted(time for time in times if time >= start)
    return max(
        (
            bisect_right(later, first + WINDOW_SECONDS) - number
            for number, first in enumerate(later)
        ),
        default=0,
    )
