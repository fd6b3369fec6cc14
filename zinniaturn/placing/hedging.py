"""
The delay after which an idempotent request is hedged.

Hedging covers servers that become slow or stop responding after they were
chosen. The hedge is sent as late as it can be and still meet the objective, so
that few hedges are needed. Where the objective is out of reach, it is sent
once the first attempt has taken several times its expected latency: the server
may have lost the response, and a late one is better than none.
"""

__all__ = ('hedge_delay',)

# The hedge leaves the first attempt this multiple of its expected latency.
_FIRST_ATTEMPT_FACTOR = 1.25
# The hedge itself needs this multiple of the service time.
_HEDGE_TIME_FACTOR = 1.2
# Multiple of the expected latency after which an attempt counts as stuck.
_STUCK_FACTOR = 3.0
_SHORTEST_DELAY_SECONDS = 0.02


def hedge_delay(
    service_seconds: float,
    expected_seconds: float,
    objective_left: float,
) -> float:
    """
    Return the seconds between the first attempt and the hedge.

    ``objective_left`` is the seconds left until the objective.

    >>> round(hedge_delay(0.1, 0.12, 0.4), 2)
    0.28
    >>> round(hedge_delay(0.3, 0.3, 0.4), 2)
    0.9
    """
    latest = objective_left - service_seconds * _HEDGE_TIME_FACTOR
    earliest = expected_seconds * _FIRST_ATTEMPT_FACTOR
    if latest < max(earliest, _SHORTEST_DELAY_SECONDS):
        return expected_seconds * _STUCK_FACTOR
    return latest
