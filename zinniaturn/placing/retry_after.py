"""The retry-after time of a rejected request."""

__all__ = ('RetryAfterJitter',)

import random
from dataclasses import dataclass

_SHORTEST_RETRY_SECONDS = 0.03
_LONGEST_RETRY_SECONDS = 2.0


@dataclass(slots=True)
class RetryAfterJitter:
    """
    Adds jitter to the retry-after times of rejected requests.

    Callers that retry at once would find the servers as full as before, and
    callers that retry together would fill them all at the same time.
    """

    random_source: random.Random

    def seconds(self, until_free_seconds: float) -> float:
        """Return the seconds to wait, given those until a slot is free."""
        jittered = until_free_seconds * self.random_source.uniform(0.6, 1.4)
        return min(
            _LONGEST_RETRY_SECONDS, max(_SHORTEST_RETRY_SECONDS, jittered)
        )
