"""
Judges which requests end the servers that run them.

Of the requests that ran on a server as it ended most had nothing to do with it.
The guilty one is what several crashes have in common while no run of it ended
well. So a request is held

- after three crashes at different moments, if none of its runs has ended well
  since the first. Servers that end at the same moment end for a common reason,
  such as a lost machine, and count as one crash;
- after one more, if servers also end without it, three or more in the last ten
  seconds;
- after up to two more, if as many of its runs ended well, and after twice as
  many if servers also end without it; not if more of them ended well than
  crashed.

The crashes of a held request count for no other one. At two of its crashes no
other request may have run that is as suspicious, or it has to lead by two
crashes; until then the next runs of both tell them apart.

For an innocent request whose runs are lost with a chance p, independently of
each other, the chance of a verdict after its first lost run is that of two more
in a row: p to the second power, or up to the fourth while servers end without
it.
"""

__all__ = ('CRASHES_TO_HOLD', 'Standing', 'judge')

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.quarantine.crash_record import SETTLING_SECONDS, CrashRecord
from zinniaturn.quarantine.request_key import RequestKey

CRASHES_TO_HOLD = 3
_CRASHES_TO_SUSPECT = 2
_SAME_MOMENT_SECONDS = 0.02
_OTHER_CRASHES_FOR_MORE = 3
_OTHER_CRASHES_SECONDS = 10.0
_MOST_MORE_FOR_COMPLETIONS = 2
_FACTOR_IF_UNCLEAR = 2
_LEAST_UNSHARED = 2
_LEAD_OVER_RIVAL = 2
_DECIDED_SECONDS = SETTLING_SECONDS + 0.05
_FIRST_HOLD_SECONDS = 60.0
_LONGEST_HOLD_SECONDS = 3600.0
# Crashes further apart than this are those of different tries.
_SAME_TRY_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class Standing:
    """
    How a request stands.

    ``moments`` are the times of the crashes that count for it, ``servers`` the
    servers that ended, and ``completions`` the number of its runs that ended
    well since the first. A held request may be tried again at ``held_until``. A
    suspected one may run, but one copy at a time.
    """

    key: RequestKey
    moments: tuple[float, ...]
    servers: tuple[str, ...]
    completions: int = 0
    is_held: bool = False

    @property
    def is_exonerated(self) -> bool:
        """Return whether more of its runs ended well than crashed."""
        return self.completions > len(self.moments)

    @property
    def is_suspected(self) -> bool:
        """Return whether a run of it may crash the server."""
        is_repeated = len(self.moments) >= _CRASHES_TO_SUSPECT
        return self.is_held or (is_repeated and not self.is_exonerated)

    def is_undecided(self, now: float) -> bool:
        """Return whether what VMs are about to tell may hold the request."""
        return (
            not self.is_held
            and not self.is_exonerated
            and len(self.moments) >= CRASHES_TO_HOLD
            and now - self.moments[-1] < _DECIDED_SECONDS
        )

    @property
    def held_until(self) -> float:
        """
        Return when a held request may be tried again.

        The time doubles with each try that has crashed a server.
        """
        tries = sum(
            later - earlier > _SAME_TRY_SECONDS
            for earlier, later in zip(
                self.moments, self.moments[1:], strict=False
            )
        )
        seconds = min(_LONGEST_HOLD_SECONDS, _FIRST_HOLD_SECONDS * 2**tries)
        return self.moments[-1] + seconds


@dataclass(slots=True)
class _Case:
    """The crashes that count for one request so far, in their order."""

    key: RequestKey
    completions: int
    records: list[CrashRecord] = field(default_factory=list)
    is_held: bool = False

    @property
    def count(self) -> int:
        """Return the number of crashes at different moments."""
        return len(_moments(self.records))

    @property
    def is_exonerated(self) -> bool:
        """Return whether more of its runs ended well than crashed."""
        return self.completions > self.count

    def confirmed_count(self, now: float) -> int:
        """Return the number of crashes that the fleet is sure of."""
        return len(
            _moments(one for one in self.records if one.is_confirmed(now))
        )

    def may_explain_crash_of(self, other: '_Case') -> bool:
        """Return whether a crash that both share may be this one's work."""
        if self.is_exonerated or self.completions > other.completions:
            return False
        return self.count >= min(other.count, CRASHES_TO_HOLD)

    def standing(self) -> Standing:
        """Return how the request stands."""
        return Standing(
            self.key,
            _moments(self.records),
            tuple(record.process.server for record in self.records),
            self.completions,
            self.is_held,
        )


@dataclass(slots=True)
class _Trial:
    """
    Goes through the crashes in their order, and holds who is guilty.

    ``unexplained`` are the crashes so far at which no held request ran. What
    comes later changes no earlier verdict, so that all VMs that know the same
    crashes judge alike, whenever they have heard of them.
    """

    now: float
    completions: Mapping[RequestKey, int]
    cases: dict[RequestKey, _Case] = field(default_factory=dict)
    unexplained: list[CrashRecord] = field(default_factory=list)

    def add(self, record: CrashRecord) -> None:
        """Take the next crash into account."""
        cases = [self._case(key) for key in sorted(record.keys)]
        held = [case for case in cases if case.is_held]
        for case in held or cases:
            case.records.append(record)
        if held:
            return
        self.unexplained.append(record)
        for suspect in cases:
            if self._is_guilty(suspect, record.ended_at):
                self._hold(suspect)

    def _case(self, key: RequestKey) -> _Case:
        case = self.cases.get(key)
        if case is None:
            case = _Case(key, self.completions.get(key, 0))
            self.cases[key] = case
        return case

    def _hold(self, guilty: _Case) -> None:
        """Let the crashes of a request count for no other one."""
        guilty.is_held = True
        own = {record.process for record in guilty.records}
        sharing = {key for record in guilty.records for key in record.keys}
        for key in sharing - {guilty.key}:
            case = self.cases[key]
            case.records = [
                record for record in case.records if record.process not in own
            ]
        self.unexplained = [
            record for record in self.unexplained if record.process not in own
        ]

    def _is_guilty(self, case: _Case, at: float) -> bool:
        """Return whether the crashes speak against this request alone."""
        if len(case.records) < CRASHES_TO_HOLD:
            return False
        count = case.confirmed_count(self.now)
        if count < self._needed(case, at) or case.completions > count:
            return False
        return self._stands_out(case)

    def _needed(self, case: _Case, at: float) -> int:
        """Return how many crashes are beyond chance."""
        others = _moments(
            record
            for record in self.unexplained
            if case.key not in record.keys
            and record.ended_at >= at - _OTHER_CRASHES_SECONDS
        )
        more = int(len(others) >= _OTHER_CRASHES_FOR_MORE)
        factor = _FACTOR_IF_UNCLEAR if more and case.completions else 1
        more += min(_MOST_MORE_FOR_COMPLETIONS, case.completions)
        return (CRASHES_TO_HOLD + more) * factor

    def _stands_out(self, case: _Case) -> bool:
        """Return whether the crashes speak against this request most."""
        rivals = {
            key
            for record in case.records
            for key in record.keys - {case.key}
            if self.cases[key].may_explain_crash_of(case)
        }
        leads = all(
            case.count >= self.cases[key].count + _LEAD_OVER_RIVAL
            for key in rivals
        )
        unshared = (
            record for record in case.records if not record.keys & rivals
        )
        return leads or len(_moments(unshared)) >= _LEAST_UNSHARED


def judge(
    records: Collection[CrashRecord],
    completions: Mapping[RequestKey, int],
    now: float,
) -> dict[RequestKey, Standing]:
    """
    Return the standing of each request that a crash counts for.

    ``completions`` are the runs of each request that ended well since its first
    crash.

    Work: grows with the records times the requests in each, whatever the number
    of servers and VMs.
    """
    trial = _Trial(now, completions)
    for record in sorted(records, key=_ended_at):
        if not record.is_refuted:
            trial.add(record)
    return {
        key: case.standing()
        for key, case in trial.cases.items()
        if case.records
    }


def _moments(records: Iterable[CrashRecord]) -> tuple[float, ...]:
    """Return the times of crashes, those of the same moment as one."""
    moments: list[float] = []
    for ended_at in map(_ended_at, records):
        if not moments or ended_at - moments[-1] > _SAME_MOMENT_SECONDS:
            moments.append(ended_at)
    return tuple(moments)


def _ended_at(record: CrashRecord) -> float:
    return record.ended_at
