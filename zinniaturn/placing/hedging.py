"""
When an idempotent request is sent to a second server as well.

It answers servers that turn slow or silent after they were chosen. The second
send waits as long as it can and still meet the objective, so that few are
made. Where the objective is out of reach it comes once the first send has taken
several times as long as it should: the server may have lost the answer, and a
late one is better than none.
"""

__all__ = ('hedge_delay',)

_PATIENCE = 1.25
_ROOM = 1.2
_STUCK = 3.0
_SHORTEST_SECONDS = 0.02


def hedge_delay(
    service_seconds: float,
    expected_seconds: float,
    objective_left: float,
) -> float:
    """
    Return the seconds after the first send.

    >>> round(hedge_delay(0.1, 0.12, 0.4), 2)
    0.28
    >>> round(hedge_delay(0.3, 0.3, 0.4), 2)
    0.9
    """
    latest = objective_left - service_seconds * _ROOM
    earliest = expected_seconds * _PATIENCE
    if latest < max(earliest, _SHORTEST_SECONDS):
        return expected_seconds * _STUCK
    return latest
