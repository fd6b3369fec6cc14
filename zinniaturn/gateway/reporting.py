"""Logging and counting what a gateway process comes to believe."""

__all__ = ('StateReporter',)

import gc
from dataclasses import dataclass

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import FleetReading, VmStage
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.knowledge import Change
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.state import GatewayState

_SHOWN_ENTRIES = 5
_SHOWN_SERVERS = 40
_SHOWN_VMS = 40


@dataclass(slots=True)
class StateReporter:
    """
    Takes changes over into the process's state and tells of them.

    ``heard`` are the VMs that were alive when they were last looked at.
    """

    state: GatewayState
    dispatcher: Dispatcher
    store_failures: int = 0
    unreadable: tuple[str, ...] = ()
    heard: frozenset[str] = frozenset()

    def note_change(self, change: Change) -> None:
        """Put a change into force."""
        was_starting = self.state.stage is VmStage.STARTING
        self.state.vms.note_records(
            [each.record for each in self.state.knowledge.vms]
        )
        self.state.install(change)
        if change.refused:
            self.state.journal.write(
                LogEvent.TABLES_REFUSED,
                revision=change.revision,
                reason=change.refused,
            )
        if change.tables_revision is not None:
            self._note_tables(change)
        if change.joined or change.leaving or change.gone:
            self.state.journal.write(
                LogEvent.SERVERS_CHANGED,
                revision=change.revision,
                joined=change.joined[:_SHOWN_SERVERS],
                leaving=change.leaving[:_SHOWN_SERVERS],
                gone=change.gone[:_SHOWN_SERVERS],
                changed=len(change.joined + change.leaving + change.gone),
                usable=self.state.usable_servers(),
            )
        if was_starting and self.state.stage is VmStage.READY:
            self.state.journal.write(LogEvent.GATEWAY_READY)
            gc.collect()
            gc.freeze()

    def _note_tables(self, change: Change) -> None:
        tables = self.state.knowledge.tables
        assert tables is not None
        self.dispatcher.limits = tables.caller_limits
        self.state.journal.write(
            LogEvent.TABLES_IN_FORCE,
            revision=change.tables_revision,
            routes=len(tables.routes),
        )

    def note_reading(self, reading: FleetReading) -> None:
        """Log entries that can't be read, once for each set of them."""
        if reading.unreadable != self.unreadable:
            self.unreadable = reading.unreadable
            self.state.journal.write(
                LogEvent.SERVERS_UNREADABLE,
                revision=reading.revision,
                entries=reading.unreadable[:_SHOWN_ENTRIES],
                count=len(reading.unreadable),
            )

    def note_reply(self, error: FleetStoreError | None) -> None:
        """Count a reply of the store; log when it is lost and when back."""
        if error is not None:
            self.store_failures += 1
            self.state.counters.events['store_failure'] += 1
            if self.store_failures == 1:
                self.state.journal.write(
                    LogEvent.FLEET_STORE_LOST,
                    reason=error.message,
                    state_age_ms=self.state.knowledge.age_ms,
                )
        elif self.store_failures:
            self.state.journal.write(
                LogEvent.FLEET_STORE_BACK,
                failures=self.store_failures,
                state_age_ms=self.state.knowledge.age_ms,
            )
            self.store_failures = 0

    def note_refused(self, reason: str) -> None:
        """Count and log a message of a VM that can't be used."""
        self.state.counters.events['vm_message_refused'] += 1
        self.state.journal.write(LogEvent.VM_MESSAGE_REFUSED, reason=reason)

    def note_vms(self) -> None:
        """Log which VMs are newly heard or have fallen silent, all in one."""
        living = self.state.vms.living()
        heard = frozenset(each.record.name for each in living)
        for event, names in (
            (LogEvent.VM_ALIVE, heard - self.heard),
            (LogEvent.VM_SILENT, self.heard - heard),
        ):
            if names:
                self.state.journal.write(
                    event,
                    others=sorted(names)[:_SHOWN_VMS],
                    count=len(names),
                )
        self.heard = heard
