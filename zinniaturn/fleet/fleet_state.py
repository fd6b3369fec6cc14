"""
What this VM holds of the tables and the backend servers, and since when.

It moves forward only: a reading of an older revision changes nothing, and a
server that was seen leaving stays so until another start of it is seen.
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
from zinniaturn.fleet.tables import FleetTables

_OUTAGE_SECONDS = 3.0
_RETURN_SECONDS = 2.0
_LONGEST_AGE_SECONDS = 1e6
_MILLISECONDS = 1000

Decoder = Callable[[TablesDocument], FleetTables]


@dataclass(frozen=True, slots=True)
class StateChange:
    """What a reading has changed, for the log."""

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
    What tells two states apart, part by part.

    The tables go by their revision, servers and listed VMs by a digest.
    """

    tables: int = 0
    servers: int = 0
    vms: int = 0

    @property
    def digest(self) -> int:
        """Return one number for all parts."""
        return _digest((self.tables, self.servers, self.vms))


@dataclass(slots=True)
class FleetState:
    """
    The newest state that is known.

    ``confirmed_at`` is the latest moment at which the state was surely the
    store's; nothing later is known.
    """

    clock: Clock
    decode: Decoder
    revision: int = 0
    confirmed_at: float = float('-inf')
    document: TablesDocument | None = None
    tables: FleetTables | None = None
    servers: dict[str, RegisteredServer] = field(default_factory=dict)
    vms: tuple[StoredVm, ...] = ()
    grace_until: dict[str, float] = field(default_factory=dict)
    fingerprint: StateFingerprint = field(default_factory=StateFingerprint)
    observers: list[Callable[[StateChange], None]] = field(default_factory=list)

    @property
    def digest(self) -> int:
        """Return the digest of the whole state."""
        return self.fingerprint.digest

    @property
    def age_seconds(self) -> float:
        """Return for how long the state has not been confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    @property
    def age_ms(self) -> int:
        """Return the age as a finite number, also before the first state."""
        age = min(_LONGEST_AGE_SECONDS, self.age_seconds)
        return round(age * _MILLISECONDS)

    def install(
        self, reading: FleetSnapshot, requested_at: float
    ) -> StateChange:
        """
        Take over a reading that was asked for at ``asked_at``.

        Observers are told what has changed.
        """
        if reading.revision < self.revision:
            return self._tell(
                StateChange(
                    self.revision,
                    refused=f'revision {reading.revision} is older',
                ),
            )
        was_away = requested_at - self.confirmed_at > _OUTAGE_SECONDS
        now = self.clock.monotonic()
        self.revision = reading.revision
        self.confirmed_at = max(self.confirmed_at, requested_at)
        tables_revision, refused = self._take_document(reading.document)
        listed_vms_changed = self.vms != reading.vms
        self.vms = reading.vms
        known = self.servers
        self.servers = self._merge(reading.servers, was_away, now)
        self._renew_digest()
        return self._tell(
            StateChange(
                reading.revision,
                tables_revision,
                joined=_joined(known, self.servers),
                leaving=_turned_leaving(known, self.servers),
                gone=tuple(name for name in known if name not in self.servers),
                refused=refused,
                listed_vms_changed=listed_vms_changed,
            ),
        )

    def confirm(self, revision: int, requested_at: float) -> None:
        """Note that the state held is also the store's at a later revision."""
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def drop_expired_servers(self) -> None:
        """Take out servers that have not returned after an outage."""
        now = self.clock.monotonic()
        gone = [
            name for name, until in self.grace_until.items() if now >= until
        ]
        for name in gone:
            self.grace_until.pop(name)
            self.servers.pop(name, None)
        if gone:
            self._renew_digest()
            self._tell(StateChange(self.revision, gone=tuple(gone)))

    def _take_document(
        self,
        document: TablesDocument | None,
    ) -> tuple[int | None, str]:
        """Return the revision of tables newly in force, and a complaint."""
        held = self.document.revision if self.document else 0
        if document is None or document.revision <= held:
            return None, ''
        self.document = document
        try:
            self.tables = self.decode(document)
        except BadDocumentError as error:
            return None, error.message
        return document.revision, ''

    def _merge(
        self,
        servers: Iterable[RegisteredServer],
        was_away: bool,
        now: float,
    ) -> dict[str, RegisteredServer]:
        merged = {}
        for registered in servers:
            name = registered.server.name
            merged[name] = _keep_leaving(self.servers.get(name), registered)
            self.grace_until.pop(name, None)
        for name, known in self.servers.items():
            if name in merged:
                continue
            if was_away and name not in self.grace_until:
                self.grace_until[name] = now + _RETURN_SECONDS
            if now < self.grace_until.get(name, 0):
                merged[name] = known
            else:
                self.grace_until.pop(name, None)
        return merged

    def _renew_digest(self) -> None:
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
            for name, registered in self.servers.items()
            if name not in self.grace_until
        )
        vms = sorted(
            (each.record.name, each.record.front, each.record.exchange)
            for each in self.vms
        )
        held = self.document.revision if self.document else 0
        self.fingerprint = StateFingerprint(
            held, _digest(servers), _digest(vms)
        )

    def _tell(self, change: StateChange) -> StateChange:
        if change:
            for observer in self.observers:
                observer(change)
        return change


def _keep_leaving(
    known: RegisteredServer | None,
    registered: RegisteredServer,
) -> RegisteredServer:
    if known is None or known.started_ms != registered.started_ms:
        return registered
    if known.server.leaving and not registered.server.leaving:
        return known
    return registered


def _joined(
    known: dict[str, RegisteredServer],
    servers: dict[str, RegisteredServer],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, registered in servers.items()
        if name not in known or known[name].started_ms != registered.started_ms
    )


def _turned_leaving(
    known: dict[str, RegisteredServer],
    servers: dict[str, RegisteredServer],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, registered in servers.items()
        if registered.server.leaving
        and not (name in known and known[name].server.leaving)
    )


def _digest(rows: object) -> int:
    return zlib.crc32(msgspec.msgpack.encode(rows))
