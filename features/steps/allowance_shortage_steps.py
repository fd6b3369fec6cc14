"""Steps for the permits of a tenant that sends more than it may."""

import heapq
import itertools
from dataclasses import dataclass

from behave import given, then, when

from features.support.gateway import seeded_random
from zinniaturn.placing.token_bucket import TokenBucket
from zinniaturn.tenants.shortage import AllowanceShortage

_BURST = 4


@dataclass
class Demand:
    """The requests of a tenant, and how its callers return."""

    permits_per_second: float
    factor: float
    seconds: float
    returns: int = 0
    return_seconds: float = 0
    objective_seconds: float = 0


@dataclass
class Served:
    """How many requests got a permit, and how many of them in time."""

    sent: int = 0
    total: int = 0
    in_time: int = 0


def _play(demand, shortage):
    """Give out permits; without ``shortage``, to whoever comes first."""
    random_source = seeded_random()
    bucket = TokenBucket(demand.permits_per_second, _BURST, 0)
    served = Served()
    order = itertools.count()
    events = []
    rate = demand.permits_per_second * demand.factor
    now = random_source.expovariate(rate)
    while now < demand.seconds:
        heapq.heappush(events, (now, next(order), now, demand.returns))
        served.sent += 1
        now += random_source.expovariate(rate)
    while events:
        now, _, first_at, returns = heapq.heappop(events)
        is_late = now - first_at > demand.objective_seconds
        is_barred = shortage is not None and shortage.bars(
            is_late=is_late, now=now
        )
        if not is_barred and bucket.take(1, now):
            served.total += 1
            served.in_time += not is_late
            continue
        if shortage is not None and not is_late:
            shortage.note_refused(now)
        if returns:
            again_at = now + demand.return_seconds
            event = (again_at, next(order), first_at, returns - 1)
            heapq.heappush(events, event)
    return served


@given(
    'a tenant with {permits:g} permits a second that sends {factor:g} times '
    'as much for {seconds:g} s'
)
def build_demand(context, permits, factor, seconds):
    context.demand = Demand(permits, factor, seconds)


@given(
    'each refused request returns {count:d} times, {pause:g} s later each '
    'time, with an objective of {objective:g} s'
)
def set_returns(context, count, pause, objective):
    context.demand.returns = count
    context.demand.return_seconds = pause
    context.demand.objective_seconds = objective


@when('permits are given out as the gateway does')
def give_out(context):
    context.served = _play(context.demand, AllowanceShortage())
    context.served_in_order = _play(context.demand, None)


@then('at least {share:g} of the permits are used for requests in time')
def check_in_time(context, share):
    served = context.served
    assert served.in_time >= share * served.total, served


@then(
    'as many requests are served as with permits for whoever comes first, to '
    'within {share:g}'
)
def check_total(context, share):
    least = context.served_in_order.total * (1 - share)
    assert context.served.total >= least, (
        context.served,
        context.served_in_order,
    )


@then('every request is served')
def check_all_served(context):
    assert context.served.total == context.served.sent, context.served
