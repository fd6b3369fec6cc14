"""The load report of a backend server."""

__all__ = ('LoadReport',)

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    A backend server's report of its own load, already stale on arrival.

    ``busy`` requests run, ``queued`` wait, and ``slots`` can run at once.
    ``slowness`` is the current service time on the server's VM as a multiple of
    the usual one.
    """

    busy: int
    queued: int
    slots: int
    slowness: float = 1.0

    @property
    def total(self) -> int:
        """Return the number of requests that run or wait at the server."""
        return self.busy + self.queued
