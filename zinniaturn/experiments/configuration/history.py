"""
The history of a run: commits, installed revisions and reachable intervals.

Times are Unix times in seconds by the clock of the machine that runs the
experiment.
"""

__all__ = (
    'Commit',
    'History',
    'InstalledRevision',
    'Outcome',
    'RowEdit',
    'read_installed_revisions',
)

import datetime
import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from zinniaturn.events import LogEvent


class Outcome(enum.Enum):
    """How a commit ended."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class RowEdit:
    """A changed row with its text before and after, ``None`` if absent."""

    row: str
    before: str | None
    after: str | None


@dataclass(slots=True)
class Commit:
    """A change that an operator proposed, and its outcome."""

    change_id: str
    edits: tuple[RowEdit, ...]
    outcome: Outcome
    ended_at: float
    revision: int = 0
    was_unknown: bool = False


@dataclass(frozen=True, slots=True)
class InstalledRevision:
    """
    A revision that an entry installed.

    ``process_number`` counts the entry's processes, from 1.
    """

    installed_at: float
    entry: str
    process_number: int
    revision: int
    chain: str


@dataclass(slots=True)
class Interval:
    """A time span, such as one in which an entry is reachable."""

    entry: str
    start: float
    end: float = float('inf')


@dataclass(slots=True)
class History:
    """
    The input of the checker.

    ``reachable_intervals`` are the spans in which an entry was neither killed
    nor paused, ``restarts`` the times at which processes were started during
    the run, and ``resets`` the spans from a reset of the store until its
    tables were restored.
    """

    initial: Mapping[str, str] = field(default_factory=dict)
    commits: list[Commit] = field(default_factory=list)
    reachable_intervals: list[Interval] = field(default_factory=list)
    restarts: list[Interval] = field(default_factory=list)
    resets: list[Interval] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)


class _LogRow(msgspec.Struct):
    event: int = 0
    timestamp: str = ''
    revision: int = 0
    chain: str = ''


def read_installed_revisions(path: Path, entry: str) -> list[InstalledRevision]:
    """Return the revisions that an entry installed, from its log."""
    process_number = 0
    installed_revisions = []
    for line in path.read_bytes().splitlines():
        try:
            parsed = msgspec.json.decode(line, type=_LogRow)
        except msgspec.DecodeError:
            continue
        if parsed.event == LogEvent.PEERS_LISTEN:
            process_number += 1
        if parsed.event == LogEvent.REVISION_INSTALLED:
            installed_at = datetime.datetime.fromisoformat(
                parsed.timestamp
            ).timestamp()
            installed_revisions.append(
                InstalledRevision(
                    installed_at,
                    entry,
                    process_number,
                    parsed.revision,
                    parsed.chain,
                ),
            )
    return installed_revisions
