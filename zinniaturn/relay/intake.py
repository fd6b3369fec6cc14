"""The bound on the requests that a VM serves for others."""

__all__ = ('RelayIntake', 'most_for_others')

from dataclasses import dataclass

_FEWEST = 16
_MOST_WITHOUT_CAPACITY = 64
# Requests in flight that a VM takes, as a share of those it carries a second.
_SHARE_OF_CAPACITY = 0.25


def most_for_others(capacity: int) -> int:
    """
    Return how many requests of others a VM may serve at a time.

    ``capacity`` is the requests per second that it carries, 0 if not known.

    >>> most_for_others(287), most_for_others(10), most_for_others(0)
    (71, 16, 64)
    """
    if not capacity:
        return _MOST_WITHOUT_CAPACITY
    return max(_FEWEST, int(capacity * _SHARE_OF_CAPACITY))


@dataclass(slots=True)
class RelayIntake:
    """
    Counts the requests of other VMs in flight and bounds them.

    >>> intake = RelayIntake(most=1)
    >>> intake.admit(), intake.admit()
    (True, False)
    >>> intake.release()
    >>> intake.admit(), intake.refused
    (True, 1)
    """

    most: int
    in_flight: int = 0
    taken: int = 0
    refused: int = 0

    def admit(self) -> bool:
        """Return whether to take one more request, and count it if so."""
        if self.in_flight >= self.most:
            self.refused += 1
            return False
        self.in_flight += 1
        self.taken += 1
        return True

    def release(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1
