"""
How many seats a budget allows, and how far apart a seat's requests are.

A window of one second holds at most one measuring request of a seat, as two
of them start more than a second apart at the server: the next is sent only
after the last one has ended there. So as many seats as the budget's whole
part keep to it in any window.
"""

__all__ = ('MeasuringInterval', 'measuring_interval_seconds', 'permit_count')

from dataclasses import dataclass

_WINDOW_SECONDS = 1.0
_MARGIN_SECONDS = 0.05


def permit_count(budget: float) -> int:
    """
    Return the seats of a budget in measuring requests per second per server.

    >>> permit_count(0), permit_count(0.2), permit_count(2.9)
    (0, 1, 2)
    """
    if not budget:
        return 0
    return max(1, int(budget))


def measuring_interval_seconds(budget: float) -> float:
    """
    Return the seconds between two measuring requests of a seat.

    >>> measuring_interval_seconds(0.2)
    5.05
    """
    return max(_WINDOW_SECONDS, 1 / budget) + _MARGIN_SECONDS


@dataclass(slots=True)
class MeasuringInterval:
    """
    When the next measuring request to one server may be sent.

    `begin` is called when one is sent and `end` once it has surely ended at
    the server; between the two none is due.
    """

    due_at: float = 0
    is_outstanding: bool = False

    def is_due(self, now: float) -> bool:
        """Return whether one may be sent at ``now``."""
        return not self.is_outstanding and now >= self.due_at

    def begin(self) -> None:
        """Note that one is on its way."""
        self.is_outstanding = True

    def end(self, now: float, interval_seconds: float) -> None:
        """Note that it has ended; the spacing counts from here."""
        self.is_outstanding = False
        self.due_at = now + interval_seconds
