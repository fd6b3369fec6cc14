"""Which requests a process that is about to end may still serve."""

__all__ = ('PlannedStop',)

from dataclasses import dataclass

_LISTEN_SHARE = 0.72
_FINISH_SHARE = 0.95
# Requests that were sent before the stop was known may take until then.
_EXIT_SHARE = 0.97


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """
    The times of a planned stop, by the event loop's clock.

    Callers keep addresses for a while, so the process serves new connections
    until ``listen_until``. What it accepts has to be over at ``finish_at``. It
    waits until ``exit_at`` for older requests that take longer.
    """

    listen_until: float
    finish_at: float
    exit_at: float

    @classmethod
    def begin(cls, now: float, seconds: float) -> 'PlannedStop':
        """
        Return the times of a stop that has to be over in ``seconds``.

        >>> PlannedStop.begin(100, 10).finish_at
        109.5
        """
        return cls(
            now + seconds * _LISTEN_SHARE,
            now + seconds * _FINISH_SHARE,
            now + seconds * _EXIT_SHARE,
        )

    def covers(self, deadline: float) -> bool:
        """
        Return whether a request with a deadline is surely over in time.

        Its usual latency doesn't count: a server may take any time up to the
        deadline, and a request that was sent can't be taken back.

        >>> PlannedStop.begin(100, 10).covers(109)
        True
        >>> PlannedStop.begin(100, 10).covers(109.6)
        False
        """
        return deadline <= self.finish_at
