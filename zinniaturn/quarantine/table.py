"""What this VM knows of crashes, and what follows for each request."""

__all__ = ('Completion', 'QuarantineTable', 'Ruling')

import enum
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from zinniaturn.clock import Clock
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.request_key import RequestKey
from zinniaturn.quarantine.trials import is_turn_of
from zinniaturn.quarantine.verdicts import Standing, judge

_MOST_RECORDS = 256
_MOST_COMPLETIONS = 1024
# More completions of one VM than this don't change a verdict.
_MOST_COUNTED = 15
_MOST_COUNTED_VMS = 32
_RECORD_LIFETIME_SECONDS = 60.0
# A held request that nobody has tried is forgotten this long after its hold.
_UNTRIED_SECONDS = 600.0
# No VM holds an older crash, which would count again.
_LIFT_LIFETIME_SECONDS = 5000.0
_MOST_LIFTS = 256
# Two VMs may differ by so much in when they were told of the same lift.
_SAME_LIFT_SECONDS = 1.0
# A crash with one witness is confirmed by time, and old ones are forgotten.
_CONFIRMATION_SECONDS = 0.1
_FORGETTING_SECONDS = 5.0


class Ruling(enum.Enum):
    """What to do with a copy of a request."""

    RUN = 'run'
    # One copy at a time, without hedges and retries.
    RUN_ALONE = 'run-alone'
    # The next tenths of a second tell whether it is guilty.
    WAIT = 'wait'
    REJECT = 'reject'


@dataclass(frozen=True, slots=True)
class Completion:
    """The runs of a suspected request that ended well at one VM."""

    key: RequestKey
    vm: str
    count: int


OnChange = Callable[[Standing | None, Standing | None], None]


def _ignore_change(before: Standing | None, after: Standing | None) -> None:
    """Do nothing; the process sets what logs the changes."""


@dataclass(slots=True)
class QuarantineTable:
    """
    The crashes of the last minute, and those of the requests that are held.

    ``others`` returns the names of the other VMs that are alive. ``completed``
    counts the runs that ended well, by request and VM, and ``lifted`` holds the
    times at which an operator lifted a verdict; crashes before these don't
    count. ``on_change`` is called with the former and the present standing of
    each request that becomes suspected or held, or no longer is. ``held_keys``
    are the requests that were held at the last judgement, and ``accused``
    counts the crashes in which each request is named.

    While no server crashes the table is empty and costs nothing.
    """

    clock: Clock
    name: str
    others: Callable[[], Iterable[str]]
    records: 'OrderedDict[ServerProcess, CrashRecord]' = field(
        default_factory=OrderedDict
    )
    completed: 'OrderedDict[RequestKey, dict[str, int]]' = field(
        default_factory=OrderedDict
    )
    lifted: dict[RequestKey, float] = field(default_factory=dict)
    standings: dict[RequestKey, Standing] = field(default_factory=dict)
    on_change: OnChange = _ignore_change
    judge_again_at: float = math.inf
    is_changed: bool = False
    held_keys: frozenset[RequestKey] = frozenset()
    accused: Counter[RequestKey] = field(default_factory=Counter)

    @property
    def is_empty(self) -> bool:
        """Return whether no crash is known, so that every request may run."""
        return not self.records

    def keys_to_tell(self, record: CrashRecord) -> set[RequestKey]:
        """
        Return the requests of a crash that other VMs should know.

        A held one explains the crash. Who knows only some of its crashes might
        else hold an innocent one that was beside several.
        """
        return record.keys & self.held_keys or record.keys

    def active_records(self) -> list[CrashRecord]:
        """Return the crashes of the requests that are held."""
        return [
            one for one in self.records.values() if one.keys & self.held_keys
        ]

    def ruling(self, key: RequestKey) -> Ruling:
        """Return what to do with a copy of a request."""
        standing = self.standing(key)
        if standing is None or not standing.is_suspected:
            return Ruling.RUN
        if not standing.is_held:
            is_undecided = standing.is_undecided(self.clock.monotonic())
            return Ruling.WAIT if is_undecided else Ruling.RUN_ALONE
        waited = self.clock.monotonic() - standing.held_until
        if waited < 0:
            return Ruling.REJECT
        is_own_turn = is_turn_of(self.name, self.others(), key, waited)
        return Ruling.RUN_ALONE if is_own_turn else Ruling.REJECT

    def standing(self, key: RequestKey) -> Standing | None:
        """Return how a request stands, if a crash counts for it."""
        self.update()
        return self.standings.get(key)

    def held(self) -> list[Standing]:
        """Return the requests that are held."""
        self.update()
        return [one for one in self.standings.values() if one.is_held]

    def witnesses(self, key: RequestKey) -> list[str]:
        """Return the VMs that saw servers end which ran a request."""
        names: set[str] = set()
        for record in self.records.values():
            if key in record.keys:
                names |= record.witnesses
        return sorted(names)

    def note_crash(self, record: CrashRecord) -> bool:
        """Take in a crash; return whether it tells more than was known."""
        known = self.records.get(record.process)
        is_new = known is None
        if known is None:
            known = CrashRecord(record.process, record.ended_at)
            self.records[record.process] = known
            self._drop_excess()
        keys_before = set(known.keys)
        if not (known.merge(record) or is_new):
            return False
        self.accused.update(known.keys - keys_before)
        self.is_changed = True
        return True

    def note_completion(self, completion: Completion) -> bool:
        """Take in runs that ended well; return whether there are more."""
        if completion.key not in self.accused:
            return False
        counts = self.completed.setdefault(completion.key, {})
        count = min(_MOST_COUNTED, completion.count)
        if counts.get(completion.vm, 0) >= count:
            return False
        if completion.vm not in counts and len(counts) >= _MOST_COUNTED_VMS:
            return False
        counts[completion.vm] = count
        if len(self.completed) > _MOST_COMPLETIONS:
            self.completed.popitem(last=False)
        self.is_changed = True
        return True

    def completions_here(self, key: RequestKey) -> int:
        """Return how many runs of a request ended well at this VM."""
        return self.completed.get(key, {}).get(self.name, 0)

    def lift(self, key: RequestKey, lifted_at: float) -> bool:
        """Let no earlier crash count for a request; return whether one did."""
        known_at = self.lifted.get(key, float('-inf'))
        if lifted_at <= known_at + _SAME_LIFT_SECONDS:
            return False
        self.lifted.pop(key, None)
        self.lifted[key] = lifted_at
        if len(self.lifted) > _MOST_LIFTS:
            self.lifted.pop(next(iter(self.lifted)))
        self.is_changed = True
        return True

    def update(self) -> None:
        """Judge anew if something may have changed."""
        now = self.clock.monotonic()
        if self.is_changed or now >= self.judge_again_at:
            self.is_changed = False
            self._judge(now)
            if self._forget_old(now):
                self._judge(now)

    def _judge(self, now: float) -> None:
        counts = {
            key: sum(by_vm.values()) for key, by_vm in self.completed.items()
        }
        before = self.standings
        self.judge_again_at = now + self._judgement_lasts(now)
        self.standings = judge(
            [
                self._without_lifted(record)
                for record in self.records.values()
                if not self._is_lifted(record)
            ],
            counts,
            now,
        )
        self.held_keys = frozenset(
            one.key for one in self.standings.values() if one.is_held
        )
        for key in before.keys() | self.standings.keys():
            former, present = before.get(key), self.standings.get(key)
            if _grade(former) != _grade(present):
                self.on_change(former, present)

    def _judgement_lasts(self, now: float) -> float:
        """Return for how long time alone changes no verdict."""
        if not self.records:
            return math.inf
        is_open = any(
            not (record.is_refuted or record.is_confirmed(now))
            for record in self.records.values()
        )
        return _CONFIRMATION_SECONDS if is_open else _FORGETTING_SECONDS

    def _is_lifted(self, record: CrashRecord) -> bool:
        """Return whether an operator has lifted all that a crash tells."""
        return bool(record.keys) and all(
            record.ended_at <= self.lifted.get(key, -math.inf)
            for key in record.keys
        )

    def _without_lifted(self, record: CrashRecord) -> CrashRecord:
        """Return a record without the requests that it no longer counts for."""
        lifted = {
            key
            for key in record.keys & self.lifted.keys()
            if record.ended_at <= self.lifted[key]
        }
        if not lifted:
            return record
        return CrashRecord(
            record.process,
            record.ended_at,
            record.keys - lifted,
            record.witnesses,
            record.is_refuted,
        )

    def _forget_old(self, now: float) -> bool:
        """Drop what no longer counts; return whether crashes were among it."""
        before = len(self.records)
        kept_until: dict[RequestKey, float] = {
            standing.key: standing.held_until + _UNTRIED_SECONDS
            for standing in self.standings.values()
            if standing.is_held
        }
        for process, record in list(self.records.items()):
            until = record.ended_at + _RECORD_LIFETIME_SECONDS
            held_until = (
                kept_until[key] for key in record.keys & kept_until.keys()
            )
            if max((until, *held_until)) < now:
                self._forget(process)
        for key, lifted_at in list(self.lifted.items()):
            if lifted_at < now - _LIFT_LIFETIME_SECONDS:
                self.lifted.pop(key)
        return len(self.records) < before

    def _drop_excess(self) -> None:
        """Drop the oldest crash that no held request explains."""
        if len(self.records) <= _MOST_RECORDS:
            return
        for process, record in self.records.items():
            if not record.keys & self.held_keys:
                self._forget(process)
                return
        self._forget(next(iter(self.records)))

    def _forget(self, process: ServerProcess) -> None:
        """Drop a crash, and the completions of requests named in no other."""
        keys = self.records.pop(process).keys
        self.accused.subtract(keys)
        for key in keys:
            if not self.accused[key]:
                self.accused.pop(key)
                self.completed.pop(key, None)


def _grade(standing: Standing | None) -> Ruling:
    """Return how much speaks against a request."""
    if standing is None or not standing.is_suspected:
        return Ruling.RUN
    return Ruling.REJECT if standing.is_held else Ruling.RUN_ALONE
