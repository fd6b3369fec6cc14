"""Tells swings of a series from variation by chance."""

__all__ = ('autocorrelation', 'deepest_swing')

from collections.abc import Sequence
from statistics import fmean


def autocorrelation(series: Sequence[float], lag: int) -> float:
    """
    Return how a series resembles itself some steps later, from -1 to 1.

    >>> autocorrelation([1, 0] * 50, 1), autocorrelation([1, 0] * 50, 2)
    (-0.99, 0.98)
    """
    mean = fmean(series)
    deviations = [value - mean for value in series]
    power = sum(deviation**2 for deviation in deviations)
    if not power:
        return 0
    later = deviations[lag:]
    pairs = zip(deviations, later, strict=False)
    return sum(one * other for one, other in pairs) / power


def deepest_swing(series: Sequence[float], delay: int) -> float:
    """
    Return the lowest autocorrelation at one to six delays, in steps.

    A control that reacts to news of an age of ``delay`` swings, if it does,
    with a period of two to twelve delays, so that half of a period later the
    series is the opposite. What varies by chance has at most the error of an
    autocorrelation, about one over the root of the number of steps.
    """
    return min(
        autocorrelation(series, lag) for lag in range(delay, 6 * delay + 1)
    )
