"""
The permits and the interval of measuring requests that a budget allows.

The holder of a permit sends the next measuring request to a server more than a
second after the last one has ended there. So two of them start more than a
second apart at the server, and any window of one second contains at most one
per permit. As many permits as the whole part of the budget therefore keep to
it in any window.
"""

__all__ = ('MeasuringInterval', 'measuring_interval_seconds', 'permit_count')

from dataclasses import dataclass

_WINDOW_SECONDS = 1.0
_INTERVAL_MARGIN_SECONDS = 0.05


def permit_count(budget: float) -> int:
    """
    Return the number of permits that a measuring budget allows.

    ``budget`` is in measuring requests per second per server.

    >>> permit_count(0), permit_count(0.2), permit_count(2.9)
    (0, 1, 2)
    """
    if not budget:
        return 0
    return max(1, int(budget))


def measuring_interval_seconds(budget: float) -> float:
    """
    Return the seconds between the measuring requests of a permit.

    >>> measuring_interval_seconds(0.2)
    5.05
    """
    return max(_WINDOW_SECONDS, 1 / budget) + _INTERVAL_MARGIN_SECONDS


@dataclass(slots=True)
class MeasuringInterval:
    """
    Tracks when the next measuring request to one server is due.

    `begin` is called when one is sent and `end` once it has certainly ended at
    the server; between the two none is due.
    """

    due_at: float = 0
    is_outstanding: bool = False

    def is_due(self, now: float) -> bool:
        """Return whether a request may be sent at ``now``."""
        return not self.is_outstanding and now >= self.due_at

    def begin(self) -> None:
        """Record that a request is outstanding."""
        self.is_outstanding = True

    def end(self, now: float, interval_seconds: float) -> None:
        """Record that the request has ended, which starts the interval."""
        self.is_outstanding = False
        self.due_at = now + interval_seconds
