"""
Detection of pauses of the own process.

While a process is paused its datagrams wait in the socket's buffer. Their
content states how old it was when they were sent, so right after a pause it may
be older than it seems by the whole pause.
"""

__all__ = ('PauseGuard',)

from dataclasses import dataclass

_LONGEST_TICK_GAP_SECONDS = 0.4
# The datagrams that waited are read within this time.
_READ_SECONDS = 0.2


@dataclass(slots=True)
class PauseGuard:
    """
    Tells whether the process was paused a moment ago.

    It is meant to tick ten times a second, by a clock that counts the time in
    which the VM is suspended.

    >>> guard = PauseGuard(ticked_at=0)
    >>> guard.tick(0.1), guard.is_after_pause(0.3)
    (None, False)
    >>> guard.is_after_pause(3.0), guard.tick(3.0), guard.is_after_pause(3.1)
    (True, None, True)
    >>> guard.is_after_pause(3.3)
    False
    """

    ticked_at: float
    resumed_at: float = float('-inf')

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        if now - self.ticked_at > _LONGEST_TICK_GAP_SECONDS:
            self.resumed_at = now
        self.ticked_at = now

    def is_after_pause(
        self, now: float, within_seconds: float = _READ_SECONDS
    ) -> bool:
        """Return whether a pause ended within the last seconds, or just now."""
        is_ending = now - self.ticked_at > _LONGEST_TICK_GAP_SECONDS
        return is_ending or now - self.resumed_at < within_seconds
