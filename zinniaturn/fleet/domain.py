"""Data model of the fleet: backend servers, the tables document and VMs."""

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
    A backend server with the data of its registration.

    ``started_ms`` is the Unix time of the server's start. A server whose start
    time differs counts as another server, and statistics about the former one
    don't apply to it. ``warm_up_seconds`` is the rest of the warm-up period
    that the server announced. It takes no part in comparisons, as it shrinks
    with every heartbeat.
    """

    server: Server
    pool: str
    started_ms: int
    warm_up_seconds: float = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class TablesDocument:
    """The operators' routing document as stored, not yet decoded."""

    revision: int
    raw: bytes


class VmStage(enum.Enum):
    """The lifecycle stage of a VM's process."""

    STARTING = 'starting'
    READY = 'ready'
    STOPPING = 'stopping'


@dataclass(frozen=True, slots=True)
class VmRecord:
    """
    One process of the gateway on a VM.

    ``incarnation`` distinguishes two processes of one VM. It is random rather
    than a timestamp, because a clock that was set back would order the
    processes wrongly. Callers connect to ``front``. ``exchange`` receives
    datagrams from the other VMs, and the next higher port accepts their
    connections. ``capacity`` is the request rate per second that the VM can
    serve, or 0 if it is unknown.
    """

    name: str
    incarnation: int
    data_center: str
    front: str
    exchange: Address
    capacity: int = 0

    def has_same_location(self, other: 'VmRecord') -> bool:
        """Return whether the records differ at most in the incarnation."""
        return replace(self, incarnation=other.incarnation) == other


@dataclass(frozen=True, slots=True)
class StoredVm:
    """A VM's record in the store, with the revision of its key."""

    record: VmRecord
    revision: int


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """
    Everything that the store holds for the fleet, as of one revision.

    ``unreadable`` names the items that could not be decoded, with the reason.
    """

    revision: int
    document: TablesDocument | None
    servers: tuple[RegisteredServer, ...]
    vms: tuple[StoredVm, ...] = ()
    unreadable: tuple[str, ...] = ()
