"""
The checker over a run's history.

It replays the accepted changes by itself and shares no code with the product's
commits.
"""

__all__ = ('Findings', 'check_history')

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.experiments.configuration.history import (
    Commit,
    History,
    Installed,
    Interval,
    Outcome,
)

_OVERLONG_SECONDS = 4.0


@dataclass(slots=True)
class Findings:
    """What the checker found; ``notes`` explain each fault in a sentence."""

    accepted_lost: int = 0
    reversions: int = 0
    in_force_max_s: float = 0
    notes: list[str] = field(default_factory=list)


def check_history(
    history: History,
    installed: Iterable[Installed],
    final: Mapping[str, str],
) -> Findings:
    """Return what is wrong; ``final`` holds the rows in force at the end."""
    findings = Findings()
    by_entry: dict[str, list[Installed]] = {}
    for one in sorted(installed, key=lambda each: each.at):
        by_entry.setdefault(one.entry, []).append(one)
    _check_lost(history, final, findings)
    _check_reversions(by_entry, findings)
    _check_fresh_starts(by_entry, history, findings)
    _check_in_force(by_entry, history, findings)
    return findings


def _check_lost(
    history: History,
    final: Mapping[str, str],
    findings: Findings,
) -> None:
    rows = dict(history.initial)
    accepted = [
        one for one in history.commits if one.outcome is Outcome.ACCEPTED
    ]
    for one in accepted:
        if not one.revision:
            findings.accepted_lost += 1
            findings.notes.append(f'{one.change_id} is not in the chain')
    for one in sorted(accepted, key=lambda each: each.revision):
        if one.revision:
            _replay(one, rows, findings)
    if rows != dict(final):
        findings.accepted_lost += 1
        names = sorted(
            name
            for name in rows.keys() | final.keys()
            if rows.get(name) != final.get(name)
        )
        findings.notes.append(f'rows in force differ: {names}')


def _replay(
    commit: Commit,
    rows: dict[str, str],
    findings: Findings,
) -> None:
    for edit in commit.edits:
        if rows.get(edit.row) != edit.before:
            findings.accepted_lost += 1
            findings.notes.append(
                f'{commit.change_id} was accepted over another {edit.row}',
            )
        if edit.after is None:
            rows.pop(edit.row, None)
        else:
            rows[edit.row] = edit.after


def _check_reversions(
    by_entry: Mapping[str, list[Installed]],
    findings: Findings,
) -> None:
    chains: dict[int, str] = {}
    for entry, steps in by_entry.items():
        last: dict[int, int] = {}
        for one in steps:
            if one.revision <= last.get(one.start, 0):
                findings.reversions += 1
                findings.notes.append(f'{entry} went to {one.revision}')
            last[one.start] = one.revision
            if chains.setdefault(one.revision, one.chain) != one.chain:
                findings.reversions += 1
                findings.notes.append(f'{entry} has another {one.revision}')


def _check_fresh_starts(
    by_entry: Mapping[str, list[Installed]],
    history: History,
    findings: Findings,
) -> None:
    for begun in history.starts:
        after = [
            one
            for one in by_entry.get(begun.entry, [])
            if begun.start <= one.at
        ]
        floors = [
            _held_at(by_entry.get(other.entry, []), begun.start)
            for other in history.reachable
            if other.entry != begun.entry
            and other.start < begun.start < other.end
        ]
        if after and floors and after[0].revision < min(floors):
            findings.reversions += 1
            findings.notes.append(
                f'{begun.entry} began at {after[0].revision}',
            )


def _check_in_force(
    by_entry: Mapping[str, list[Installed]],
    history: History,
    findings: Findings,
) -> None:
    in_time = [
        one
        for one in history.commits
        if one.outcome is Outcome.ACCEPTED
        and one.revision
        and not _is_amid(one.ended_at, history.resets)
    ]
    for commit in in_time:
        for interval in history.reachable:
            seconds = _seconds_to(
                by_entry.get(interval.entry, []),
                commit,
                interval,
            )
            if seconds > findings.in_force_max_s:
                findings.in_force_max_s = seconds
            if seconds > _OVERLONG_SECONDS:
                findings.notes.append(
                    f'{interval.entry} had {commit.revision} after '
                    f'{seconds:.2f} s',
                )


def _seconds_to(
    steps: list[Installed],
    commit: Commit,
    interval: Interval,
) -> float:
    start = max(commit.ended_at, interval.start)
    if start >= interval.end:
        return 0
    moments = [one.at for one in steps if one.revision >= commit.revision]
    first = min(moments, default=float('inf'))
    if first >= interval.end:
        is_long = interval.end - start > _OVERLONG_SECONDS
        return interval.end - start if is_long else 0
    return max(0, first - start)


def _held_at(steps: list[Installed], moment: float) -> int:
    return max((one.revision for one in steps if one.at <= moment), default=0)


def _is_amid(moment: float, intervals: Iterable[Interval]) -> bool:
    return any(one.start <= moment <= one.end for one in intervals)
