"""What a backend server says of its own load."""

__all__ = ('LoadReport',)

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    A backend server's word on its own load, already stale on arrival.

    ``slowness`` is how long work takes on its VM at this moment, as a multiple
    of the usual.
    """

    busy: int
    queued: int
    slots: int
    slowness: float = 1.0

    @property
    def total(self) -> int:
        """Return the requests that run or wait at the server."""
        return self.busy + self.queued
