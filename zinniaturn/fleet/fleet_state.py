"""
The state of the fleet that a VM holds: tables, backend servers and VMs.

The state only moves forward: a snapshot of an older revision changes nothing,
and a server that was seen leaving stays leaving until it is seen restarted.
"""

__all__ = ('FleetState', 'StateChange', 'StateFingerprint')

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from zinniaturn.clock import Clock
from zinniaturn.fleet.domain import (
    FleetSnapshot,
    RegisteredServer,
    StoredVm,
    TablesDocument,
)
from zinniaturn.fleet.exceptions import BadDocumentError
from zinniaturn.fleet.server_changes import ServerChanges, changed_names
from zinniaturn.fleet.tables import FleetTables

_OUTAGE_THRESHOLD_SECONDS = 3.0
_REREGISTRATION_GRACE_SECONDS = 2.0
_MAX_REPORTED_AGE_SECONDS = 1e6
_MS_PER_SECOND = 1000

TablesDecoder = Callable[[TablesDocument], FleetTables]


@dataclass(frozen=True, slots=True)
class StateChange:
    """
    The difference that a snapshot made to the state.

    ``refused`` says why the snapshot or its document was not used.
    """

    revision: int
    tables_revision: int | None = None
    joined: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    refused: str = ''
    listed_vms_changed: bool = False

    def __bool__(self) -> bool:
        """Return whether anything has changed."""
        changed = self.joined or self.leaving or self.gone or self.refused
        has_tables = self.tables_revision is not None
        return bool(changed) or has_tables or self.listed_vms_changed


@dataclass(frozen=True, slots=True)
class StateFingerprint:
    """
    Version numbers of the parts of a state, for comparing two states.

    The tables are identified by their revision, the servers and the listed
    VMs by a digest.
    """

    tables: int = 0
    servers: int = 0
    vms: int = 0

    @property
    def digest(self) -> int:
        """Return one digest of all parts."""
        return _digest((self.tables, self.servers, self.vms))


@dataclass(slots=True)
class FleetState:
    """
    The newest known state of the fleet.

    ``confirmed_at`` is the latest time at which the state is certain to have
    been the store's. ``document`` is the newest document, ``tables`` are those
    of the newest document that could be decoded. ``grace_until`` holds the
    servers that were missing from the store after an outage, with the time
    until which they are kept; ``shared_servers`` are all others, which other
    VMs may get from this one.
    """

    clock: Clock
    decode: TablesDecoder
    revision: int = 0
    confirmed_at: float = float('-inf')
    document: TablesDocument | None = None
    tables: FleetTables | None = None
    servers: dict[str, RegisteredServer] = field(default_factory=dict)
    vms: tuple[StoredVm, ...] = ()
    grace_until: dict[str, float] = field(default_factory=dict)
    fingerprint: StateFingerprint = field(default_factory=StateFingerprint)
    shared_servers: dict[str, RegisteredServer] = field(default_factory=dict)
    server_changes: ServerChanges = field(default_factory=ServerChanges)
    observers: list[Callable[[StateChange], None]] = field(default_factory=list)

    @property
    def digest(self) -> int:
        """Return the digest of the whole state."""
        return self.fingerprint.digest

    @property
    def age_seconds(self) -> float:
        """Return the time since the state was last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    @property
    def age_ms(self) -> int:
        """Return the age as a finite number, even before the first state."""
        age = min(_MAX_REPORTED_AGE_SECONDS, self.age_seconds)
        return round(age * _MS_PER_SECOND)

    def install(
        self,
        snapshot: FleetSnapshot,
        requested_at: float,
    ) -> StateChange:
        """
        Install a snapshot that was requested at ``requested_at``.

        The change is returned and passed to the observers.
        """
        if snapshot.revision < self.revision:
            return self._notify(
                StateChange(
                    self.revision,
                    refused=f'revision {snapshot.revision} is older',
                ),
            )
        after_outage = (
            requested_at - self.confirmed_at > _OUTAGE_THRESHOLD_SECONDS
        )
        now = self.clock.monotonic()
        self.revision = snapshot.revision
        self.confirmed_at = max(self.confirmed_at, requested_at)
        tables_revision, refused = self._install_document(snapshot.document)
        listed_vms_changed = self.vms != snapshot.vms
        self.vms = snapshot.vms
        previous = self.servers
        self.servers = self._merge_servers(snapshot.servers, after_outage, now)
        self._update_fingerprint()
        return self._notify(
            StateChange(
                snapshot.revision,
                tables_revision,
                joined=_joined(previous, self.servers),
                leaving=_newly_leaving(previous, self.servers),
                gone=tuple(
                    name for name in previous if name not in self.servers
                ),
                refused=refused,
                listed_vms_changed=listed_vms_changed,
            ),
        )

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the state was also the store's at a later revision."""
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def drop_expired_servers(self) -> None:
        """Remove servers that didn't register again after an outage."""
        now = self.clock.monotonic()
        expired = [
            name for name, until in self.grace_until.items() if now >= until
        ]
        for name in expired:
            self.grace_until.pop(name)
            self.servers.pop(name, None)
        if expired:
            self._update_fingerprint()
            self._notify(StateChange(self.revision, gone=tuple(expired)))

    def _install_document(
        self,
        document: TablesDocument | None,
    ) -> tuple[int | None, str]:
        """Return the revision of new tables, and the error of bad ones."""
        held = self.document.revision if self.document else 0
        if document is None or document.revision <= held:
            return None, ''
        self.document = document
        try:
            self.tables = self.decode(document)
        except BadDocumentError as error:
            return None, error.message
        return document.revision, ''

    def _merge_servers(
        self,
        servers: Iterable[RegisteredServer],
        after_outage: bool,
        now: float,
    ) -> dict[str, RegisteredServer]:
        """
        Return the snapshot's servers and those in their grace period.

        During an outage of the store registrations expire although the
        servers are alive. Servers missing after an outage are therefore kept
        until they had time to register again.
        """
        merged = {}
        for registered in servers:
            name = registered.server.name
            merged[name] = _keep_leaving(self.servers.get(name), registered)
            self.grace_until.pop(name, None)
        for name, known in self.servers.items():
            if name in merged:
                continue
            if after_outage and name not in self.grace_until:
                self.grace_until[name] = now + _REREGISTRATION_GRACE_SECONDS
            if now < self.grace_until.get(name, 0):
                merged[name] = known
            else:
                self.grace_until.pop(name, None)
        return merged

    def _update_fingerprint(self) -> None:
        shared = {
            name: registered
            for name, registered in self.servers.items()
            if name not in self.grace_until
        }
        servers = sorted(
            (
                name,
                registered.pool,
                registered.started_ms,
                registered.server.leaving,
                registered.server.host,
                registered.server.port,
                registered.server.slots,
            )
            for name, registered in shared.items()
        )
        vms = sorted(
            (stored.record.name, stored.record.front, stored.record.exchange)
            for stored in self.vms
        )
        held = self.document.revision if self.document else 0
        before = self.fingerprint.servers
        self.fingerprint = StateFingerprint(
            held, _digest(servers), _digest(vms)
        )
        if self.fingerprint.servers != before:
            self.server_changes.note(
                before,
                self.fingerprint.servers,
                changed_names(self.shared_servers, shared),
            )
        self.shared_servers = shared

    def _notify(self, change: StateChange) -> StateChange:
        if change:
            for observer in self.observers:
                observer(change)
        return change


def _keep_leaving(
    known: RegisteredServer | None,
    registered: RegisteredServer,
) -> RegisteredServer:
    """Return the new registration, but keep a server leaving that was so."""
    if known is None or known.started_ms != registered.started_ms:
        return registered
    if known.server.leaving and not registered.server.leaving:
        return known
    return registered


def _joined(
    previous: dict[str, RegisteredServer],
    servers: dict[str, RegisteredServer],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, registered in servers.items()
        if name not in previous
        or previous[name].started_ms != registered.started_ms
    )


def _newly_leaving(
    previous: dict[str, RegisteredServer],
    servers: dict[str, RegisteredServer],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, registered in servers.items()
        if registered.server.leaving
        and not (name in previous and previous[name].server.leaving)
    )


def _digest(rows: object) -> int:
    return zlib.crc32(msgspec.msgpack.encode(rows))
