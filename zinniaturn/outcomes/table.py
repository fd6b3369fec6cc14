"""
The outcome state table.

It maps how far an exchange with a backend server had come, and what ended it,
to what is known of the request. One table decides both the automatic retry
and the answer to the caller.
"""

__all__ = (
    'OUTCOMES',
    'Event',
    'Outcome',
    'Phase',
    'Verdict',
    'combine_verdicts',
    'verdict_for',
)

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType


class Outcome(enum.Enum):
    """What is known of a request."""

    NOT_RUN = 'not-run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class Phase(enum.IntEnum):
    """How far an exchange with a backend server has come."""

    NOT_SENT = 0
    SENT_PART = 1
    SENT_WHOLE = 2
    ANSWER_BEGUN = 3


class Event(enum.Enum):
    """What ended an exchange."""

    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    DEADLINE_PASSED = 'deadline-passed'
    BAD_ANSWER = 'bad-answer'
    REQUEST_BROKEN = 'request-broken'
    SERVER_SHED = 'server-shed'


@dataclass(frozen=True, slots=True)
class Verdict:
    """
    What is known, and whether another try at another server is allowed.

    ``retry_non_idempotent`` holds for every request, and
    ``retry_idempotent`` for those that may run twice.
    """

    outcome: Outcome
    retry_idempotent: bool
    retry_non_idempotent: bool
    code: str


_NOT_RUN = Verdict(Outcome.NOT_RUN, True, True, 'no-server')
_SHED = Verdict(Outcome.NOT_RUN, True, True, 'server-shed')
_LOST = Verdict(Outcome.UNKNOWN, True, False, 'connection-lost')
_LATE = Verdict(Outcome.UNKNOWN, False, False, 'deadline-passed')
_LATE_NOT_RUN = Verdict(Outcome.NOT_RUN, False, False, 'deadline-not-run')
_BAD = Verdict(Outcome.UNKNOWN, True, False, 'bad-answer')
_BROKEN = Verdict(Outcome.UNKNOWN, False, False, 'body-broken')
_CUT = Verdict(Outcome.UNKNOWN, False, False, 'answer-cut')

OUTCOMES: Mapping[tuple[Phase, Event], Verdict] = MappingProxyType(
    {
        (Phase.NOT_SENT, Event.CONNECT_FAILED): _NOT_RUN,
        (Phase.NOT_SENT, Event.CONNECTION_LOST): _NOT_RUN,
        (Phase.NOT_SENT, Event.DEADLINE_PASSED): _LATE_NOT_RUN,
        (Phase.SENT_PART, Event.CONNECTION_LOST): _LOST,
        (Phase.SENT_PART, Event.DEADLINE_PASSED): _LATE,
        (Phase.SENT_PART, Event.BAD_ANSWER): _BAD,
        (Phase.SENT_PART, Event.REQUEST_BROKEN): _BROKEN,
        (Phase.SENT_PART, Event.SERVER_SHED): _SHED,
        (Phase.SENT_WHOLE, Event.CONNECTION_LOST): _LOST,
        (Phase.SENT_WHOLE, Event.DEADLINE_PASSED): _LATE,
        (Phase.SENT_WHOLE, Event.BAD_ANSWER): _BAD,
        (Phase.SENT_WHOLE, Event.SERVER_SHED): _SHED,
        (Phase.ANSWER_BEGUN, Event.CONNECTION_LOST): _CUT,
        (Phase.ANSWER_BEGUN, Event.DEADLINE_PASSED): _CUT,
        (Phase.ANSWER_BEGUN, Event.BAD_ANSWER): _CUT,
    }
)


def verdict_for(phase: Phase, event: Event) -> Verdict:
    """
    Return the verdict for an exchange that ended early.

    >>> verdict_for(Phase.NOT_SENT, Event.CONNECT_FAILED).outcome.value
    'not-run'
    """
    return OUTCOMES[phase, event]


def combine_verdicts(earlier: Verdict | None, latest: Verdict) -> Verdict:
    """
    Return what is known of a request after one more try.

    A try that surely did not run takes nothing from an earlier one that may
    have run; whether another try is allowed is the latest one's word.

    >>> lost = verdict_for(Phase.SENT_WHOLE, Event.CONNECTION_LOST)
    >>> refused = verdict_for(Phase.NOT_SENT, Event.CONNECT_FAILED)
    >>> combine_verdicts(lost, refused).outcome.value
    'unknown'
    """
    if earlier is None or earlier.outcome is Outcome.NOT_RUN:
        return latest
    return replace(latest, outcome=earlier.outcome, code=earlier.code)
