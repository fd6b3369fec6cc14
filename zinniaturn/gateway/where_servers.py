"""
Describes the servers of a pool by what the scheduler decides by, unchanged.

Work: a step for each server of the pool, and a sort of them; costs are
estimated for the servers that are named only.
"""

__all__ = ('DOUBTFUL', 'USABLE', 'view_pool')

import math
from collections import Counter
from dataclasses import dataclass, replace

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.gateway.offer_costs import OfferCosts
from zinniaturn.gateway.permit_search import PoolSurvey
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.scheduler import RequestScheduler
from zinniaturn.gateway.searching import offer_if_free
from zinniaturn.gateway.where_answer import (
    MOST_NAMED_SERVERS,
    LeavingView,
    PlaceCounts,
    PoolView,
    ReportAges,
    ServerView,
)
from zinniaturn.locality.table import LocalityTable
from zinniaturn.placing.candidates import (
    Candidate,
    rate_report,
    unavailability_rank,
)
from zinniaturn.placing.probe_order import ProbePlan
from zinniaturn.placing.request_queue import Offer

USABLE = 'usable'
_EJECTED = 'ejected'
_UNRESPONSIVE = 'unresponsive'
# Servers that come last.
DOUBTFUL = frozenset((_EJECTED, _UNRESPONSIVE))
_MS_PER_SECOND = 1000
_MOST_PLACES = 64
_MOST_SHARES = 32
# So that servers without room can't hide why others get no request.
_MOST_USABLE_FIRST = 24
_OTHER_PLACES = 'other'


@dataclass(slots=True)
class _Rated:
    """A server with its state and what its last report says."""

    candidate: Candidate
    state: str
    has_room: bool
    rank: tuple[bool, int, int, bool, int]


@dataclass(frozen=True, slots=True)
class _ServerDescriber:
    """Describes servers for one question asked at ``now``."""

    costs: OfferCosts
    context: RequestContext
    now: float

    def rate(self, candidate: Candidate, state: str) -> _Rated:
        """Return a server's place in the order; ``state`` is by the survey."""
        stats = candidate.stats
        report = stats.report
        is_excluded = state != USABLE
        unavailability = unavailability_rank(stats, self.now)
        if state == USABLE and unavailability:
            is_ejected = stats.ejected_until > self.now
            state = _EJECTED if is_ejected else _UNRESPONSIVE
        data_center = candidate.registered.server.data_center
        return _Rated(
            candidate,
            state,
            report is not None
            and offer_if_free(candidate, report, None) is not None,
            (
                is_excluded,
                unavailability,
                rate_report(candidate, self.now),
                data_center != self.costs.locality.data_center,
                0 if report is None else report.total,
            ),
        )

    def describe(self, rated: _Rated) -> ServerView:
        """Return a server's view."""
        candidate = rated.candidate
        stats = candidate.stats
        server = candidate.registered.server
        report = stats.report
        offer = Offer(candidate, report or LoadReport(0, 0, server.slots))
        expected = self.costs.expected_seconds(
            self._service_seconds(), offer, self.now
        )
        cost = self.costs.cost_seconds(offer, self.context, self.now)
        return ServerView(
            candidate.name,
            server.data_center,
            rated.state,
            self._seconds_left(rated),
            None if report is None else rated.has_room,
            None if report is None else report.busy,
            None if report is None else report.queued,
            None if report is None else report.slots,
            None if report is None else _ms(self.now - stats.reported_at),
            stats.in_flight,
            _ms(expected),
            _ms(cost),
            *self._distance(candidate),
            round(candidate.registered.warm_up_seconds, 3),
            candidate.admission.notice.limit,
            self._permits(candidate),
        )

    def _service_seconds(self) -> float:
        route = self.context.route
        return self.costs.service_times.service_seconds(
            route.name, route.objective_seconds
        )

    def _distance(self, candidate: Candidate) -> tuple[float, float]:
        """Return the milliseconds of the way, and what it costs beyond."""
        locality = self.costs.locality.pool(self.context.pool.name)
        if not locality.is_active:
            return 0, 0
        data_center = candidate.registered.server.data_center
        size = self.costs.locality.sizes.megabytes(self.context.route.name)
        return (
            _ms(locality.way_seconds(data_center, self.now)),
            _ms(locality.price_seconds(data_center, size, self.now)),
        )

    def _seconds_left(self, rated: _Rated) -> float:
        match rated.state:
            case 'ejected':
                until = rated.candidate.stats.ejected_until
                return round(until - self.now, 3)
            case 'pause':
                admission = rated.candidate.admission
                left = admission.paused_until - admission.clock.monotonic()
                return round(max(0, left), 3)
        return 0

    def _permits(self, candidate: Candidate) -> int:
        admission = candidate.admission
        if not admission.is_limited:
            return 0
        return admission.permits.held(admission.clock.monotonic())


def view_pool(
    scheduler: RequestScheduler,
    context: RequestContext,
    survey: PoolSurvey,
    now: float,
) -> PoolView:
    """Return what the scheduler knows of the pool of a request."""
    pool = context.pool
    describer = _ServerDescriber(
        _frozen_costs(scheduler.costs, pool.name), context, now
    )
    by_survey = _states_by_name(survey)
    candidates = scheduler.state.pools.get(pool.name, {})
    rated = [
        describer.rate(candidate, by_survey.get(name) or _unlisted(candidate))
        for name, candidate in candidates.items()
    ]
    rated.sort(key=lambda one: one.rank)
    named = sorted(
        ((one.rank[:3], describer.describe(one)) for one in _select(rated)),
        key=lambda pair: (pair[0], pair[1].cost_ms, pair[1].name),
    )
    queue = scheduler.queues.get(pool.name)
    return PoolView(
        pool.name,
        False,
        {
            share.pool: share.weight
            for share in context.route.shares[:_MOST_SHARES]
        },
        0 if queue is None else len(queue.waiting),
        pool.warm_up_per_second,
        dict(Counter(one.state for one in rated)),
        _count_places(rated),
        _report_ages(rated, now),
        _view_leaving(scheduler, context, now),
        [view for _, view in named],
    )


def _frozen_costs(costs: OfferCosts, pool: str) -> OfferCosts:
    """
    Return the estimates with a copy of what they know of data centres.

    Reading news of a data centre that has none creates an empty entry.
    """
    locality = costs.locality
    known = locality.pools.get(pool)
    pools = {}
    if known is not None:
        pools[pool] = replace(known, places=dict(known.places))
    copied = LocalityTable(
        locality.data_center, locality.weights, pools, locality.sizes
    )
    return OfferCosts(copied, costs.service_times)


def _states_by_name(survey: PoolSurvey) -> dict[str, str]:
    states = {candidate.name: USABLE for candidate in survey.usable}
    states.update((candidate.name, 'limit') for candidate in survey.limited)
    states.update(
        (candidate.name, reason.value) for candidate, reason in survey.withheld
    )
    return states


def _unlisted(candidate: Candidate) -> str:
    """Return why a server is not even surveyed."""
    is_leaving = candidate.registered.server.leaving
    return 'leaving' if is_leaving else 'replaced'


def _count_places(rated: list[_Rated]) -> dict[str, PlaceCounts]:
    places: dict[str, PlaceCounts] = {}
    for one in rated:
        name = one.candidate.registered.server.data_center
        if name not in places and len(places) >= _MOST_PLACES:
            name = _OTHER_PLACES
        counts = places.setdefault(name, PlaceCounts())
        is_usable = one.state == USABLE
        counts.servers += 1
        counts.usable += is_usable
        counts.with_room += is_usable and one.has_room
    return places


def _report_ages(rated: list[_Rated], now: float) -> ReportAges:
    times = [
        one.candidate.stats.reported_at
        for one in rated
        if one.candidate.stats.report is not None
    ]
    return ReportAges(
        len(rated),
        len(rated) - len(times),
        _ms(now - max(times)) if times else None,
        _ms(now - min(times)) if times else None,
    )


def _view_leaving(
    scheduler: RequestScheduler, context: RequestContext, now: float
) -> LeavingView:
    """Return the state of the decision on leaving the data centre."""
    search = scheduler.search
    plan = ProbePlan.for_rate(scheduler.state.own_request_rate())
    outlook = search.local.peek(
        context.pool.name,
        plan.round_sizes[0],
        scheduler.state.locality.sizes.megabytes(context.route.name),
        now,
    )
    if outlook is None:
        return LeavingView(False, {}, {})
    starts = {
        start: round(share, 3) for start, share in outlook.starts().items()
    }
    return LeavingView(True, starts, dict(outlook.inputs))


def _select(rated: list[_Rated]) -> list[_Rated]:
    """Return the servers to name; both usable and excluded ones."""
    usable = [one for one in rated if one.state == USABLE]
    others = [one for one in rated if one.state != USABLE]
    room_for_others = MOST_NAMED_SERVERS - min(len(usable), _MOST_USABLE_FIRST)
    named_others = others[:room_for_others]
    return [
        *usable[: MOST_NAMED_SERVERS - len(named_others)],
        *named_others,
    ]


def _ms(seconds: float) -> float:
    if not math.isfinite(seconds):
        return 0
    return round(seconds * _MS_PER_SECOND, 2)
