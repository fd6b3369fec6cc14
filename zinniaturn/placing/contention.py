"""
Detects contention for a pool's slots, under which some are kept free.

It is meant for overload of servers on VMs with noisy neighbours. A request that
starts while its server is slow holds the slot several times as long as on a
fast server, even after the server has become fast again. So each late request
on a slow server displaces several that could have been in time, which are then
retried late: without this, the overload would outlast the burst that caused it.
"""

__all__ = ('PoolContention',)

from dataclasses import dataclass

_OBSERVATION_LIFETIME_SECONDS = 1.0
_NEVER = float('-inf')


@dataclass(slots=True)
class PoolContention:
    """
    What one VM observed in the last second of a pool's demand and fast servers.

    Where no server has been fast for a second, slow ones are used too.

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
        """Record that a request that can be in time found no server."""
        self.unserved_at = now

    def note_fast_server(self, now: float) -> None:
        """Record a server that can serve a request in time."""
        self.fast_server_at = now

    def is_contended(self, now: float) -> bool:
        """Return whether requests that can be in time have had to wait."""
        return self.unserved_at > now - _OBSERVATION_LIFETIME_SECONDS

    def has_fast_server(self, now: float) -> bool:
        """Return whether a fast server has had a free slot recently."""
        return self.fast_server_at > now - _OBSERVATION_LIFETIME_SECONDS
