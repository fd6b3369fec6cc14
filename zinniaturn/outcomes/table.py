"""
Table of the outcomes of failed exchanges with backend servers.

It maps the phase that an exchange had reached and the event that ended it to
the outcome of the request. The same table decides both whether the request is
retried and which response the caller gets.
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
    """Whether a request was executed by a backend server."""

    NOT_RUN = 'not-run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class Phase(enum.IntEnum):
    """The phase that an exchange with a backend server has reached."""

    NOT_SENT = 0
    SENT_PART = 1
    SENT_WHOLE = 2
    ANSWER_BEGUN = 3


class Event(enum.Enum):
    """The event that ended an exchange early."""

    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    DEADLINE_PASSED = 'deadline-passed'
    BAD_ANSWER = 'bad-answer'
    REQUEST_BROKEN = 'request-broken'
    SERVER_SHED = 'server-shed'


@dataclass(frozen=True, slots=True)
class Verdict:
    """
    The outcome of an exchange, and whether another server may be tried.

    ``retry_non_idempotent`` applies to every request, ``retry_idempotent``
    only to those that may run twice. ``code`` is that of the response to the
    caller.
    """

    outcome: Outcome
    retry_idempotent: bool
    retry_non_idempotent: bool
    code: str


_NO_SERVER = Verdict(Outcome.NOT_RUN, True, True, 'no-server')
_SERVER_SHED = Verdict(Outcome.NOT_RUN, True, True, 'server-shed')
_CONNECTION_LOST = Verdict(Outcome.UNKNOWN, True, False, 'connection-lost')
_DEADLINE_PASSED = Verdict(Outcome.UNKNOWN, False, False, 'deadline-passed')
_DEADLINE_NOT_RUN = Verdict(Outcome.NOT_RUN, False, False, 'deadline-not-run')
_BAD_ANSWER = Verdict(Outcome.UNKNOWN, True, False, 'bad-answer')
_BODY_BROKEN = Verdict(Outcome.UNKNOWN, False, False, 'body-broken')
_ANSWER_CUT = Verdict(Outcome.UNKNOWN, False, False, 'answer-cut')

OUTCOMES: Mapping[tuple[Phase, Event], Verdict] = MappingProxyType(
    {
        (Phase.NOT_SENT, Event.CONNECT_FAILED): _NO_SERVER,
        (Phase.NOT_SENT, Event.CONNECTION_LOST): _NO_SERVER,
        (Phase.NOT_SENT, Event.DEADLINE_PASSED): _DEADLINE_NOT_RUN,
        (Phase.SENT_PART, Event.CONNECTION_LOST): _CONNECTION_LOST,
        (Phase.SENT_PART, Event.DEADLINE_PASSED): _DEADLINE_PASSED,
        (Phase.SENT_PART, Event.BAD_ANSWER): _BAD_ANSWER,
        (Phase.SENT_PART, Event.REQUEST_BROKEN): _BODY_BROKEN,
        (Phase.SENT_PART, Event.SERVER_SHED): _SERVER_SHED,
        (Phase.SENT_WHOLE, Event.CONNECTION_LOST): _CONNECTION_LOST,
        (Phase.SENT_WHOLE, Event.DEADLINE_PASSED): _DEADLINE_PASSED,
        (Phase.SENT_WHOLE, Event.BAD_ANSWER): _BAD_ANSWER,
        (Phase.SENT_WHOLE, Event.SERVER_SHED): _SERVER_SHED,
        (Phase.ANSWER_BEGUN, Event.CONNECTION_LOST): _ANSWER_CUT,
        (Phase.ANSWER_BEGUN, Event.DEADLINE_PASSED): _ANSWER_CUT,
        (Phase.ANSWER_BEGUN, Event.BAD_ANSWER): _ANSWER_CUT,
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
    Return the verdict for a request after one more attempt.

    An earlier attempt that may have run keeps its outcome, even if the latest
    certainly did not run. Whether another attempt is allowed depends on the
    latest alone.

    >>> lost = verdict_for(Phase.SENT_WHOLE, Event.CONNECTION_LOST)
    >>> refused = verdict_for(Phase.NOT_SENT, Event.CONNECT_FAILED)
    >>> combine_verdicts(lost, refused).outcome.value
    'unknown'
    """
    if earlier is None or earlier.outcome is Outcome.NOT_RUN:
        return latest
    return replace(latest, outcome=earlier.outcome, code=earlier.code)
