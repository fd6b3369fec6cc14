"""The state of one caller's request while the gateway handles it."""

__all__ = ('Placement', 'RequestContext')

from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool, FleetRoute
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.http1.messages import Request
from zinniaturn.locality.departures import LeaveReason
from zinniaturn.outcomes import Verdict
from zinniaturn.placing.candidates import Candidate
from zinniaturn.quarantine.request_key import RequestKey, request_key
from zinniaturn.tenants import Tenant


@dataclass(slots=True)
class RequestContext:
    """
    A request, its route and pool, and the attempts made so far.

    Times are those of the event loop's clock. ``attempt_count`` does not count
    attempts that certainly did not run. ``tried_servers`` are the servers that
    the next attempt avoids. ``elapsed_before`` is for how many seconds the
    caller had been trying before this request. ``verdict`` combines what is
    known from failed attempts. ``second_send`` is logged and says whether a
    hedged request was sent, or why not. ``withheld`` names a few servers that
    wanted no request when the last server was chosen, with the reason.
    ``taken_from`` is the VM that has passed the request on to this one, and
    ``passed_to`` names those that this VM has passed it on to.
    ``responding_server`` is the one whose response the caller gets.
    ``is_out_of_reach`` is set if no server of the pool responds to this VM.
    ``request_key`` is computed where it is needed first. ``tenant`` is the one
    that the request's key belonged to when it arrived, ``None`` where no key is
    asked for. ``leave_reason`` is why the request is served in another data
    centre, if it is.
    """

    request: Request
    request_id: str
    route: FleetRoute
    pool: FleetPool
    arrived_at: float
    deadline: float
    idempotent: bool
    attempt_count: int = 0
    elapsed_before: float = 0
    probe_count: int = 0
    first_sent_at: float | None = None
    tried_servers: set[str] = field(default_factory=set)
    verdict: Verdict | None = None
    server_names: list[str] = field(default_factory=list)
    load_report: LoadReport | None = None
    expected_seconds: float = 0
    detail: str = ''
    queue_length: int = 0
    avoids_slow_servers: bool = False
    second_send: str = ''
    withheld: list[str] = field(default_factory=list)
    taken_from: str = ''
    passed_to: list[str] = field(default_factory=list)
    responding_server: str = ''
    is_out_of_reach: bool = False
    request_key: RequestKey | None = None
    tenant: Tenant | None = None
    leave_reason: LeaveReason = LeaveReason.NO_ROOM

    @property
    def objective_at(self) -> float:
        """Return the time until which a response meets the objective."""
        seconds = self.route.objective_seconds
        limit = seconds or self.route.deadline_seconds
        return self.arrived_at - self.elapsed_before + limit

    @property
    def priority(self) -> int:
        """Return the tenant's priority, or else the route's; lower is first."""
        tenant = self.tenant
        if tenant is None or tenant.priority is None:
            return self.route.priority
        return tenant.priority

    @property
    def is_relayed(self) -> bool:
        """Return whether another VM has passed the request on to this one."""
        return bool(self.taken_from)

    @property
    def key(self) -> RequestKey:
        """Return the key that all copies of the request have."""
        if self.request_key is None:
            tenant = '' if self.tenant is None else self.tenant.name
            self.request_key = request_key(self.request, tenant)
        return self.request_key

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now


@dataclass(slots=True)
class Placement:
    """
    The server that a request is assigned to.

    ``connection`` is an open connection to it, or ``None`` where the attempt
    has to get one. ``service_seconds`` is the estimated service time on an
    idle server and ``expected_seconds`` the estimated time to the response.
    Until ``is_estimate_settled``, the server's statistics count each
    latency as the expected one. The request may be sent until ``send_before``
    by the boot clock. ``has_permit`` is set if the server had a limit when it
    was chosen. ``permit_expiry`` is that of the permit of its tenant's
    allowance, infinite where none is needed.
    """

    candidate: Candidate
    connection: BackendConnection | None
    service_seconds: float
    expected_seconds: float
    load_report: LoadReport | None = None
    is_estimate_settled: bool = True
    send_before: float = float('inf')
    permit_expiry: float = float('inf')
    has_permit: bool = False
