"""When a caller whose request was refused should come back."""

__all__ = ('RetryAfterJitter',)

import random
from dataclasses import dataclass

_SHORTEST_SECONDS = 0.03
_LONGEST_SECONDS = 2.0


@dataclass(slots=True)
class RetryAfterJitter:
    """
    Spreads the return of refused callers over the time a slot takes.

    Those that come back at once would find the servers as full as before, and
    those that come back together would fill them at one moment.
    """

    source: random.Random

    def seconds(self, until_free_seconds: float) -> float:
        """Return the seconds to wait, given when a slot should be free."""
        spread = until_free_seconds * self.source.uniform(0.6, 1.4)
        return min(_LONGEST_SECONDS, max(_SHORTEST_SECONDS, spread))
