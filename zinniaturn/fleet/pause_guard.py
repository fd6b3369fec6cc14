"""
Detection of pauses of the own process.

While a process is paused its datagrams wait in the socket's buffer. Their
content states how old it was when they were sent, so right after a pause it may
be older than it seems by the whole pause.
"""

__all__ = ('PauseGuard',)

from dataclasses import dataclass, field

_LONGEST_TICK_GAP_SECONDS = 0.4
# The datagrams that waited are read within this time.
_READ_SECONDS = 0.2
# After a shorter pause the reads of the store are hardly late.
_LONG_PAUSE_SECONDS = 1.0


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

    ``past_pauses_seconds`` is the length of all pauses that have ended, and
    ``long_resumed_at`` is when the process started or its last long pause
    ended.
    """

    ticked_at: float
    resumed_at: float = float('-inf')
    past_pauses_seconds: float = 0
    long_resumed_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Take the start of the process for the end of a pause."""
        self.long_resumed_at = self.ticked_at

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        pause_seconds = self._present_pause_seconds(now)
        if pause_seconds:
            self.resumed_at = now
            self.past_pauses_seconds += pause_seconds
            if pause_seconds > _LONG_PAUSE_SECONDS:
                self.long_resumed_at = now
        self.ticked_at = now

    def is_after_pause(
        self, now: float, within_seconds: float = _READ_SECONDS
    ) -> bool:
        """Return whether a pause ended within the last seconds, or just now."""
        if self._present_pause_seconds(now):
            return True
        return now - self.resumed_at < within_seconds

    def paused_seconds(self, now: float) -> float:
        """Return how long the process was paused since the guard was made."""
        return self.past_pauses_seconds + self._present_pause_seconds(now)

    def resumed_at_latest(self, now: float) -> float:
        """Return when the process started or a long pause of it ended."""
        if self._present_pause_seconds(now) > _LONG_PAUSE_SECONDS:
            return now
        return self.long_resumed_at

    def _present_pause_seconds(self, now: float) -> float:
        """Return the length of the pause that is just ending, 0 if none is."""
        seconds = now - self.ticked_at
        return seconds if seconds > _LONGEST_TICK_GAP_SECONDS else 0
