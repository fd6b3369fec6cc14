"""
Clocks.

Decisions never read the time themselves. They get a `Clock`, so that a test,
a bench and the entry drive the same code.
"""

__all__ = ('BootClock', 'Clock', 'ManualClock', 'SystemClock')

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def wall(self) -> float:
        """Return seconds since the epoch, which operators may change."""


class SystemClock:
    """The VM's own clocks."""

    def monotonic(self) -> float:
        """Return the VM's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the VM's wall time in seconds since the epoch."""
        return time.time()


class BootClock(SystemClock):
    """The VM's clocks; the monotonic one counts on while it is suspended."""

    def monotonic(self) -> float:
        """Return the seconds since the VM was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """
    A clock that moves only when told to.

    >>> clock = ManualClock(5.0)
    >>> clock.advance(0.5)
    >>> clock.monotonic()
    5.5
    """

    def __init__(self, start: float = 0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the seconds set so far."""
        return self.now

    def wall(self) -> float:
        """Return the same seconds as `monotonic`."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self.now += seconds
