"""
Provides the clocks that time-dependent code gets as arguments.

Code that makes decisions never reads the system time itself. It gets a
`Clock`, so that tests, benchmarks and the entry run the same code.
"""

__all__ = ('BootClock', 'Clock', 'ManualClock', 'SystemClock')

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Return a time in seconds that never decreases."""

    def wall(self) -> float:
        """Return seconds since the epoch; may jump if the clock is set."""


class SystemClock:
    """The VM's own clocks."""

    def monotonic(self) -> float:
        """Return the VM's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the VM's wall time in seconds since the epoch."""
        return time.time()


class BootClock(SystemClock):
    """The VM's clocks; the monotonic one includes time spent suspended."""

    def monotonic(self) -> float:
        """Return the seconds since the VM was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """
    A clock that advances only on request, for tests.

    >>> clock = ManualClock(5.0)
    >>> clock.advance(0.5)
    >>> clock.monotonic()
    5.5
    """

    def __init__(self, start: float = 0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the start time plus all advances."""
        return self.now

    def wall(self) -> float:
        """Return the same seconds as `monotonic`."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self.now += seconds
