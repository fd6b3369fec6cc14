"""Figures of a speed run, and their form as JSON."""

__all__ = ('LoadLatencies', 'quantile')

import math
import statistics
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

_MILLISECONDS_PER_SECOND = 1000
_DECIMAL_PLACES = 4


@dataclass(slots=True)
class LoadLatencies:
    """
    Latencies in seconds at one rate, by target and by turn.

    A figure is the median over the turns of what each turn gives: a stall of
    the machine then spoils one turn and not the figure.
    """

    rate: float
    latencies: dict[str, list[list[float]]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def added_milliseconds(self, target: str, fraction: float) -> float:
        """Return what ``target`` adds to a direct call, in milliseconds."""
        rounds = zip(
            self.latencies[target],
            self.latencies['direct'],
            strict=True,
        )
        added_seconds = [
            quantile(target_latencies, fraction)
            - quantile(direct_latencies, fraction)
            for target_latencies, direct_latencies in rounds
        ]
        return round(
            statistics.median(added_seconds) * _MILLISECONDS_PER_SECOND,
            _DECIMAL_PLACES,
        )


def quantile(numbers: Sequence[float], fraction: float) -> float:
    """
    Return the number that ``share`` of the numbers do not exceed.

    >>> quantile([1, 2, 3, 4], 0.5)
    2
    """
    ordered_numbers = sorted(numbers)
    return ordered_numbers[
        max(0, math.ceil(fraction * len(ordered_numbers)) - 1)
    ]
