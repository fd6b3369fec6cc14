"""
What slots are better kept free, and when.

This answers overload on VMs with noisy neighbours. A request that begins while
its server is slow keeps the slot several times as long as at a quick one, also
after the server is quick again. So each late request at a slow server costs
some that could have been in time, which then come back late in turn: the
overload would outlast the burst that began it.
"""

__all__ = ('PoolContention',)

from dataclasses import dataclass

_SIGHT_HOLDS_SECONDS = 1.0
_NEVER = float('-inf')


@dataclass(slots=True)
class PoolContention:
    """
    What one VM has lately seen of a pool's demand and of its quick servers.

    Where no server has been quick for a while, a slow one is better than none.

    >>> contention = PoolContention()
    >>> contention.note_unserved(5.0)
    >>> contention.is_contended(5.1), contention.has_fast_server(5.1)
    (True, False)
    >>> contention.note_fast_server(5.1)
    >>> contention.has_fast_server(6.0), contention.has_fast_server(6.2)
    (True, False)
    """

    unserved_at: float = _NEVER
    fast_server_at: float = _NEVER

    def note_unserved(self, now: float) -> None:
        """Note that a request that can be in time finds no server."""
        self.unserved_at = now

    def note_fast_server(self, now: float) -> None:
        """Note a server that is about as quick as usual."""
        self.fast_server_at = now

    def is_contended(self, now: float) -> bool:
        """Return whether requests that could be in time have had to wait."""
        return self.unserved_at > now - _SIGHT_HOLDS_SECONDS

    def has_fast_server(self, now: float) -> bool:
        """Return whether some server has lately been quick and had room."""
        return self.fast_server_at > now - _SIGHT_HOLDS_SECONDS
