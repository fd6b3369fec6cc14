"""The state that the parts of the gateway process share."""

__all__ = ('GatewayState',)

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from zinniaturn.admission.admission import (
    Admission,
    ResponseKind,
)
from zinniaturn.admission.statement import ServerStatement
from zinniaturn.admission.table import AdmissionTable
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.gossip import GossipProtocol
from zinniaturn.fleet.state_change import StateChange
from zinniaturn.fleet.tables import FleetRoute
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.counters import Counters
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.settings import GatewaySettings
from zinniaturn.gateway.warm_up_limits import set_warm_up_limits
from zinniaturn.gateway.wire_format import WireFormat
from zinniaturn.http1.connections import ConnectionPool
from zinniaturn.locality.table import LocalityTable
from zinniaturn.placing.candidates import Candidate
from zinniaturn.placing.demand import fleet_demand, probe_share
from zinniaturn.placing.planned_stop import PlannedStop
from zinniaturn.placing.rate_limit import RateLimit
from zinniaturn.placing.recent_rate import RecentRate
from zinniaturn.placing.retry_budget import FleetRetryBudget
from zinniaturn.placing.server_stats import ServerStats
from zinniaturn.quarantine.table import QuarantineTable
from zinniaturn.reach.reach_table import ReachTable
from zinniaturn.tables.matching import RouteMatcher

_MILLISECONDS_PER_SECOND = 1000
_UNREADABLE_REPORT_SECONDS = 10.0


@dataclass(slots=True)
class GatewayState:
    """
    The routes, servers, statistics and lifecycle stage of one process.

    ``pools`` holds the servers of each pool by name, with the statistics that
    this process has gathered of them. ``gossip`` is set once it is built, and
    ``planned_stop`` once the process has been told to stop.
    """

    settings: GatewaySettings
    wire_format: WireFormat
    fleet_state: FleetState
    vms: VmTable
    admissions: AdmissionTable
    reach: ReachTable
    event_log: EventLog
    random_source: random.Random
    started_at: float
    gossip: GossipProtocol = field(init=False)
    stage: VmStage = VmStage.STARTING
    planned_stop: PlannedStop | None = None
    locality: LocalityTable = field(init=False)
    connections: ConnectionPool = field(default_factory=ConnectionPool)
    counters: Counters = field(default_factory=Counters)
    matcher: RouteMatcher[FleetRoute] = field(default_factory=RouteMatcher)
    pools: dict[str, dict[str, Candidate]] = field(default_factory=dict)
    retry_budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    arrival_rate: RecentRate = field(default_factory=RecentRate)
    unreadable_reports: RateLimit = field(
        default_factory=lambda: RateLimit(_UNREADABLE_REPORT_SECONDS)
    )

    def __post_init__(self) -> None:
        """Begin without any news of data centres."""
        self.locality = LocalityTable(
            self.settings.data_center,
            self.settings.locality,
            activation=self.settings.build_activation(),
        )

    @property
    def quarantine(self) -> QuarantineTable:
        """Return what is known of requests that end servers."""
        return self.gossip.quarantine

    @property
    def is_stopping(self) -> bool:
        """Return whether the process is shutting down."""
        return self.stage is VmStage.STOPPING

    def tables_revision(self) -> int:
        """Return the revision of the tables in force, 0 before the first."""
        document = self.fleet_state.document
        return document.revision if document else 0

    def note_request(self, pool: str, now: float) -> None:
        """Count a request that this VM serves."""
        self.arrival_rate.note(now)
        self.retry_budget(pool).note_request(now)

    def hand_over_request(self, pool: str) -> None:
        """Count a request no more, as the VM that takes it counts it."""
        self.arrival_rate.forget_latest()
        self.retry_budget(pool).forget_latest_request()

    def own_request_rate(self) -> float:
        """Return the requests per second that callers send to this VM."""
        return self.arrival_rate.per_second(asyncio.get_running_loop().time())

    def fleet_request_rate(self) -> float:
        """Return the fleet's requests per second, infinite if not known."""
        return fleet_demand(self.vms, self.own_request_rate())

    def probe_share(self) -> float:
        """Return this VM's share of the fleet's probe budget."""
        return probe_share(self.vms, self.own_request_rate())

    def apply_change(self, change: StateChange) -> None:
        """
        Rebuild the routes and pools from the newest state of the fleet.

        A server keeps its statistics unless it was restarted since.
        """
        tables = self.fleet_state.tables
        if change.tables_revision is not None and tables is not None:
            self.matcher = RouteMatcher(tables.routes.values())
            self.locality.sizes.retain(set(tables.routes))
            if self.stage is VmStage.STARTING:
                self.stage = VmStage.READY
        previous = {
            candidate.name: candidate
            for candidates in self.pools.values()
            for candidate in candidates.values()
        }
        self.pools = {}
        for registered in self.fleet_state.servers.values():
            name = registered.server.name
            previous_candidate = previous.get(name)
            stats = ServerStats()
            if (
                previous_candidate
                and previous_candidate.registered.started_ms
                == registered.started_ms
            ):
                stats = previous_candidate.stats
            candidates = self.pools.setdefault(registered.pool, {})
            admission = self.admissions.of_process(name, registered.started_ms)
            admission.note_cold(self.fleet_state.warm_ups.end(name))
            admission.is_evacuated = (
                registered.server.data_center in self.fleet_state.evacuated
            )
            candidates[name] = Candidate(registered, stats, admission)
        self.locality.set_servers(
            {
                pool: Counter(
                    candidate.registered.server.data_center
                    for candidate in candidates.values()
                )
                for pool, candidates in self.pools.items()
            }
        )
        set_warm_up_limits(
            self.pools, self.fleet_state.tables, self.settings.bounds
        )
        for name in change.cooled:
            self.gossip.sender.pass_on_notice(name)
            self.log_admission(self.admissions.admissions[name])
        self.admissions.retain(self.fleet_state.servers)
        self.reach.own.retain(self.usable_server_counts())

    def evacuations_are_in_doubt(self) -> bool:
        """
        Return whether requests have to wait for the store's evacuations.

        That is so for a moment after the start and after a long pause.
        """
        guard = self.gossip.pause_guard
        now = self.vms.clock.monotonic()
        return self.fleet_state.evacuations.is_in_doubt(
            guard.resumed_at_latest(now)
        )

    def is_evacuated(self, candidate: Candidate) -> bool:
        """Return whether a server's data centre is evacuated."""
        data_center = candidate.registered.server.data_center
        return data_center in self.fleet_state.evacuated

    def learn(
        self,
        candidate: Candidate,
        statement: ServerStatement,
        kind: ResponseKind,
        elapsed_seconds: float,
    ) -> None:
        """
        Apply what a genuine response says of its server; log what is new.

        ``elapsed_seconds`` is the time since the response's request was sent.
        """
        now = self.admissions.clock.monotonic()
        admission = candidate.admission
        if statement.unreadable:
            self.counters.events['server_statement_unreadable'] += 1
            if self.unreadable_reports.admit(now):
                self.event_log.write(
                    LogEvent.SERVER_STATEMENT_UNREADABLE,
                    server=candidate.name,
                    fields=statement.unreadable,
                )
        changed = admission.learn(statement, kind, now - elapsed_seconds)
        self.admissions.update_active(admission)
        is_renewal = admission.notice.is_active and admission.renewals.admit(
            now
        )
        if changed or is_renewal:
            self.gossip.sender.pass_on_notice(candidate.name)
        if changed:
            self.log_admission(admission)

    def log_admission(self, admission: Admission) -> None:
        """Count and log what a server says of the requests that it wants."""
        now = self.admissions.clock.monotonic()
        notice = admission.notice
        age_ms = None
        # A server may have asked for a pause and said nothing else.
        if notice.is_heard:
            age_ms = round((now - notice.said_at) * _MILLISECONDS_PER_SECOND)
        self.counters.events['server_statement'] += 1
        self.event_log.write(
            LogEvent.SERVER_STATEMENT,
            server=notice.server,
            limit=notice.limit,
            leaving=notice.is_leaving,
            pause_seconds=round(max(0, admission.paused_until - now), 3),
            cold_seconds=round(admission.cold_seconds(), 3),
            source=notice.source or self.settings.name,
            age_ms=age_ms,
        )

    def log_ejection(
        self,
        candidate: Candidate,
        reason: str,
        now: float,
    ) -> None:
        """Count and log the ejection of a failing server."""
        self.counters.events['server_out'] += 1
        self.event_log.write(
            LogEvent.SERVER_OUT,
            server=candidate.name,
            pool=candidate.registered.pool,
            reason=reason,
            failures=candidate.stats.consecutive_failures,
            seconds=round(candidate.stats.ejected_until - now, 2),
        )

    def log_fault(self, where: str, error: BaseException | None) -> None:
        """Count and log an unexpected exception in the gateway's own code."""
        self.counters.events['fault'] += 1
        self.event_log.write(
            LogEvent.GATEWAY_FAULT,
            is_failure=True,
            where=where,
            reason=repr(error),
        )

    def usable_server_counts(self) -> dict[str, int]:
        """
        Return the number of servers of each pool that may get requests.

        Those that are leaving or evacuated aren't counted.
        """
        return {
            pool: sum(
                not candidate.registered.server.leaving
                and not candidate.admission.is_evacuated
                for candidate in candidates.values()
            )
            for pool, candidates in self.pools.items()
        }

    def retry_budget(self, pool: str) -> FleetRetryBudget:
        """Return a pool's budget for retries and hedged requests."""
        retry_budget = self.retry_budgets.get(pool)
        if retry_budget is None:
            bounds = self.settings.bounds
            retry_budget = FleetRetryBudget(
                bounds.retry_ratio,
                bounds.retry_fixed,
                bounds.retry_window_seconds,
                self.started_at,
            )
            self.retry_budgets[pool] = retry_budget
        return retry_budget

    def apply_bounds(self) -> None:
        """Apply changed bounds; what was already withdrawn stays counted."""
        bounds = self.settings.bounds
        set_warm_up_limits(self.pools, self.fleet_state.tables, bounds)
        for retry_budget in self.retry_budgets.values():
            retry_budget.ratio = bounds.retry_ratio
            retry_budget.fixed = bounds.retry_fixed
            retry_budget.window_seconds = bounds.retry_window_seconds
