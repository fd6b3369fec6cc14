"""
Selects the decisions on a subject from a decision log.

>>> from zinniaturn.explain.decisions import RevisionInstalled
>>> log = DecisionLog()
>>> log.record(RevisionInstalled(7))
>>> len(select_decisions(log, Subject(SubjectKind.REVISION, '7')))
1
"""

__all__ = ('Subject', 'SubjectKind', 'select_decisions')

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.explain.decisions import (
    Decision,
    EntryStateChanged,
    EventLogged,
    RevisionInstalled,
    RevisionRefused,
    ServerEjected,
    ServerLeaving,
    ServerReadmitted,
)
from zinniaturn.explain.recorder import DecisionLog

_MAX_DECISIONS = 200
_SERVER_DECISIONS = (ServerEjected, ServerLeaving, ServerReadmitted)


class SubjectKind(enum.Enum):
    """The kinds of subjects that can be explained."""

    REQUEST = 'request'
    SERVER = 'server'
    ENTRY = 'entry'
    REVISION = 'revision'


@dataclass(frozen=True, slots=True)
class Subject:
    """A request id, a server name, an entry name or a revision number."""

    kind: SubjectKind
    name: str


def select_decisions(log: DecisionLog, subject: Subject) -> list[Decision]:
    """Return the latest decisions on a subject, the oldest first."""
    concerns = _SELECTORS[subject.kind]
    found = [
        decision
        for decision in log.decisions()
        if concerns(decision, subject.name)
    ]
    return found[-_MAX_DECISIONS:]


def _concerns_request(decision: Decision, name: str) -> bool:
    return (
        decision.is_about_request
        and getattr(decision, 'request_id', '') == name
    )


def _concerns_server(decision: Decision, name: str) -> bool:
    if isinstance(decision, _SERVER_DECISIONS):
        return decision.server == name
    return decision.is_about_request and getattr(decision, 'server', '') == name


def _concerns_entry(decision: Decision, name: str) -> bool:
    match decision:
        case EntryStateChanged():
            return decision.entry == name
        case EventLogged():
            return decision.node == name or f'={name},' in f'{decision.fields},'
    return False


def _concerns_revision(decision: Decision, name: str) -> bool:
    match decision:
        case RevisionInstalled() | RevisionRefused():
            return str(decision.revision) == name
        case EventLogged():
            return f'revision={name},' in f'{decision.fields},'
    return False


_SELECTORS: Mapping[SubjectKind, Callable[[Decision, str], bool]] = (
    MappingProxyType(
        {
            SubjectKind.REQUEST: _concerns_request,
            SubjectKind.SERVER: _concerns_server,
            SubjectKind.ENTRY: _concerns_entry,
            SubjectKind.REVISION: _concerns_revision,
        }
    )
)
