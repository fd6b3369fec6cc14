"""Applies changes of the fleet's state to the gateway and logs them."""

__all__ = ('StateReporter',)

import gc
from dataclasses import dataclass, field

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import FleetSnapshot, VmStage
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.revisions import era_of, number_of
from zinniaturn.fleet.state_change import StateChange
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.locality_watch import LocalityWatch
from zinniaturn.gateway.state import GatewayState
from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.tenants import Standing

_MAX_LOGGED_ENTRIES = 5
_MAX_LOGGED_SERVERS = 40
_MAX_LOGGED_VMS = 40
_MAX_LOGGED_DATA_CENTRES = 8
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class StateReporter:
    """
    Applies changes of the fleet's state to the process and logs them.

    ``alive`` holds the VMs that were alive at the last check, and
    ``reported_unreadable`` the keys of the entries that can't be read, and
    ``reported_refusals`` the number of refused bodies. ``reported_too_old`` is
    set while the tables were last said to be too old for tenants.
    """

    state: GatewayState
    dispatcher: Dispatcher
    consecutive_store_failures: int = 0
    reported_unreadable: frozenset[str] = frozenset()
    alive: frozenset[str] = frozenset()
    reported_refusals: int = 0
    reported_too_old: bool = False
    locality_watch: LocalityWatch = field(init=False)

    def __post_init__(self) -> None:
        """Begin to watch the distances between data centres."""
        self.locality_watch = LocalityWatch(self.state)

    def apply_change(self, change: StateChange) -> None:
        """Apply a change of tables, servers or VMs, and log it."""
        was_starting = self.state.stage is VmStage.STARTING
        self.state.vms.update_records(
            [vm.record for vm in self.state.fleet_state.vms]
        )
        self.state.apply_change(change)
        if change.store_went_back:
            self._log_store_went_back(change)
        self._log_evacuations(change)
        if change.refused:
            self.state.event_log.write(
                LogEvent.TABLES_REFUSED,
                revision=change.revision,
                reason=change.refused,
            )
        if change.tables_revision is not None:
            self._log_tables(change)
        if change.joined or change.leaving or change.gone:
            self.state.event_log.write(
                LogEvent.SERVERS_CHANGED,
                revision=change.revision,
                joined=change.joined[:_MAX_LOGGED_SERVERS],
                leaving=change.leaving[:_MAX_LOGGED_SERVERS],
                gone=change.gone[:_MAX_LOGGED_SERVERS],
                changed=len(change.joined + change.leaving + change.gone),
                usable=self.state.usable_server_counts(),
            )
        if was_starting and self.state.stage is VmStage.READY:
            self.state.event_log.write(LogEvent.GATEWAY_READY)
            gc.collect()
            gc.freeze()

    def _log_store_went_back(self, change: StateChange) -> None:
        tables = self.state.fleet_state.tables
        self.state.event_log.write(
            LogEvent.STORE_WENT_BACK,
            era=era_of(change.revision),
            revision=number_of(change.revision),
            tables_version=tables.version if tables else 0,
        )

    def _log_evacuations(self, change: StateChange) -> None:
        """Log data centres that are newly evacuated or back, if any."""
        for event, names in (
            (LogEvent.DATA_CENTRES_EVACUATED, change.evacuated),
            (LogEvent.DATA_CENTRES_RETURNED, change.returned),
        ):
            if not names:
                continue
            servers = self.state.fleet_state.servers.values()
            self.state.event_log.write(
                event,
                data_centres=names[:_MAX_LOGGED_DATA_CENTRES],
                count=len(names),
                servers=sum(
                    registered.server.data_center in names
                    for registered in servers
                ),
                revision=change.revision,
                age_ms=self._evacuations_age_ms(),
            )

    def _evacuations_age_ms(self) -> int | None:
        """Return how old the news is, ``None`` if nothing was told yet."""
        evacuations = self.state.fleet_state.evacuations
        if not evacuations.is_known:
            return None
        return round(evacuations.age_seconds * _MS_PER_SECOND)

    def _log_tables(self, change: StateChange) -> None:
        tables = self.state.fleet_state.tables
        assert tables is not None
        self.dispatcher.limits = tables.caller_limits
        self.state.event_log.write(
            LogEvent.TABLES_IN_FORCE,
            revision=change.tables_revision,
            routes=len(tables.routes),
        )

    def log_unreadable_entries(self, snapshot: FleetSnapshot) -> None:
        """Count and log each unreadable entry once, until it is mended."""
        by_key = {
            entry.partition(': ')[0]: entry for entry in snapshot.unreadable
        }
        found = [
            entry
            for key, entry in by_key.items()
            if key not in self.reported_unreadable
        ]
        has_mended = not self.reported_unreadable <= by_key.keys()
        self.reported_unreadable = frozenset(by_key)
        self.state.counters.events['entry_unreadable'] += len(found)
        if found or has_mended:
            self.state.event_log.write(
                LogEvent.SERVERS_UNREADABLE,
                revision=snapshot.revision,
                entries=found[:_MAX_LOGGED_ENTRIES],
                found=len(found),
                count=len(by_key),
            )

    def note_store_reply(self, error: FleetStoreError | None) -> None:
        """Count failed replies; log when the store fails or recovers."""
        if error is not None:
            self.consecutive_store_failures += 1
            self.state.counters.events['store_failure'] += 1
            if self.consecutive_store_failures == 1:
                self.state.event_log.write(
                    LogEvent.FLEET_STORE_LOST,
                    reason=error.message,
                    state_age_ms=self.state.fleet_state.age_ms,
                )
        elif self.consecutive_store_failures:
            self.state.event_log.write(
                LogEvent.FLEET_STORE_BACK,
                failures=self.consecutive_store_failures,
                state_age_ms=self.state.fleet_state.age_ms,
            )
            self.consecutive_store_failures = 0

    def log_tables_age(self) -> None:
        """Log when the tables become too old for tenants, and when no more."""
        standing = self.dispatcher.tenant_gate.standing()
        is_too_old = standing is Standing.TOO_OLD
        if is_too_old == self.reported_too_old:
            return
        if not is_too_old and standing is not Standing.FRESH:
            return
        self.reported_too_old = is_too_old
        proof = self.state.fleet_state.proof
        self.state.event_log.write(
            LogEvent.TABLES_TOO_OLD if is_too_old else LogEvent.TABLES_PROVEN,
            proof_age_ms=proof.age_ms,
            state_age_ms=self.state.fleet_state.age_ms,
            is_document_readable=bool(proof.revision),
            is_document_missing=proof.is_missing,
            store_failures=self.consecutive_store_failures,
        )

    def note_rejected_message(self, reason: str) -> None:
        """Count and log an unusable message from another VM."""
        self.state.counters.events['vm_message_refused'] += 1
        self.state.event_log.write(LogEvent.VM_MESSAGE_REFUSED, reason=reason)

    def log_refused_bodies(self, byte_budget: ByteBudget) -> None:
        """Count and log the bodies refused since the last call, if any."""
        refused = byte_budget.refused - self.reported_refusals
        if not refused:
            return
        self.reported_refusals = byte_budget.refused
        self.state.counters.events['body_refused'] += refused
        self.state.event_log.write(
            LogEvent.BODIES_REFUSED,
            count=refused,
            held_bytes=byte_budget.held,
            most_bytes=byte_budget.most,
        )

    def log_vm_changes(self) -> None:
        """Log newly alive and newly silent VMs, one line for each kind."""
        alive_vms = self.state.vms.alive_vms()
        alive = frozenset(vm.record.name for vm in alive_vms)
        for event, names in (
            (LogEvent.VM_ALIVE, alive - self.alive),
            (LogEvent.VM_SILENT, self.alive - alive),
        ):
            if names:
                self.state.event_log.write(
                    event,
                    others=sorted(names)[:_MAX_LOGGED_VMS],
                    count=len(names),
                )
        self.alive = alive
