"""
The decisions that an entry records.

Each is a data class of what was decided and on what grounds. They carry no
body, no header and no key of a caller, so that nothing secret is shown.
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
    What all decisions share.

    ``is_about_request`` says whether the decision is on one request.
    """

    is_about_request: ClassVar[bool] = False
    at: float = field(default=0, init=False)


@dataclass(slots=True)
class ServerChosen(Decision):
    """
    A server was chosen for an attempt of a request.

    ``in_flight`` is this entry's own requests on the server, with this one;
    ``attempt`` counts from 1. ``grounds`` names the policy or the rule.
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
    """A second attempt was sent while the first still ran."""

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    server: str
    after_seconds: float


@dataclass(slots=True)
class RequestRefused(Decision):
    """A request was refused with a code of the catalogue."""

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    code: str
    outcome: str
    detail: str


@dataclass(slots=True)
class RequestEnded(Decision):
    """An attempt ended without a whole answer."""

    is_about_request: ClassVar[bool] = True
    request_id: str
    pool: str
    phase: str
    event: str
    outcome: str
    detail: str


@dataclass(slots=True)
class ServerEjected(Decision):
    """A server gets no new work for ``seconds``."""

    pool: str
    server: str
    seconds: float
    grounds: str


@dataclass(slots=True)
class ServerReadmitted(Decision):
    """An ejected server gets work again."""

    pool: str
    server: str


@dataclass(slots=True)
class ServerLeaving(Decision):
    """
    A source says that a server is leaving, or no longer says so.

    ``witness`` is such as ``table``, ``vm-list``, ``health``, ``reply``,
    ``peer`` or ``connect``.
    """

    pool: str
    server: str
    witness: str
    leaving: bool = True


@dataclass(slots=True)
class RevisionInstalled(Decision):
    """A revision is in force; ``witness`` is ``store`` or a peer's name."""

    revision: int
    witness: str = 'store'


@dataclass(slots=True)
class RevisionRefused(Decision):
    """An offered revision was not obeyed."""

    revision: int
    witness: str
    grounds: str


@dataclass(slots=True)
class EntryStateChanged(Decision):
    """An entry, this one or a peer, is now ``state`` on these grounds."""

    entry: str
    state: str
    grounds: str


@dataclass(slots=True)
class EventLogged(Decision):
    """
    A numbered event of the entry ``node``.

    ``fields`` is its fields as ``name=value``.
    """

    node: str
    event: int
    text: str
    fields: str
