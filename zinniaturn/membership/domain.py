"""Data classes of the members and their heartbeats."""

__all__ = ('Address', 'Heartbeat', 'Member')

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True, order=True)
class Heartbeat:
    """
    A heartbeat of an entry; of two, the greater one is the later one.

    ``incarnation`` increases with each start of the process and ``count`` with
    each gossip round. Within an incarnation ``leaving`` never becomes false
    again.
    """

    incarnation: int = 0
    leaving: bool = False
    count: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """
    An entry and its addresses for callers, peers and operators.

    ``vm`` is the name of its VM in the platform's VM list.
    """

    name: str
    callers: Address
    peers: Address
    admin: Address
    data_center: str = ''
    vm: str = ''
    heartbeat: Heartbeat = field(default_factory=Heartbeat)
