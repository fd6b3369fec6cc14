"""Figures of a speed run, and their form as JSON."""

__all__ = ('LoadFigures', 'quantile')

import math
import statistics
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

_MILLISECONDS = 1000
_DIGITS = 4


@dataclass(slots=True)
class LoadFigures:
    """
    Latencies in seconds at one rate, by target and by turn.

    A figure is the median over the turns of what each turn gives: a stall of
    the machine then spoils one turn and not the figure.
    """

    rate: float
    latencies: dict[str, list[list[float]]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def added(self, target: str, share: float) -> float:
        """Return what ``target`` adds to a direct call, in milliseconds."""
        turns = zip(
            self.latencies[target],
            self.latencies['direct'],
            strict=True,
        )
        added = [
            quantile(latencies, share) - quantile(baseline, share)
            for latencies, baseline in turns
        ]
        return round(statistics.median(added) * _MILLISECONDS, _DIGITS)


def quantile(numbers: Sequence[float], share: float) -> float:
    """
    Return the number that ``share`` of the numbers do not exceed.

    >>> quantile([1, 2, 3, 4], 0.5)
    2
    """
    ordered = sorted(numbers)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
