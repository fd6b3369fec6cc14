"""The retry-after time of a rejected request."""

__all__ = ('RetryAfterJitter', 'seconds_after_shedding')

import random
from dataclasses import dataclass

_SHORTEST_RETRY_SECONDS = 0.03
_LONGEST_RETRY_SECONDS = 2.0
_SOON_SECONDS = 0.08
# Share of the time that a caller has to spare until its objective.
_SPARE_TIME_SHARE = 0.5


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


def seconds_after_shedding(
    objective_left: float, service_seconds: float, is_full: bool
) -> float:
    """
    Return when a caller should retry after a server did not take its request.

    It is meant for pools that shed a part of their requests although they are
    not full: the next attempt has the same chance at any time, so it is best
    made while it can still meet the objective, which is ``objective_left``
    seconds away. A full server needs the time of a request to have room again,
    and so may a late caller wait.

    >>> seconds_after_shedding(0.6, 0.2, is_full=False)
    0.08
    >>> seconds_after_shedding(0.6, 0.2, is_full=True)
    0.2
    >>> seconds_after_shedding(0.1, 0.2, is_full=False)
    0.2
    """
    spare = (objective_left - service_seconds) * _SPARE_TIME_SHARE
    if is_full or spare <= 0:
        return service_seconds
    return min(spare, _SOON_SECONDS)
