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


def find_violation(server):
    """
    Return the first window with too many requests to a model's server.

    A window counts if the server named a limit all the while, and since three
    seconds before. Allowed is what the highest of its limits in the window and
    the second before it allows.
    """
    times = [time for time, _ in server.arrivals]
    for number, start in enumerate(times):
        end = start + WINDOW_SECONDS
        limits = _limits_between(server.changes, start - CONTACT_SECONDS, end)
        if None in limits:
            continue
        recent = _limits_between(server.changes, start - 1, end)
        count = bisect_right(times, end) - number
        if count > allowed_in_window(max(recent)):
            return start, count, max(recent)
    return None


def _limits_between(changes, start, end):
    """Return the limits named from ``start`` to ``end``, ``None`` for none."""
    limits = []
    current = None
    for time, limit in changes:
        if time > end:
            break
        if time <= start:
            current = limit
        else:
            limits.append(limit)
    return [current, *limits]
