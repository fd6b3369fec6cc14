"""
The state of the fleet that a VM holds: tables, backend servers and VMs.

The state only moves forward: a snapshot of an older revision changes nothing,
and a server that was seen leaving stays leaving until it is seen restarted.

A store that comes back from an older copy begins a new era, whose revisions are
higher than all before. Until the operators have written their document again,
the copy may hold an earlier version of it; the later one stays in force.
Servers that had gone stay so although the copy lists them, and those that it
lacks have time to register again.
"""

__all__ = ('FleetState', 'StateFingerprint', 'StateIdentity')

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import msgspec

from zinniaturn.clock import Clock
from zinniaturn.fleet.domain import (
    FleetSnapshot,
    RegisteredServer,
    StoredVm,
    TablesDocument,
)
from zinniaturn.fleet.evacuations import Evacuations, EvacuationsNews
from zinniaturn.fleet.exceptions import BadDocumentError
from zinniaturn.fleet.gone_servers import GoneServers
from zinniaturn.fleet.revisions import era_of, number_of
from zinniaturn.fleet.server_changes import ServerChanges, changed_names
from zinniaturn.fleet.state_change import StateChange, describe_servers
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.fleet.tables_proof import TablesProof
from zinniaturn.fleet.warm_ups import WarmUps

_OUTAGE_THRESHOLD_SECONDS = 3.0
_REREGISTRATION_GRACE_SECONDS = 2.0
_MAX_REPORTED_AGE_SECONDS = 1e6
_MS_PER_SECOND = 1000

TablesDecoder = Callable[[TablesDocument], FleetTables]


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


@dataclass(frozen=True, slots=True)
class StateIdentity:
    """A state's revision and fingerprint, as some build understands them."""

    revision: int
    fingerprint: StateFingerprint

    @property
    def digest(self) -> int:
        """Return the digest of all parts."""
        return self.fingerprint.digest


@dataclass(slots=True)
class FleetState:
    """
    The newest known state of the fleet.

    ``confirmed_at`` is the latest time at which the state is certain to have
    been the store's. ``document`` is the newest document, ``tables`` are those
    of the newest document that could be decoded. ``grace_until`` holds the
    servers that were missing from the store after an outage, with the time
    until which they are kept; ``shared_servers`` are all others, which other
    VMs may get from this one. ``outdated_revision`` is that of a document which
    is not used because a later version is in force. ``evacuations`` have a
    revision and an age of their own. ``warm_ups`` are those that the servers'
    entries announce. ``proof`` tells how old the ``tables`` may
    be, which `age_seconds` doesn't where a document can't be decoded or a
    datagram was late.
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
    gone_servers: GoneServers = field(default_factory=GoneServers)
    outdated_revision: int = 0
    observers: list[Callable[[StateChange], None]] = field(default_factory=list)
    warm_ups: WarmUps = field(default_factory=WarmUps)
    evacuations: Evacuations = field(init=False)
    proof: TablesProof = field(init=False)

    def __post_init__(self) -> None:
        """Begin without evacuations and without a proof of any tables."""
        self.evacuations = Evacuations(self.clock)
        self.proof = TablesProof(self.clock)

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose servers get no request."""
        return self.evacuations.in_force

    @property
    def digest(self) -> int:
        """Return the digest of the whole state."""
        return self.fingerprint.digest

    def identity(self, follows_eras: bool) -> StateIdentity:
        """
        Return how a VM identifies the state.

        A process of a build before the eras takes their bits for those of a
        very new revision, and would refuse all that it reads from the store
        after it. It gets the store's own numbers.
        """
        if follows_eras:
            return StateIdentity(self.revision, self.fingerprint)
        return StateIdentity(
            number_of(self.revision),
            replace(
                self.fingerprint, tables=number_of(self.fingerprint.tables)
            ),
        )

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
        if snapshot.evacuated is not None:
            self.install_evacuations(
                EvacuationsNews(
                    snapshot.evacuated, snapshot.revision, requested_at
                )
            )
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
        store_went_back = self._note_era(snapshot.revision)
        after_outage = after_outage or store_went_back
        self.revision = snapshot.revision
        self.confirmed_at = max(self.confirmed_at, requested_at)
        tables_revision, refused = self._install_document(snapshot.document)
        listed_vms_changed = self.vms != snapshot.vms
        self.vms = snapshot.vms
        previous = self.servers
        self.servers = self._merge_servers(snapshot.servers, after_outage, now)
        cooled = self.warm_ups.learn(previous, self.servers.values(), now)
        self._update_fingerprint()
        change = StateChange(
            snapshot.revision,
            tables_revision,
            refused=refused,
            listed_vms_changed=listed_vms_changed,
            store_went_back=store_went_back,
            cooled=cooled,
        )
        return self._notify(describe_servers(change, previous, self.servers))

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the state was also the store's at a later revision."""
        store_went_back = self._note_era(revision)
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at, requested_at)
        if store_went_back:
            self._notify(StateChange(revision, store_went_back=True))

    def _note_era(self, revision: int) -> bool:
        """Return whether a revision shows that the store has gone back."""
        store_went_back = 0 < era_of(self.revision) < era_of(revision)
        if store_went_back:
            self.gone_servers.went_back_at = self.clock.monotonic()
        return store_went_back

    def install_evacuations(self, news: EvacuationsNews) -> None:
        """Install evacuations on their own; tell the observers of changes."""
        before = self.evacuated
        self.evacuations.install(news)
        self._notify_evacuated(before)

    def follow_evacuations(self, bound_seconds: float) -> None:
        """Apply the bound within which evacuations take effect, 0 for none."""
        before = self.evacuated
        self.evacuations.follow(bound_seconds)
        self._notify_evacuated(before)

    def drop_expired(self) -> None:
        """End what the store has lost and nobody has written again in time."""
        before = self.evacuated
        self.evacuations.drop_expired()
        self._notify_evacuated(before)
        self.drop_expired_servers()

    def drop_expired_servers(self) -> None:
        """Remove servers that didn't register again after an outage."""
        now = self.clock.monotonic()
        expired = [
            name for name, until in self.grace_until.items() if now >= until
        ]
        for name in expired:
            self.grace_until.pop(name)
            self.gone_servers.note_gone(self.servers.pop(name), now)
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
        if document.revision == self.outdated_revision:
            return None, ''
        try:
            tables = self.decode(document)
        except BadDocumentError as error:
            self.document = document
            self.proof.revision = 0
            return None, error.message
        if self._is_reverted(document, tables):
            self.outdated_revision = document.revision
            self.proof.outdated_revision = document.revision
            return None, ''
        self.document = document
        self.proof.revision = document.revision
        self.tables = tables
        return document.revision, ''

    def _is_reverted(
        self, document: TablesDocument, tables: FleetTables
    ) -> bool:
        """Return whether a new era's document is an earlier version."""
        if self.document is None or self.tables is None:
            return False
        is_new_era = era_of(document.revision) > era_of(self.document.revision)
        return is_new_era and tables.version < self.tables.version

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
            if self.gone_servers.is_revived(registered, now):
                continue
            self.gone_servers.note_listed(registered)
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
                self.gone_servers.note_gone(known, now)
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

    def _notify_evacuated(self, before: frozenset[str]) -> None:
        after = self.evacuated
        if after != before:
            self._notify(
                StateChange(
                    self.evacuations.revision,
                    evacuated=tuple(sorted(after - before)),
                    returned=tuple(sorted(before - after)),
                )
            )

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


def _digest(rows: object) -> int:
    return zlib.crc32(msgspec.msgpack.encode(rows))
