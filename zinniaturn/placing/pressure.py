"""
What slots are better kept free, and when.

This answers overload on VMs with noisy neighbours. A request that begins while
its server is slow keeps the slot several times as long as at a quick one, also
after the server is quick again. So each late request at a slow server costs
some that could have been in time, which then come back late in turn: the
overload would outlast the burst that began it.
"""

__all__ = ('Pressure',)

from dataclasses import dataclass

_SIGHT_HOLDS_SECONDS = 1.0
_NEVER = float('-inf')


@dataclass(slots=True)
class Pressure:
    """
    What one VM has lately seen of a pool's demand and of its quick servers.

    Where no server has been quick for a while, a slow one is better than none.

    >>> pressure = Pressure()
    >>> pressure.note_waiting(5.0)
    >>> pressure.is_on(5.1), pressure.has_quick(5.1)
    (True, False)
    >>> pressure.note_quick(5.1)
    >>> pressure.has_quick(6.0), pressure.has_quick(6.2)
    (True, False)
    """

    waiting_at: float = _NEVER
    quick_at: float = _NEVER

    def note_waiting(self, now: float) -> None:
        """Note that a request that can be in time finds no server."""
        self.waiting_at = now

    def note_quick(self, now: float) -> None:
        """Note a server that is about as quick as usual."""
        self.quick_at = now

    def is_on(self, now: float) -> bool:
        """Return whether requests that could be in time have had to wait."""
        return self.waiting_at > now - _SIGHT_HOLDS_SECONDS

    def has_quick(self, now: float) -> bool:
        """Return whether some server has lately been quick and had room."""
        return self.quick_at > now - _SIGHT_HOLDS_SECONDS
