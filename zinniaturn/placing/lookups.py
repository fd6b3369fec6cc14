"""Which addresses a caller is told, and for how long."""

__all__ = ('LookupAnswers',)

import random
from collections.abc import Sequence
from dataclasses import dataclass

_MOST_ADDRESSES = 64


@dataclass(slots=True)
class LookupAnswers:
    """
    Spreads callers over all VMs.

    The lifetime is short enough that callers learn of a stopping VM while it
    still serves them.
    """

    source: random.Random
    lifetime_seconds: float = 2.0
    most: int = _MOST_ADDRESSES

    def pick(self, fronts: Sequence[str]) -> list[str]:
        """Return the addresses in random order, at most the number allowed."""
        return self.source.sample(fronts, min(self.most, len(fronts)))
