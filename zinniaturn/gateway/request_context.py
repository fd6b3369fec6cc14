"""One caller's request on its way through the gateway."""

__all__ = ('Placement', 'RequestContext')

from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.fleet.tables import FleetPool, FleetRoute
from zinniaturn.http1.backend import BackendConnection
from zinniaturn.http1.messages import Request
from zinniaturn.outcomes import Verdict
from zinniaturn.placing.probing import Candidate


@dataclass(slots=True)
class RequestContext:
    """
    A request, its route and what has been tried.

    Times are the loop's. ``attempts`` counts the sends but for those that
    surely did not run. ``elapsed`` is how long the caller had been trying
    before this request. ``second_send`` says what came of a wish to send to a
    second server beside the first.
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
    second_send: str = ''

    @property
    def objective_at(self) -> float:
        """Return when the answer is due to be worth most."""
        seconds = self.route.objective_seconds
        limit = seconds or self.route.deadline_seconds
        return self.arrived_at - self.elapsed_before + limit

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - now


@dataclass(slots=True)
class Placement:
    """
    The server that a request is sent to.

    ``connection`` is ready for it, or ``None`` where one must be opened.
    ``work`` is the estimate of the work alone, ``expected`` of the answer;
    servers are not judged by it before it is settled.
    """

    candidate: Candidate
    connection: BackendConnection | None
    work_seconds: float
    expected_seconds: float
    load_report: LoadReport | None = None
    is_estimate_settled: bool = True
