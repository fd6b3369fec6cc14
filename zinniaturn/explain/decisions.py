"""
Defines the decisions that an entry records.

Each is a data class of what was decided and on what grounds. They carry no
body, header or idempotency key of a caller, so that nothing secret is shown.
``at`` is set by the recorder, in seconds since the epoch.
"""

__all__ = (
    'Decision',
    'EntryStateChanged',
    'EventLogged',
    'RequestEnded',
    'RequestHedged',
    'RequestRefused',
    'RevisionInstalled',
    'RevisionRefused',
    'ServerChosen',
    'ServerEjected',
    'ServerLeaving',
    'ServerReadmitted',
)

from dataclasses import dataclass, field
from typing import ClassVar


@dataclass(slots=True)
class Decision:
    """
    The base of all decisions.

    ``is_about_request`` says whether the decision concerns a single request.
    """

    is_about_request: ClassVar[bool] = False
    at: float = field(default=0, init=False)


@dataclass(slots=True)
class ServerChosen(Decision):
    """
    A server was chosen for an attempt of a request.

    ``in_flight`` is the number of this entry's requests in flight on the
    server, including this one; ``attempt`` counts from 1. ``grounds`` names
    the policy or the rule.
    """

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    server: str
    attempt: int
    in_flight: int
    grounds: str


@dataclass(slots=True)
class RequestHedged(Decision):
    """A hedged request was sent while the first attempt still ran."""

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    server: str
    after_seconds: float


@dataclass(slots=True)
class RequestRefused(Decision):
    """A request was rejected with a code of the rejection catalogue."""

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    code: str
    outcome: str
    detail: str


@dataclass(slots=True)
class RequestEnded(Decision):
    """An attempt ended without a complete response."""

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    phase: str
    event: str
    outcome: str
    detail: str


@dataclass(slots=True)
class ServerEjected(Decision):
    """A server was ejected: it gets no new requests for ``seconds``."""

    pool: str
    server: str
    seconds: float
    grounds: str


@dataclass(slots=True)
class ServerReadmitted(Decision):
    """An ejected server gets requests again."""

    pool: str
    server: str


@dataclass(slots=True)
class ServerLeaving(Decision):
    """
    A source reported that a server is leaving, or withdrew that report.

    ``witness`` names the source, such as ``table``, ``vm-list``, ``health``,
    ``reply``, ``peer`` or ``connect``.
    """

    pool: str
    server: str
    witness: str
    leaving: bool = True


@dataclass(slots=True)
class RevisionInstalled(Decision):
    """A revision was installed from ``store`` or the peer in ``witness``."""

    revision: int
    witness: str = 'store'


@dataclass(slots=True)
class RevisionRefused(Decision):
    """A revision that ``witness`` offered was rejected."""

    revision: int
    witness: str
    grounds: str


@dataclass(slots=True)
class EntryStateChanged(Decision):
    """The entry or one of its peers changed to ``state``, on these grounds."""

    entry: str
    state: str
    grounds: str


@dataclass(slots=True)
class EventLogged(Decision):
    """
    The entry ``node`` logged a numbered event.

    ``fields`` holds the event's fields as ``name=value``, separated by commas.
    """

    node: str
    event: int
    text: str
    fields: str
