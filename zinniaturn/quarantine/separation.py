"""
Which servers a suspected request may run on.

Two suspected requests that share servers can't be told apart. So each prefers
servers of its own, by a hash that is the same on all VMs.
"""

__all__ = ('preferred_servers',)

import zlib
from collections.abc import Iterable

from zinniaturn.quarantine.request_key import RequestKey

_PREFERRED = 2


def preferred_servers(
    key: RequestKey, servers: Iterable[str], count: int = _PREFERRED
) -> list[str]:
    """
    Return the servers that a suspected request should run on, the best first.

    Work: a checksum of each server's name, for copies of suspected requests.

    >>> preferred_servers(7, ['s-1', 's-2', 's-3', 's-4'])
    ['s-1', 's-4']
    >>> preferred_servers(8, ['s-1', 's-2', 's-3', 's-4'])
    ['s-2', 's-3']
    """
    label = b'%d/' % key

    def rank(server: str) -> tuple[int, str]:
        return zlib.crc32(label + server.encode()), server

    return sorted(servers, key=rank)[:count]
