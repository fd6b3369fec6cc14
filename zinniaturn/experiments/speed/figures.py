"""Statistics of measured latencies."""

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
    Latencies in seconds at one request rate, by target and round.

    A result is the median of the rounds' values, so that a stall of the
    machine affects one round and not the result.
    """

    rate: float
    latencies: dict[str, list[list[float]]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def added_milliseconds(self, target: str, fraction: float) -> float:
        """Return the quantile's increase over direct calls in milliseconds."""
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
    Return the smallest number that ``fraction`` of the numbers do not exceed.

    >>> quantile([1, 2, 3, 4], 0.5)
    2
    """
    ordered_numbers = sorted(numbers)
    return ordered_numbers[
        max(0, math.ceil(fraction * len(ordered_numbers)) - 1)
    ]
