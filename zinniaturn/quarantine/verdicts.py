"""
Judges which requests end the servers that run them.

Of the requests that ran on a server as it ended most had nothing to do with it.
The guilty one is what several crashes have in common while no run of it ended
well. So a request is held

- after three crashes at different moments, if none of its runs has ended well
  since the first. Servers that end at the same moment end for a common reason,
  such as a lost machine, and count as one crash;
- after up to two more, if servers also end without it: one more for each three
  such crashes of the last ten seconds;
- after twice as many, if some of its runs ended well, but not more than
  crashed.

The crashes of a held request count for no other one. Of two requests that share
crashes, the one with fewer is not held, and neither is if they have as many;
the next run of either tells them apart.

For an innocent request whose runs are lost with a chance p, independently of
each other, the chance of a verdict after its first lost run is that of two more
in a row: p to the second power, or up to the fourth while servers end without
it.
"""

__all__ = ('CRASHES_TO_HOLD', 'Standing', 'judge')

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.request_key import RequestKey

CRASHES_TO_HOLD = 3
_CRASHES_TO_SUSPECT = 2
_SAME_MOMENT_SECONDS = 0.05
_OTHER_CRASHES_PER_MORE = 3
_MOST_MORE = 2
_OTHER_CRASHES_SECONDS = 10.0
_FACTOR_IF_SOME_ENDED_WELL = 2
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
class _Attribution:
    """
    Which crashes count for which requests.

    ``records`` are the crashes that no held request explains, and ``by_key``
    those of each request.
    """

    now: float
    completions: Mapping[RequestKey, int]
    records: dict[ServerProcess, CrashRecord]
    by_key: dict[RequestKey, set[ServerProcess]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Index the crashes by request."""
        for process, record in self.records.items():
            for key in record.keys:
                self.by_key.setdefault(key, set()).add(process)

    def standing(self, key: RequestKey, is_held: bool = False) -> Standing:
        """Return how a request stands by the crashes that count for it."""
        records = sorted(self._records(key), key=_ended_at)
        return Standing(
            key,
            _moments(records),
            tuple(record.process.server for record in records),
            self.completions.get(key, 0),
            is_held,
        )

    def keys(self) -> list[RequestKey]:
        """Return the requests, those with the most crashes first."""
        return sorted(self.by_key, key=lambda key: (-self._count(key), key))

    def is_guilty(self, key: RequestKey) -> bool:
        """Return whether the crashes speak against this request alone."""
        confirmed = _moments(
            record
            for record in self._records(key)
            if record.is_confirmed(self.now)
        )
        completions = self.completions.get(key, 0)
        if len(confirmed) < self._needed(key) or completions > len(confirmed):
            return False
        return not any(
            self._is_rival(key, other) for other in self._sharing(key)
        )

    def explain(self, key: RequestKey) -> None:
        """Let the crashes of a request count for no other one."""
        for process in self.by_key.pop(key):
            record = self.records.pop(process)
            for other in record.keys & self.by_key.keys():
                self.by_key[other].discard(process)

    def _records(self, key: RequestKey) -> list[CrashRecord]:
        return [self.records[process] for process in self.by_key[key]]

    def _count(self, key: RequestKey) -> int:
        return len(_moments(self._records(key)))

    def _needed(self, key: RequestKey) -> int:
        """Return how many crashes speak against a request beyond chance."""
        oldest = self.now - _OTHER_CRASHES_SECONDS
        others = _moments(
            record
            for process, record in self.records.items()
            if process not in self.by_key[key] and record.ended_at >= oldest
        )
        more = min(_MOST_MORE, len(others) // _OTHER_CRASHES_PER_MORE)
        needed = CRASHES_TO_HOLD + more
        if self.completions.get(key):
            needed *= _FACTOR_IF_SOME_ENDED_WELL
        return needed

    def _sharing(self, key: RequestKey) -> set[RequestKey]:
        """Return the other requests that ran on the same servers."""
        sharing: set[RequestKey] = set()
        for record in self._records(key):
            sharing.update(record.keys & self.by_key.keys())
        sharing.discard(key)
        return sharing

    def _is_rival(self, key: RequestKey, other: RequestKey) -> bool:
        """Return whether another request may as well have ended the servers."""
        if self.standing(other).is_exonerated:
            return False
        return self._count(other) >= self._count(key)


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
    attribution = _Attribution(
        now,
        completions,
        {record.process: record for record in records if not record.is_refuted},
    )
    standings: dict[RequestKey, Standing] = {}
    for key in attribution.keys():
        if attribution.is_guilty(key):
            standings[key] = attribution.standing(key, is_held=True)
            attribution.explain(key)
    for open_key, processes in attribution.by_key.items():
        if processes:
            standings[open_key] = attribution.standing(open_key)
    return standings


def _moments(records: Iterable[CrashRecord]) -> tuple[float, ...]:
    """Return the times of crashes, those of the same moment as one."""
    moments: list[float] = []
    for ended_at in sorted(map(_ended_at, records)):
        if not moments or ended_at - moments[-1] > _SAME_MOMENT_SECONDS:
            moments.append(ended_at)
    return tuple(moments)


def _ended_at(record: CrashRecord) -> float:
    return record.ended_at
