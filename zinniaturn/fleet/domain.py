"""What a VM knows of backend servers, of the tables and of other VMs."""

__all__ = (
    'FleetSnapshot',
    'RegisteredServer',
    'StoredVm',
    'TablesDocument',
    'VmRecord',
    'VmStage',
)

import enum
from dataclasses import dataclass, field, replace

from zinniaturn.http1.connections import Address
from zinniaturn.tables.domain import Server


@dataclass(frozen=True, slots=True)
class RegisteredServer:
    """
    A backend server as it registered itself.

    ``started_ms`` is the Unix time of its start: with another one it is another
    server, of which nothing is known. ``warm_up_seconds`` is how much longer
    it said to stay slow; it takes no part in comparisons, as it shrinks with
    every heartbeat.
    """

    server: Server
    pool: str
    started_ms: int
    warm_up_seconds: float = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class TablesDocument:
    """The operator's document as it lies in the store, not yet decoded."""

    revision: int
    raw: bytes


class VmStage(enum.Enum):
    """How far a VM's process has come."""

    STARTING = 'starting'
    READY = 'ready'
    STOPPING = 'stopping'


@dataclass(frozen=True, slots=True)
class VmRecord:
    """
    One process of the system on a VM.

    ``incarnation`` tells two processes of one VM apart; it is drawn at random,
    as a clock that was set back would tell the wrong order. Callers connect to
    ``front``; ``exchange`` takes datagrams, and the port above it connections,
    of the other VMs. ``capacity`` is how many requests a second the VM is good
    for, 0 where that is not known.
    """

    name: str
    incarnation: int
    data_center: str
    front: str
    exchange: Address
    capacity: int = 0

    def has_same_location(self, other: 'VmRecord') -> bool:
        """Return whether both have the same place and addresses."""
        return replace(self, incarnation=other.incarnation) == other


@dataclass(frozen=True, slots=True)
class StoredVm:
    """A VM's record as it lies in the store, and the revision it is of."""

    record: VmRecord
    revision: int


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """
    All that the store holds for the system, as of one revision.

    ``unreadable`` says which items could not be decoded, and why.
    """

    revision: int
    document: TablesDocument | None
    servers: tuple[RegisteredServer, ...]
    vms: tuple[StoredVm, ...] = ()
    unreadable: tuple[str, ...] = ()
