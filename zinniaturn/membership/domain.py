"""Data classes of the members."""

__all__ = ('Address', 'Heartbeat', 'Member')

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True, order=True)
class Heartbeat:
    """
    A sign of life; the greater of two is the later one.

    ``incarnation`` grows with each start of the process, ``count`` with each
    round. Leaving is never taken back within an incarnation.
    """

    incarnation: int = 0
    leaving: bool = False
    count: int = 0


@dataclass(frozen=True, slots=True)
class Member:
    """An entry: where it takes callers, peers and operators."""

    name: str
    callers: Address
    peers: Address
    admin: Address
    data_center: str = ''
    vm: str = ''
    heartbeat: Heartbeat = field(default_factory=Heartbeat)
