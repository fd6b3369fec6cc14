"""
Checks of a run's history of commits and installed revisions.

The checker replays the accepted changes with code of its own, so that a fault
in the load balancer's commit code can't hide itself.
"""

__all__ = ('Findings', 'check_history')

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.experiments.configuration.history import (
    Commit,
    History,
    InstalledRevision,
    Interval,
    Outcome,
)

_MAX_PROPAGATION_SECONDS = 4.0


@dataclass(slots=True)
class Findings:
    """Counts of violations; ``notes`` describes each of them in a sentence."""

    accepted_lost: int = 0
    reversions: int = 0
    in_force_max_s: float = 0
    notes: list[str] = field(default_factory=list)


def check_history(
    history: History,
    installed_revisions: Iterable[InstalledRevision],
    final_rows: Mapping[str, str],
) -> Findings:
    """Check a history; ``final_rows`` holds the rows in force at the end."""
    findings = Findings()
    by_entry: dict[str, list[InstalledRevision]] = {}
    for installed in sorted(
        installed_revisions, key=lambda installed: installed.installed_at
    ):
        by_entry.setdefault(installed.entry, []).append(installed)
    _check_lost_changes(history, final_rows, findings)
    _check_reversions(by_entry, findings)
    _check_restarts(by_entry, history, findings)
    _check_propagation(by_entry, history, findings)
    return findings


def _check_lost_changes(
    history: History,
    final_rows: Mapping[str, str],
    findings: Findings,
) -> None:
    expected_rows = dict(history.initial)
    accepted = [
        commit
        for commit in history.commits
        if commit.outcome is Outcome.ACCEPTED
    ]
    for commit in accepted:
        if not commit.revision:
            findings.accepted_lost += 1
            findings.notes.append(f'{commit.change_id} is not in the chain')
    for commit in sorted(accepted, key=lambda commit: commit.revision):
        if commit.revision:
            _replay(commit, expected_rows, findings)
    if expected_rows != dict(final_rows):
        findings.accepted_lost += 1
        names = sorted(
            name
            for name in expected_rows.keys() | final_rows.keys()
            if expected_rows.get(name) != final_rows.get(name)
        )
        findings.notes.append(f'rows in force differ: {names}')


def _replay(
    commit: Commit,
    expected_rows: dict[str, str],
    findings: Findings,
) -> None:
    for edit in commit.edits:
        if expected_rows.get(edit.row) != edit.before:
            findings.accepted_lost += 1
            findings.notes.append(
                f'{commit.change_id} was accepted over another {edit.row}',
            )
        if edit.after is None:
            expected_rows.pop(edit.row, None)
        else:
            expected_rows[edit.row] = edit.after


def _check_reversions(
    by_entry: Mapping[str, list[InstalledRevision]],
    findings: Findings,
) -> None:
    chains: dict[int, str] = {}
    for entry, installed_revisions in by_entry.items():
        last_revisions: dict[int, int] = {}
        for installed in installed_revisions:
            if installed.revision <= last_revisions.get(
                installed.process_number, 0
            ):
                findings.reversions += 1
                findings.notes.append(f'{entry} went to {installed.revision}')
            last_revisions[installed.process_number] = installed.revision
            if (
                chains.setdefault(installed.revision, installed.chain)
                != installed.chain
            ):
                findings.reversions += 1
                findings.notes.append(
                    f'{entry} has another {installed.revision}'
                )


def _check_restarts(
    by_entry: Mapping[str, list[InstalledRevision]],
    history: History,
    findings: Findings,
) -> None:
    for restart in history.restarts:
        later_revisions = [
            installed
            for installed in by_entry.get(restart.entry, [])
            if restart.start <= installed.installed_at
        ]
        other_revisions = [
            _revision_at(by_entry.get(other.entry, []), restart.start)
            for other in history.reachable_intervals
            if other.entry != restart.entry
            and other.start < restart.start < other.end
        ]
        if (
            later_revisions
            and other_revisions
            and later_revisions[0].revision < min(other_revisions)
        ):
            findings.reversions += 1
            findings.notes.append(
                f'{restart.entry} began at {later_revisions[0].revision}',
            )


def _check_propagation(
    by_entry: Mapping[str, list[InstalledRevision]],
    history: History,
    findings: Findings,
) -> None:
    accepted = [
        commit
        for commit in history.commits
        if commit.outcome is Outcome.ACCEPTED
        and commit.revision
        and not _is_within(commit.ended_at, history.resets)
    ]
    for commit in accepted:
        for interval in history.reachable_intervals:
            seconds = _propagation_seconds(
                by_entry.get(interval.entry, []),
                commit,
                interval,
            )
            if seconds > findings.in_force_max_s:
                findings.in_force_max_s = seconds
            if seconds > _MAX_PROPAGATION_SECONDS:
                findings.notes.append(
                    f'{interval.entry} had {commit.revision} after '
                    f'{seconds:.2f} s',
                )


def _propagation_seconds(
    installed_revisions: list[InstalledRevision],
    commit: Commit,
    interval: Interval,
) -> float:
    start = max(commit.ended_at, interval.start)
    if start >= interval.end:
        return 0
    installation_times = [
        installed.installed_at
        for installed in installed_revisions
        if installed.revision >= commit.revision
    ]
    first_installed_at = min(installation_times, default=float('inf'))
    if first_installed_at >= interval.end:
        is_long = interval.end - start > _MAX_PROPAGATION_SECONDS
        return interval.end - start if is_long else 0
    return max(0, first_installed_at - start)


def _revision_at(
    installed_revisions: list[InstalledRevision], time_point: float
) -> int:
    return max(
        (
            installed.revision
            for installed in installed_revisions
            if installed.installed_at <= time_point
        ),
        default=0,
    )


def _is_within(time_point: float, intervals: Iterable[Interval]) -> bool:
    return any(
        interval.start <= time_point <= interval.end for interval in intervals
    )
