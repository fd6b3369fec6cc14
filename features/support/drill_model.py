"""Model of a store that comes back from an older copy."""

from dataclasses import dataclass

from features.support.fleet_model import FleetModel
from features.support.gateway import build_snapshot
from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.fleet.revisions import join_revision, number_of
from zinniaturn.fleet.tables import FleetTables

_COPIES_KEPT = 6


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at some time."""

    number: int
    document: TablesDocument
    store: dict


class DrillModel(FleetModel):
    """
    A store that goes back, and writes that are made again.

    The operator changes the tables, the store comes back from a copy, and the
    operator and the servers write again what it lost then. Further invariants:
    no VM's tables go back to an earlier version, and none uses a server that it
    has seen leaving.
    """

    def __init__(self, vms, servers):
        self.era = 1
        self.version = 1
        self.document = TablesDocument(join_revision(1, 1), b'1')
        super().__init__(vms, servers, decode=_decode)
        self.written = dict(self.store)
        self.versions_seen = [1 for _ in range(vms)]
        self.seen_leaving = [set() for _ in range(vms)]
        self.copies = [self._copy()]

    def events(self):
        """Return the possible next events, as names and arguments."""
        possible = [('leave', name) for name in self.store]
        if len(self.vm_states) > 1:
            possible = super().events()
        possible.extend(('read', vm) for vm in range(len(self.vm_states)))
        return [*possible, ('configure', 0), ('rewrite', 0), ('drill', 0)]

    def apply(self, event):
        """Apply an event and advance the clock."""
        super().apply(event)
        self.copies.append(self._copy())
        del self.copies[:-_COPIES_KEPT]
        for vm, fleet_state in enumerate(self.vm_states):
            self.versions_seen[vm] = max(
                self.versions_seen[vm], fleet_state.tables.version
            )
            self.seen_leaving[vm] |= {
                name
                for name, registered in fleet_state.servers.items()
                if registered.server.leaving
            }

    def find_violation(self):
        """Return what violates an invariant, or None."""
        for vm, fleet_state in enumerate(self.vm_states):
            if fleet_state.tables.version < self.versions_seen[vm]:
                return f'version {fleet_state.tables.version}'
            for name in self.seen_leaving[vm]:
                if self._uses(fleet_state, name):
                    return name
        return super().find_violation()

    def _copy(self):
        return StoreCopy(self.revision, self.document, dict(self.store))

    def _snapshot(self):
        return build_snapshot(
            join_revision(self.era, self.revision),
            list(self.store.values()),
            self.document,
        )

    def _read(self, vm):
        """Read the store and get the reply at once."""
        self._request(vm)
        self._reply(-1)

    def _configure(self, argument):
        self.version += 1
        self._write_document()

    def _write_document(self):
        self.revision += 1
        self.document = TablesDocument(
            join_revision(self.era, self.revision), str(self.version).encode()
        )

    def _leave(self, name):
        super()._leave(name)
        self.written = dict(self.store)
        self._join_eras()

    def _drill(self, argument):
        """Come back from the oldest copy; nobody can know what it lacks."""
        copy = self.copies[0]
        self.era += 1
        self.revision = copy.number
        self.store = dict(copy.store)
        number = number_of(copy.document.revision)
        self.document = TablesDocument(
            join_revision(self.era, number), copy.document.raw
        )
        self.history.clear()

    def _rewrite(self, argument):
        """Let the operator and the servers write again what was lost."""
        if int(self.document.raw) != self.version:
            self._write_document()
        if self.store != self.written:
            self.revision += 1
            self.store = dict(self.written)

    def _join_eras(self):
        """Give the latest entry of the history its era."""
        if self.history:
            taken_at, revision, name = self.history[-1]
            joined = join_revision(self.era, number_of(revision))
            self.history[-1] = (taken_at, joined, name)


def _decode(document):
    return FleetTables(document.revision, version=int(document.raw))
