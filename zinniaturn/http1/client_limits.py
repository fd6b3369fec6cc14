"""
What the process may hold for its clients, derived from its VM's resources.

The rest is kept for the process itself, the store, servers and other VMs.
"""

__all__ = ('ClientLimits', 'Place', 'client_bytes', 'client_connections')

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

_MEGABYTE = 10**6
# The process without clients: 34 MB measured, and room for its figures.
_OWN_MEGABYTES = 45
# Arrays grow ahead of what they hold, and the allocator keeps freed pieces:
# 26 MB that were counted took 40 MB.
_USABLE_SHARE = 0.65
_LEAST_BYTES = 4 * _MEGABYTE
_DEFAULT_BYTES = 64 * 1024 * 1024
_DEFAULT_DESCRIPTORS = 4096
# Of a VM's descriptors these are for files.
_FILE_DESCRIPTORS = 200
_LEAST_CONNECTIONS = 4


class Place(enum.Enum):
    """What a connection is for: the port that it arrives on, or a server."""

    CALLERS = 'callers'
    LOOK_UPS = 'look-ups'
    READINESS = 'readiness'
    VMS = 'vms'
    METRICS = 'metrics'
    SERVERS = 'servers'


# Whatever comes to one port, there is room at the others. What is left is for
# the store, connections to other VMs and those that are being closed.
_SHARES: Mapping[Place, float] = MappingProxyType(
    {
        Place.CALLERS: 0.32,
        Place.LOOK_UPS: 0.1,
        Place.VMS: 0.09,
        Place.READINESS: 0.03,
        Place.METRICS: 0.02,
        Place.SERVERS: 0.3,
    }
)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """
    Limits on what one connection holds before its next requests wait.

    ``requests`` are those in work or waiting for their turn, and
    ``response_bytes`` what its client has not read of the responses.
    ``pipelined_share`` of the connections for callers is how many requests may
    be in work while connections with earlier ones start further ones.
    """

    requests: int = 8
    pipelined_share: float = 0.25
    response_bytes: int = 256 * 1024


def client_bytes(memory_megabytes: float) -> int:
    """
    Return the bytes that may be held for clients; 0 megabytes: not known.

    >>> client_bytes(200), client_bytes(0)
    (100750000, 67108864)
    """
    if not memory_megabytes:
        return _DEFAULT_BYTES
    megabytes = (memory_megabytes - _OWN_MEGABYTES) * _USABLE_SHARE
    return max(_LEAST_BYTES, round(megabytes * _MEGABYTE))


def client_connections(max_descriptors: int, place: Place) -> int:
    """
    Return the connections that a place may have; 0 descriptors: not known.

    >>> client_connections(4100, Place.CALLERS)
    1248
    """
    descriptors = (max_descriptors or _DEFAULT_DESCRIPTORS) - _FILE_DESCRIPTORS
    return max(_LEAST_CONNECTIONS, int(descriptors * _SHARES[place]))
