"""Counts requests by the users' rule on the limits of backend servers."""

from bisect import bisect_right

from zinniaturn.experiments.limit_days import WINDOW_SECONDS


def most_in_window(times, start, seconds=WINDOW_SECONDS):
    """Return the most requests in any window that begins after ``start``."""
    later = sorted(time for time in times if time >= start)
    return max(
        (
            bisect_right(later, first + seconds) - number
            for number, first in enumerate(later)
        ),
        default=0,
    )
