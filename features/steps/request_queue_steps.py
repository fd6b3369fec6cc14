"""Steps of the queue of requests that wait for a server."""

from behave import given, then, when

from features.support.gateway import (
    build_candidate,
    build_report,
)
from features.support.overload import OverloadSimulation
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue

_NOW = 100.0
_SERVICE_SECONDS = 0.1
_FAST_SECONDS = 0.12
_SLOW_SECONDS = 0.5


def _queue_request(context, name, **fields):
    """Queue a request that expects the latency of the offered server."""
    if not hasattr(context, 'queue'):
        context.queue = RequestQueue()
        context.ended = []
        context.requests = {}
    arrived = fields.get('arrived_at', _NOW)
    request = QueuedRequest(
        _SERVICE_SECONDS,
        arrived,
        fields.get('objective_at', arrived + 0.4),
        fields.get('deadline', arrived + 2),
        fields.get('priority', 2),
        lambda offer: context.offered_seconds,
        lambda: context.ended.append(name),
        fields.get('excluded', set()),
    )
    context.requests[name] = request
    context.queue.add(request)


def _offer(context, seconds, is_last_slot=False):
    context.offered_seconds = seconds
    offer = Offer(
        build_candidate('s-1'),
        build_report(),
        is_last_slot=is_last_slot,
    )
    context.taken = context.queue.match(offer, _NOW + 0.1)


@given('requests "{old}" and "{new}" that arrived 0.1 s apart')
def two_requests(context, old, new):
    _queue_request(context, old, arrived_at=_NOW)
    _queue_request(context, new, arrived_at=_NOW + 0.1)


@given('requests "{urgent}" of priority 1 and "{newer}" of priority 2')
def two_priorities(context, urgent, newer):
    _queue_request(context, urgent, priority=1)
    _queue_request(context, newer, arrived_at=_NOW + 0.1)


@given('requests "{late}" that is past its objective and "{new}"')
def late_and_new(context, late, new):
    _queue_request(context, late, arrived_at=_NOW - 1)
    _queue_request(context, new, arrived_at=_NOW + 0.1)


@given('a request "{name}"')
def one_request(context, name):
    _queue_request(context, name)


@given('a request "{name}" that has tried the server')
def tried_request(context, name):
    _queue_request(context, name, excluded={'s-1'})


@given('a request "{name}" that has been late for {seconds:g} s')
def late_request(context, name, seconds):
    _queue_request(
        context,
        name,
        arrived_at=_NOW - 1,
        objective_at=_NOW + 0.1 - seconds + _SERVICE_SECONDS,
        deadline=_NOW + 5,
    )


@given('a request "{name}" whose service time does not fit before its deadline')
def unservable_request(context, name):
    _queue_request(context, name, deadline=_NOW + 0.15)


@given(
    '{count:d} waiting requests, of which {urgent:d} are of a more urgent '
    'priority',
)
def many_requests(context, count, urgent):
    for number in range(count):
        priority = 1 if number < urgent else 2
        _queue_request(context, f'r-{number}', priority=priority)


@when('an idle server is offered')
def offer_idle(context):
    _offer(context, _FAST_SECONDS)


@when('the last slot of an idle server is offered')
def offer_last_slot(context):
    _offer(context, _FAST_SECONDS, is_last_slot=True)


@when('a slow server is offered')
def offer_slow(context):
    _offer(context, _SLOW_SECONDS)


@when('{count:d} rounds of offers pass without a fast server')
def pass_rounds(context, count):
    for _ in range(count):
        context.queue.note_offer_round(_NOW)


@when('the queue rejects what it cannot serve')
def reject_unservable(context):
    context.queue.reject_unservable(_NOW + 0.1)


@when('the queue rejects what it cannot serve, before any offer')
def reject_before_offer(context):
    context.queue.reject_unservable(_NOW + 0.1, had_offers=False)


@then('"{name}" still waits')
def check_waiting(context, name):
    assert context.requests[name] in context.queue.waiting


@then('"{name}" gets it')
def check_granted(context, name):
    assert context.taken
    assert context.ended == [name]
    assert context.requests[name].granted is not None


@then('"{name}" does not get it')
def check_not_granted(context, name):
    assert not context.taken
    assert context.requests[name].granted is None


@then('nobody gets it')
def check_nobody(context):
    assert not context.taken
    assert not context.ended


@then('"{name}" is rejected with a retry-after time')
def check_rejected(context, name):
    assert context.ended == [name]
    assert context.requests[name].retry_after_seconds > 0


@then('{count:d} requests wait and the {urgent:d} urgent ones are among them')
def check_excess(context, count, urgent):
    waiting = context.queue.waiting
    assert len(waiting) == count
    assert sum(request.priority == 1 for request in waiting) == urgent


@given(
    '{servers:d} servers of {slots:d} slots that serve at most {rate:d} '
    'requests per second',
)
def overloaded_servers(context, servers, slots, rate):
    service_seconds = servers * best_concurrency(slots) / rate
    context.best_rate = rate
    context.simulations = [
        OverloadSimulation(
            servers, slots, service_seconds, oldest_first=oldest_first
        )
        for oldest_first in (False, True)
    ]


@when('{rate:d} requests per second arrive for {seconds:d} s')
def run_overload(context, rate, seconds):
    context.seconds = seconds
    context.results = [
        simulation.run(rate, seconds) for simulation in context.simulations
    ]


@then('at least half of what could be served in time is')
def check_in_time(context):
    best = context.best_rate * context.seconds
    assert context.results[0].in_time >= best / 2, context.results


@then('no request is held past its deadline')
def check_held(context):
    assert context.results[0].held_past_deadline == 0, context.results


@then('at least twice as many are in time as with a first-in, first-out queue')
def check_better(context):
    newest, oldest = context.results
    assert newest.in_time >= 2 * oldest.in_time, context.results
