"""
The history of a run: commits, installed revisions and reachable times.

Times are in seconds since the epoch by the bench machine's clock.
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
    """A touched row: its text before and after, ``None`` for absent."""

    row: str
    before: str | None
    after: str | None


@dataclass(slots=True)
class Commit:
    """A change that an operator proposed and what became of it."""

    change_id: str
    edits: tuple[RowEdit, ...]
    outcome: Outcome
    ended_at: float
    revision: int = 0
    was_unknown: bool = False


@dataclass(frozen=True, slots=True)
class InstalledRevision:
    """A revision that an entry put in force, in its ``start``-th process."""

    installed_at: float
    entry: str
    process_number: int
    revision: int
    chain: str


@dataclass(slots=True)
class Interval:
    """A time in which an entry could be reached; open ones have no end."""

    entry: str
    start: float
    end: float = float('inf')


@dataclass(slots=True)
class History:
    """
    All that the checker looks at.

    ``starts`` are the moments at which processes were started amid the run.
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
    """Return what an entry installed, from its log."""
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
