"""
What a VM says of where a request would go now.

The command line decodes the same types. None of them holds a tenant's key, and
the lists are bounded.
"""

__all__ = (
    'MOST_NAMED_SERVERS',
    'AllowanceView',
    'LeavingView',
    'LookUpView',
    'PlaceCounts',
    'PoolView',
    'ReportAges',
    'ServerView',
    'WhereAnswer',
    'WhereOutcome',
)

from enum import Enum

import msgspec

MOST_NAMED_SERVERS = 32


class WhereOutcome(Enum):
    """
    What would become of a request.

    ``SENT``: a server has room by the reports; a probe confirms it first.
    ``SEARCHED``: the reports show no server with room or are missing, so that
    probes decide whether it is sent or waits. ``PERMIT_ASKED``: it depends on
    a permit that another VM is asked for. ``AWAITED``: it waits a moment for
    what other VMs say of the pool. ``PASSED_ON``: another VM serves it.
    """

    SENT = 'sent'
    SEARCHED = 'searched'
    PERMIT_ASKED = 'permit-asked'
    AWAITED = 'awaited'
    PASSED_ON = 'passed-on'
    REJECTED = 'rejected'


class ServerView(msgspec.Struct):
    """
    A server as this VM knows it.

    ``state`` is ``usable``, or why it gets no request: ``limit``, ``leaving``,
    ``pause``, ``evacuated`` or ``replaced``, or why it comes last: ``ejected``
    or ``unresponsive``. ``seconds_left`` is the rest of a pause or ejection.
    ``running``, ``waiting``, ``slots`` and ``has_room`` are of its last load
    report, which is ``report_age_ms`` old; without one they are ``None``, and
    the expected time is that of an idle server. ``in_flight`` are requests of
    this VM. ``way_ms`` is the round trip beyond one in the own data centre and
    ``price_ms`` what the way costs beyond its time. ``cold_seconds`` is the
    rest of the warm-up that its entry announced. ``permits`` are held for a
    server with a ``limit``, in requests per second.
    """

    name: str
    data_center: str
    state: str
    seconds_left: float
    has_room: bool | None
    running: int | None
    waiting: int | None
    slots: int | None
    report_age_ms: float | None
    in_flight: int
    expected_ms: float
    cost_ms: float
    way_ms: float
    price_ms: float
    cold_seconds: float
    limit: float | None
    permits: int


class PlaceCounts(msgspec.Struct):
    """A data centre's servers of the pool: all, usable, and with room."""

    servers: int = 0
    usable: int = 0
    with_room: int = 0


class ReportAges(msgspec.Struct):
    """How old the load reports are that the answer rests on."""

    servers: int
    without_report: int
    newest_ms: float | None
    oldest_ms: float | None


class LeavingView(msgspec.Struct):
    """
    The decision on leaving the data centre.

    ``starts`` is the share of requests by where their search begins:
    ``own_twice``, ``own_first``, ``both_sides`` or ``elsewhere``. It is empty
    where there is nothing to decide.
    """

    is_active: bool
    starts: dict[str, float]
    inputs: dict[str, float]


class PoolView(msgspec.Struct):
    """
    The pool that the request would go to, and its servers.

    ``is_drawn`` is set if one of several pools is drawn at random, as the route
    has had no request yet; the one with the most weight is shown.
    ``states`` counts all servers by state; at most 32 are ``servers``.
    ``warm_up_per_second`` is what a cold server takes, 0 if that isn't known.
    """

    name: str
    is_drawn: bool
    shares: dict[str, float]
    queue_length: int
    warm_up_per_second: float
    states: dict[str, int]
    places: dict[str, PlaceCounts]
    reports: ReportAges
    leaving: LeavingView
    servers: list[ServerView]


class AllowanceView(msgspec.Struct):
    """
    What this VM holds of a tenant's allowance.

    ``owner`` is the VM that grants permits, ``None`` before the first request.
    ``is_ownerless`` is set where it can't be asked, so that this VM uses its
    own part. ``next_permit_seconds`` is above 0 while the owner has said that
    there is no permit before.
    """

    per_second: float
    burst: float
    permits: int
    owner: str | None
    is_ownerless: bool
    next_permit_seconds: float


class LookUpView(msgspec.Struct):
    """
    The VMs that look-ups name, as of the last look-up at this VM.

    ``own_share`` is the share of the data centre's own VMs in the answers to
    its callers, ``None`` where they get any VM.
    """

    data_center: str
    vms: int
    own_vms: int
    own_share: float | None
    has_this_vm: bool


class WhereAnswer(msgspec.Struct):
    """
    Where a request would go now, and why.

    ``servers`` of the outcome are the likely ones, the first one first, or the
    VMs that the request is passed on to. ``retry_after_seconds`` is without
    jitter. The ages are in seconds.
    """

    vm: str
    data_center: str
    tables_revision: int
    state_age_seconds: float
    outcome: str
    reason: str
    targets: list[str]
    code: str = ''
    status: int = 0
    retry_after_seconds: float | None = None
    route: str = ''
    is_key_required: bool = False
    proof_age_seconds: float | None = None
    tenant: str = ''
    priority: int = 0
    allowance: AllowanceView | None = None
    pool: PoolView | None = None
    look_ups: LookUpView | None = None
