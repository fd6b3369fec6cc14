"""Data model of the fleet: backend servers, the tables document and VMs."""

__all__ = (
    'FleetSnapshot',
    'RegisteredServer',
    'StoredVm',
    'TablesDocument',
    'VmRecord',
    'VmStage',
    'VmStatus',
)

import enum
from dataclasses import dataclass, field

from zinniaturn.http1.connections import Address
from zinniaturn.quarantine.hold_record import StoredHold
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
    """
    The operators' routing document as stored, not yet decoded.

    It holds tenants' keys, so that it's not shown.
    """

    revision: int
    raw: bytes = field(repr=False)


class VmStage(enum.Enum):
    """
    The lifecycle stage of a VM's process.

    ``DEAD`` is what other VMs say of one that no longer responds.
    """

    STARTING = 0
    READY = 1
    STOPPING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class VmRecord:
    """
    Where a VM may be reached.

    Callers connect to ``front``. ``exchange`` receives datagrams from the other
    VMs, and the next higher port accepts their connections. ``capacity`` is the
    request rate per second that the VM can serve, or 0 if it is unknown.
    ``fleet_size`` is the number of VMs that was known when the record was
    written to the store.
    """

    name: str
    data_center: str
    front: str
    exchange: Address
    capacity: int = 0
    fleet_size: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class VmStatus:
    """
    The status of one VM as of one version.

    ``load`` is the rate of callers' requests at the VM, per second. ``record``
    is left out where the receiver is expected to know it. ``cut_off`` is the
    number of pools whose servers respond to other VMs but not to this one.
    ``is_outdated`` is set while its tables may soon be too old for tenants.
    """

    name: str
    version: int
    stage: VmStage
    load: int = 0
    record: VmRecord | None = None
    cut_off: int = 0
    is_outdated: bool = False

    def supersedes(self, version: int, stage: VmStage) -> bool:
        """Return whether this status is newer than another one."""
        own_rank = self.version, self.stage is VmStage.DEAD
        return own_rank > (version, stage is VmStage.DEAD)


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
    ``holds`` are the requests that are kept from the servers. ``evacuated`` are
    the data centres whose servers get nothing, ``None`` if that was not told.
    """

    revision: int
    document: TablesDocument | None
    servers: tuple[RegisteredServer, ...]
    vms: tuple[StoredVm, ...] = ()
    unreadable: tuple[str, ...] = ()
    holds: tuple[StoredHold, ...] = ()
    evacuated: frozenset[str] | None = None
