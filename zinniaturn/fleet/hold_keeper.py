"""
Keeps the held requests in the store, so that they outlive all VMs.

A VM that has read the store compares what is held there with what it holds: it
takes over what it lacks, tells the others of it, writes what the store lacks
and removes what is no longer held. Which VM reads is decided elsewhere, so that
no hold depends on one of them.

Cost: a write for each request that becomes held, for each of its later crashes
and for its end; nothing while nothing is held.
"""

__all__ = ('HoldKeeper',)

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field

from zinniaturn.fleet.crash_news import CrashNews
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.store import FleetStore
from zinniaturn.fleet.store_write import StoreWrite
from zinniaturn.quarantine.hold_record import (
    HoldRecord,
    StoredHold,
    build_hold,
    held_crashes,
)
from zinniaturn.quarantine.request_key import RequestKey, format_key

_MOST_HOLDS = 64
# A write shows in the next read after this time.
_WRITE_SETTLES_SECONDS = 3.0
# All VMs judge a crash alike after this time.
_JUDGED_SECONDS = 3.0


@dataclass(slots=True)
class HoldKeeper:
    """
    Compares the store's holds with this VM's, one write at a time.

    ``adopted`` are the holds that were taken over from the store, so that each
    is taken over once. ``on_failure`` is called with the error of a write.
    """

    store: FleetStore
    crash_news: CrashNews
    on_failure: Callable[[FleetStoreError], None]
    adopted: dict[str, HoldRecord] = field(default_factory=dict)
    write: StoreWrite = field(init=False)

    def __post_init__(self) -> None:
        """Begin without a write."""
        clock = self.crash_news.vms.clock
        self.write = StoreWrite(clock, self.on_failure)

    def reconcile(self, stored: Sequence[StoredHold]) -> None:
        """Take over holds of the store, and start the write that it lacks."""
        for hold in stored:
            self._adopt(hold.record)
        names = {kept.record.key for kept in stored}
        for gone in self.adopted.keys() - names:
            self.adopted.pop(gone)
        now = self.crash_news.vms.clock.monotonic()
        if self.write.is_settled(now, _WRITE_SETTLES_SECONDS):
            write = self._next_write(stored)
            if write is not None:
                self.write.start(write)

    def _adopt(self, hold: HoldRecord) -> None:
        if self.adopted.get(hold.key) == hold:
            return
        self.adopted[hold.key] = hold
        for crash in held_crashes(hold, self.crash_news.vms.clock):
            self.crash_news.report_crash(crash)

    def _next_write(
        self, stored: Sequence[StoredHold]
    ) -> Coroutine[None, None, None] | None:
        """Return the call that brings the store nearer to what is held."""
        table = self.crash_news.table
        by_name = {hold.record.key: hold for hold in stored}
        held = {format_key(one.key): one.key for one in table.held()}
        own = [self._record(key) for key in held.values()]
        lacking = [
            record
            for record in own
            if not _is_stored(record, by_name.get(record.key))
        ]
        has_room = len(by_name) < _MOST_HOLDS
        for record in lacking:
            if has_room or record.key in by_name:
                return self.store.write_hold(record)
        for hold in stored:
            if hold.record.key not in held and not self._is_fresh(hold):
                return self.store.remove_hold(hold)
        return None

    def _is_fresh(self, hold: StoredHold) -> bool:
        """Return whether this VM may not know yet what speaks for a hold."""
        clock = self.crash_news.vms.clock
        oldest = clock.monotonic() - _JUDGED_SECONDS
        return any(
            crash.ended_at > oldest
            for crash in held_crashes(hold.record, clock)
        )

    def _record(self, key: RequestKey) -> HoldRecord:
        table = self.crash_news.table
        crashes = [one for one in table.records.values() if key in one.keys]
        return build_hold(key, crashes, self.crash_news.vms.clock)


def _is_stored(own: HoldRecord, stored: StoredHold | None) -> bool:
    """Return whether the store knows all crashes that this VM knows."""
    if stored is None:
        return False
    known = {
        (crash.server, crash.started_ms) for crash in stored.record.crashes
    }
    return all(
        (crash.server, crash.started_ms) in known for crash in own.crashes
    )
