"""
Says where a request would go now, by the decisions that requests take.

Each step asks the object that decides for requests, in their order, by a method
that only reads or on a copy. So it probes no server, takes no permit, draws
nothing at random and changes no state; only records that have expired are
dropped, as at any look at them.

Work: a step for each server of the pool and each key of all tenants.
"""

__all__ = ('WhereQuery', 'decide_where')

import asyncio
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.fleet.server_owners import owner_of
from zinniaturn.fleet.tables import FleetPool, FleetRoute, FleetTables
from zinniaturn.gateway.dispatch import Dispatcher
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.stop_gate import STOP_RETRY_SECONDS
from zinniaturn.gateway.tenant_gate import TOO_OLD_RETRY_SECONDS
from zinniaturn.gateway.where_answer import (
    AllowanceView,
    WhereAnswer,
    WhereOutcome,
)
from zinniaturn.gateway.where_outcome import (
    Found,
    placed,
    rejected,
    unplaced,
)
from zinniaturn.gateway.where_servers import view_pool
from zinniaturn.http1.messages import Request
from zinniaturn.tenants import KeyRuling, Tenant

_MOST_AGE_SECONDS = 1e6
_KEY_REASONS = MappingProxyType(
    {
        KeyRuling.UNKNOWN_KEY: 'the route asks for the key of a known tenant',
        KeyRuling.TOO_OLD: 'the tables are too old to be sure of any key',
    }
)


@dataclass(frozen=True, slots=True)
class WhereQuery:
    """A request that is only described; ``tenant`` is a name, '' for none."""

    host: str
    path: str
    method: str = 'GET'
    data_center: str = ''
    tenant: str = ''


def decide_where(
    dispatcher: Dispatcher, query: WhereQuery
) -> WhereAnswer | None:
    """Return where a request would go, ``None`` without any tables."""
    tables = dispatcher.state.fleet_state.tables
    if tables is None:
        return None
    now = asyncio.get_running_loop().time()
    request = Request(
        query.method.encode('latin-1', 'replace'),
        query.path.encode('latin-1', 'replace'),
        [(b'Host', query.host.encode('latin-1', 'replace'))],
        b'',
        True,
        now,
    )
    route = dispatcher.find_route(request)
    if route is None:
        found = rejected('no-route', 'no route matches the request', None)
        return _answer(dispatcher, found)
    return _DryRun(dispatcher, tables, route, request, now).run(query)


@dataclass(slots=True)
class _DryRun:
    """One question about a request of a route."""

    dispatcher: Dispatcher
    tables: FleetTables
    route: FleetRoute
    request: Request
    now: float

    def run(self, query: WhereQuery) -> WhereAnswer:
        """Return the answer."""
        ruling, tenant = self._rule(query.tenant)
        context = self._context(tenant)
        scheduler = self.dispatcher.attempt_runner.scheduler
        survey = scheduler.search.permits.survey(context.pool)
        pool = view_pool(scheduler, context, survey, self.now)
        pool.is_drawn = self.dispatcher.pool_selector.peek(self.route) is None
        allowance = None if tenant is None else self._allowance(tenant)
        found = (
            self._refused_by_key(ruling)
            or self._refused_by_stop(context)
            or _refused_by_allowance(allowance)
            or unplaced(scheduler, context, survey, self.now)
            or placed(pool)
        )
        answer = _answer(self.dispatcher, _with_allowance(found, allowance))
        answer.route = self.route.name
        answer.is_key_required = ruling is not None
        answer.tenant = '' if tenant is None else tenant.name
        answer.priority = context.priority
        answer.allowance = allowance
        answer.pool = pool
        if ruling is not None:
            proof = self.dispatcher.state.fleet_state.proof
            answer.proof_age_seconds = _age(proof.age_seconds)
        return answer

    def _rule(self, name: str) -> tuple[KeyRuling | None, Tenant | None]:
        """Return the ruling on the tenant's keys, ``None`` if none is asked."""
        gate = self.dispatcher.tenant_gate
        tenants = gate.tenants_asked_on(self.route)
        if tenants is None:
            return None, None
        if not name:
            return KeyRuling.UNKNOWN_KEY, None
        return gate.rule_on(tenants.find_by_name(name))

    def _context(self, tenant: Tenant | None) -> RequestContext:
        name = self.dispatcher.pool_selector.peek(self.route)
        if name is None:
            name = max(self.route.shares, key=lambda share: share.weight).pool
        return RequestContext(
            self.request,
            '',
            self.route,
            self.tables.pools.get(name, FleetPool(name, ())),
            self.now,
            self.now + self.route.deadline_seconds,
            bool(self.route.idempotent),
            tenant=tenant,
        )

    def _refused_by_key(self, ruling: KeyRuling | None) -> Found | None:
        if ruling is None or ruling is KeyRuling.SERVE:
            return None
        is_too_old = ruling is KeyRuling.TOO_OLD
        seconds = TOO_OLD_RETRY_SECONDS if is_too_old else None
        return rejected(ruling.value, _KEY_REASONS[ruling], seconds)

    def _refused_by_stop(self, context: RequestContext) -> Found | None:
        if not self.dispatcher.stop_gate.is_closed_to(context):
            return None
        return rejected(
            'draining',
            'the process stops before the deadline of the request',
            STOP_RETRY_SECONDS,
        )

    def _allowance(self, tenant: Tenant) -> AllowanceView | None:
        """Return what is held of an allowance, ``None`` without one."""
        if not tenant.is_limited:
            return None
        state = self.dispatcher.state
        view = AllowanceView(
            tenant.requests_per_second, tenant.burst, 0, None, False, 0
        )
        gate = self.dispatcher.attempt_runner.allowances
        account = gate.accounts.find(tenant.name)
        if account is None:
            return view
        now = state.admissions.clock.monotonic()
        key = account.admission.notice.server
        blocked_until = state.gossip.permits.blocked_until.get(key, now)
        view.permits = account.admission.permits.held(now)
        view.owner = owner_of(state.vms, key)
        view.is_ownerless = state.gossip.permits.has_no_owner(account.admission)
        view.next_permit_seconds = round(max(0, blocked_until - now), 3)
        return view


def _refused_by_allowance(allowance: AllowanceView | None) -> Found | None:
    if allowance is None or allowance.permits:
        return None
    if allowance.is_ownerless or not allowance.next_permit_seconds:
        return None
    return rejected(
        'over-allowance',
        f'the owner, {allowance.owner}, has no permit before then',
        allowance.next_permit_seconds,
    )


def _with_allowance(found: Found, allowance: AllowanceView | None) -> Found:
    """Return what was found, also by the permit that has to be asked for."""
    if allowance is None or allowance.permits:
        return found
    if found.outcome is WhereOutcome.REJECTED:
        return found
    source = (
        'takes one of its own part, as no owner can be asked'
        if allowance.is_ownerless
        else 'asks its owner for one'
    )
    return Found(
        WhereOutcome.PERMIT_ASKED,
        f'this VM holds no permit of the allowance and {source}; with a '
        f'permit: {found.outcome.value}, {found.reason}',
        found.targets,
    )


def _answer(dispatcher: Dispatcher, found: Found) -> WhereAnswer:
    state = dispatcher.state
    return WhereAnswer(
        state.settings.name,
        state.settings.data_center,
        state.tables_revision(),
        _age(state.fleet_state.age_seconds),
        found.outcome.value,
        found.reason,
        list(found.targets),
        found.code,
        found.status,
        found.retry_after_seconds,
    )


def _age(seconds: float) -> float:
    return round(min(_MOST_AGE_SECONDS, seconds), 3)
