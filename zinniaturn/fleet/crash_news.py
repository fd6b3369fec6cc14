"""
Tells other VMs of crashes and takes in theirs.

News are sent a few times with the messages that go out anyway, and pushed to a
few VMs at once, which do the same. The crashes of held requests, and what
operators have lifted, are repeated now and then, so that a VM that has missed
them learns of them within seconds, and a VM that starts is sent them with the
first replies.

Cost: nothing while no server crashes. For a crash each VM sends the news some 2
log2(VMs) times; while requests are held or lifts remembered, one row in an
eighth of the messages.
"""

__all__ = ('CrashNews',)

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from zinniaturn.fleet.alive_vms import PeerVm
from zinniaturn.fleet.datagrams import (
    CompletionRow,
    CrashRow,
    LiftRow,
    QuarantineRow,
)
from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.state_exchange import NETWORK_DELAY_SECONDS
from zinniaturn.fleet.status_queue import StatusQueue
from zinniaturn.fleet.vms import VmTable
from zinniaturn.placing.token_bucket import TokenBucket
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.request_key import RequestKey
from zinniaturn.quarantine.table import Completion, QuarantineTable

_MOST_CRASHES = 6
_MOST_OTHER_ROWS = 4
_MOST_ROWS_TO_STARTING_VM = 16
_REPEATED_SHARE = 0.125
_PUSHES_PER_SECOND = 20.0
_MS_PER_SECOND = 1000

Known = TypeVar('Known')


def _ignore_record(record: CrashRecord) -> None:
    """Do nothing; the gateway sets what checks a crash."""


@dataclass(slots=True)
class CrashNews:
    """
    Exchanges the content of the quarantine table with other VMs.

    ``push_soon`` pushes news to a few other VMs. ``on_crash`` is called with
    each crash that another VM has told more of.
    """

    table: QuarantineTable
    vms: VmTable
    random_source: random.Random
    push_soon: Callable[[], None]
    on_crash: Callable[[CrashRecord], None] = _ignore_record
    crashes: StatusQueue[ServerProcess] = field(default_factory=StatusQueue)
    completions: StatusQueue[tuple[RequestKey, str]] = field(
        default_factory=StatusQueue
    )
    lifts: StatusQueue[RequestKey] = field(default_factory=StatusQueue)
    pushes: TokenBucket = field(init=False)

    def __post_init__(self) -> None:
        """Start the budget of pushes."""
        now = self.vms.clock.monotonic()
        self.pushes = TokenBucket(_PUSHES_PER_SECOND, _PUSHES_PER_SECOND, now)

    def report_crash(self, record: CrashRecord) -> bool:
        """Note a crash and tell others; return whether it was news."""
        is_news = self.table.note_crash(record)
        if is_news:
            self.crashes.add(record.process, self.vms.max_size())
            self._push()
        return is_news

    def report_completion(self, key: RequestKey) -> None:
        """Note a run that ended well here, and tell others."""
        count = self.table.completions_here(key) + 1
        self._spread_completion(Completion(key, self.table.name, count))

    def report_lift(self, key: RequestKey, lifted_at: float) -> None:
        """Note that an operator lifted a verdict, and tell others."""
        if self.table.lift(key, lifted_at):
            self.lifts.add(key, self.vms.max_size())
            self._push()

    def row(self, receiver: PeerVm | None) -> QuarantineRow | None:
        """Return what a datagram tells, ``None`` if there is nothing."""
        if self.table.is_empty and not self.table.lifted:
            return None
        repeated = self._repeated_rows(receiver)
        row = QuarantineRow(
            tuple(map(self._crash_row, self._records(repeated))),
            self._completion_rows(),
            self._lift_rows(repeated),
        )
        is_needed = row.crashes or row.completions or row.lifts
        return row if is_needed else None

    def learn(self, row: QuarantineRow) -> None:
        """Take in what another VM has told."""
        now = self.vms.clock.monotonic() - NETWORK_DELAY_SECONDS
        for lift in row.lifts:
            self.report_lift(lift.key, now - lift.age_ms / _MS_PER_SECOND)
        for crash in row.crashes:
            process = ServerProcess(crash.server, crash.started_ms)
            received = CrashRecord(
                process,
                now - crash.age_ms / _MS_PER_SECOND,
                set(crash.keys),
                set(crash.witnesses),
                crash.is_refuted,
            )
            if self.report_crash(received):
                self.on_crash(self.table.records.get(process, received))
        for completion in row.completions:
            self._spread_completion(
                Completion(completion.key, completion.vm, completion.count)
            )

    def _spread_completion(self, completion: Completion) -> None:
        if self.table.note_completion(completion):
            name = completion.key, completion.vm
            self.completions.add(name, self.vms.max_size())
            self._push()

    def _push(self) -> None:
        if self.pushes.take(1, self.vms.clock.monotonic()):
            self.push_soon()

    def _repeated_rows(self, receiver: PeerVm | None) -> int:
        """Return how many known crashes and lifts to tell a VM once more."""
        if receiver is not None and receiver.stage is VmStage.STARTING:
            return _MOST_ROWS_TO_STARTING_VM
        return int(self.random_source.random() < _REPEATED_SHARE)

    def _records(self, repeated: int) -> list[CrashRecord]:
        """Return the crashes to tell a VM of."""
        records = [
            self.table.records[process]
            for process in self.crashes.take(_MOST_CRASHES)
            if process in self.table.records
        ]
        if repeated:
            records.extend(self._sample(self.table.active_records(), repeated))
        return records

    def _sample(self, known: Sequence[Known], most: int) -> list[Known]:
        return self.random_source.sample(known, min(most, len(known)))

    def _crash_row(self, record: CrashRecord) -> CrashRow:
        return CrashRow(
            record.process.server,
            record.process.started_ms,
            self._age_ms(record.ended_at),
            tuple(sorted(self.table.keys_to_tell(record))),
            tuple(sorted(record.witnesses)),
            record.is_refuted,
        )

    def _completion_rows(self) -> tuple[CompletionRow, ...]:
        names = self.completions.take(_MOST_OTHER_ROWS)
        counts = (
            (key, vm, self.table.completed.get(key, {}).get(vm, 0))
            for key, vm in names
        )
        return tuple(CompletionRow(*row) for row in counts if row[-1])

    def _lift_rows(self, repeated: int) -> tuple[LiftRow, ...]:
        lifted = self.table.lifted
        keys = [
            key for key in self.lifts.take(_MOST_OTHER_ROWS) if key in lifted
        ]
        if repeated:
            keys.extend(self._sample(tuple(lifted), repeated))
        return tuple(LiftRow(key, self._age_ms(lifted[key])) for key in keys)

    def _age_ms(self, at: float) -> int:
        age = max(0, self.vms.clock.monotonic() - at)
        return round(age * _MS_PER_SECOND)
