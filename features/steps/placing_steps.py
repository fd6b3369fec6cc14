"""Steps for placing requests on backend servers."""

from behave import given, then, when

from features.support.gateway import (
    build_candidate,
    build_record,
    build_report,
    hear,
    seeded_random,
)
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.poll_schedule import PollSchedule
from zinniaturn.fleet.tables import FleetRoute, PoolShare
from zinniaturn.fleet.vms import VmTable, serving_vms
from zinniaturn.placing.hedging import hedge_delay
from zinniaturn.placing.latency_estimates import (
    ServiceTimeEstimates,
    best_concurrency,
    expected_seconds,
)
from zinniaturn.placing.pool_selection import PoolSelector
from zinniaturn.placing.probe_budget import ProbeBudget, ProbeBudgets
from zinniaturn.placing.probe_order import ProbeOrder
from zinniaturn.placing.retry_budget import FleetRetryBudget

_NOW = 100.0
_SERVICE_SECONDS = 0.1
_FAST_SECONDS = 0.12
_SLOW_SECONDS = 0.5


@then('the best concurrency of {slots:d} slots is {best:d}')
def check_concurrency(context, slots, best):
    assert best_concurrency(slots) == best


@given('a server that reported {busy:d} of {slots:d} busy a moment ago')
def reported_server(context, busy, slots):
    context.stats = build_candidate().stats
    context.report = build_report(busy, slots=slots)
    context.stats.note_report(context.report, _NOW)
    context.before = _expected(context, _NOW)


def _expected(context, now):
    return expected_seconds(
        _SERVICE_SECONDS,
        context.report,
        context.stats,
        now,
    )


@when('{count:d} requests are sent to it')
def send_requests(context, count):
    for _ in range(count):
        context.stats.begin()


@when('a request to it fails')
def fail_request(context):
    context.stats.note_failure(_NOW)


@when('requests to it fail repeatedly')
def fail_repeatedly(context):
    context.ejection_seconds = []
    now = _NOW
    for _ in range(40):
        if context.stats.note_failure(now):
            context.ejection_seconds.append(context.stats.ejected_until - now)
            now = context.stats.ejected_until
        now += 0.01


@when('{count:d} responses take {ratio:g} times as long as expected')
def slow_responses(context, count, ratio):
    for _ in range(count):
        context.stats.note_success(
            context.before * ratio,
            context.before,
            _NOW,
        )


@then('it is expected to take longer than before')
def check_longer(context):
    assert _expected(context, _NOW) > context.before * 1.2


@then('after {seconds:g} s it is expected to take as long as before')
def check_decayed(context, seconds):
    assert abs(_expected(context, _NOW + seconds) - context.before) < 1e-9


@then('it is expected to take at least {ratio:g} times as long')
def check_slower(context, ratio):
    assert _expected(context, _NOW) >= context.before * ratio


@then('it is ejected for 1 s, 2 s, 4 s, 8 s and 8 s')
def check_ejections(context):
    rounded = [round(seconds, 3) for seconds in context.ejection_seconds[:5]]
    assert rounded == [1, 2, 4, 8, 8]


@given(
    '{vms:d} VMs with a retry budget of {ratio:g} of the requests and '
    '{fixed:d} more in any 10 s',
)
def retry_budgets(context, vms, ratio, fixed):
    context.ratio = ratio
    context.fixed = fixed
    context.retry_budgets = [
        FleetRetryBudget(ratio, fixed, 10, started_at=-20) for _ in range(vms)
    ]


@when(
    'each sends {rate:d} requests a second for {seconds:d} s and wants to '
    'retry them all',
)
def use_retry_budgets(context, rate, seconds):
    context.retried_at = []
    context.rate = rate
    vms = len(context.retry_budgets)
    for step in range(rate * seconds):
        now = step / rate
        for budget in context.retry_budgets:
            budget.note_request(now)
            if budget.try_withdraw(now, vms):
                context.retried_at.append(now)


@then("no window of 10 s has more retries than the fleet's budget")
def check_windows(context):
    vms = len(context.retry_budgets)
    for start in context.retried_at:
        window = [time for time in context.retried_at if 0 <= time - start < 10]
        requests = context.rate * vms * min(10, start + 10)
        assert len(window) <= context.ratio * requests + context.fixed


@then('most of the budget is used')
def check_used(context):
    last = [time for time in context.retried_at if 40 <= time < 50]
    requests = context.rate * len(context.retry_budgets) * 10
    allowed = context.ratio * requests + context.fixed
    assert len(last) > allowed * 0.7


@when('a VM that started a moment ago wants to retry its first request')
def start_fresh(context):
    fresh = FleetRetryBudget(context.ratio, context.fixed, 10, started_at=_NOW)
    fresh.note_request(_NOW + 0.1)
    context.is_allowed = fresh.try_withdraw(
        _NOW + 0.2, len(context.retry_budgets)
    )


@then('its budget does not allow it')
def check_not_allowed(context):
    assert not context.is_allowed


@given('a budget of {rate:d} probes per second')
def probe_budget(context, rate):
    context.budget = ProbeBudget(updated_at=0)
    context.rate = rate


@when('{count:d} probes are requested every {step:g} s for {seconds:d} s')
def probe_often(context, count, step, seconds):
    context.sent = 0
    for number in range(int(seconds / step)):
        context.budget.refill(context.rate, number * step)
        if context.budget.take(count):
            context.sent += count
    context.seconds = seconds


@then('at most {rate:d} per second and those of {burst:d} s more are sent')
def check_sent(context, rate, burst):
    assert context.sent <= rate * (context.seconds + burst)
    assert context.sent >= rate * context.seconds * 0.9


@then(
    'with {service:g} s of service time, {expected:g} s expected and '
    '{left:g} s left the hedge is due in {delay:g} s',
)
def check_delay(context, service, expected, left, delay):
    assert abs(hedge_delay(service, expected, left) - delay) < 1e-9


@given('a route that splits its requests {large:d} to {small:d}')
def split_route(context, large, small):
    shares = (PoolShare('large', large), PoolShare('small', small))
    context.route = FleetRoute('r', '', shares=shares)
    context.weight = small / (large + small)
    context.selectors = [
        PoolSelector(seeded_random(number)) for number in range(13)
    ]


@when('{vms:d} VMs route {count:d} requests each')
def route_requests(context, vms, count):
    context.pools = [
        selector.select(context.route)
        for selector in context.selectors[:vms]
        for _ in range(count)
    ]


@then('the small share is within {bound:g} of its weight')
def check_share(context, bound):
    share = context.pools.count('small') / len(context.pools)
    assert abs(share - context.weight) <= bound, share


@when('its requests go to one pool only')
def change_route(context):
    route_requests(context, 13, 3)
    context.route = FleetRoute('r', 'large')
    route_requests(context, 13, 10)


@then('all requests go to that pool')
def check_one_pool(context):
    assert set(context.pools) == {'large'}


@given(
    '{count:d} servers of which {ejected:d} are ejected and 1 does not answer'
)
def mixed_servers(context, count, ejected):
    context.candidates = [
        build_candidate(f's-{number}') for number in range(count)
    ]
    for candidate in context.candidates[:ejected]:
        candidate.stats.ejected_until = _NOW + 1
    context.candidates[ejected].stats.unanswered = 3
    context.good = {usable.name for usable in context.candidates[ejected + 1 :]}


@then('the first {count:d} to probe are the others')
def check_order(context, count):
    for seed in range(20):
        probe_order = ProbeOrder(seeded_random(seed), 'vm-1', 'dc-a')
        order = probe_order.order(context.candidates, _NOW)
        assert {candidate.name for candidate in order[:count]} <= context.good


@given('{count:d} VMs that hear each other')
def connected_vms(context, count):
    clock = ManualClock(_NOW)
    records = [
        build_record(f'vm-{number}', number=number + 1)
        for number in range(count)
    ]
    context.tables = [VmTable(record, clock) for record in records]
    for table in context.tables:
        for record in records:
            hear(table, record)


@then('their ranks are 0 to {last:d}, each once')
def check_ranks(context, last):
    ranks = sorted(table.rank() for table in context.tables)
    assert ranks == list(range(last + 1))


@then('the state age at which they read grows with their rank up to {most:g} s')
def check_ages(context, most):
    pacing = PollSchedule(seeded_random(), jitter_seconds=0)
    ages = [pacing.poll_age_seconds(rank) for rank in range(5)]
    assert ages == sorted(ages)
    assert ages[0] < ages[1]
    assert ages[-1] <= most


@given('a VM that heard "b" ready and "c" stopping, and not "d"')
def vm_with_peers(context):
    context.clock = ManualClock(_NOW)
    context.records = {
        name: build_record(name, number=number)
        for number, name in enumerate('abcd', start=1)
    }
    context.vms = VmTable(context.records['a'], context.clock)
    context.vms.update_records(context.records.values())
    hear(context.vms, context.records['b'], version=5)
    hear(context.vms, context.records['c'], VmStage.STOPPING, version=5)


@when('"{name}" is declared dead')
def declare_dead(context, name):
    assert context.vms.declare_dead(name)


@when('a late message says that "{name}" was ready before')
def receive_late_ready(context, name):
    hear(context.vms, context.records[name], version=4)


@when('"{name}" restarts and sends a message that it is ready')
def restart_ready(context, name):
    hear(context.vms, context.records[name], version=6)


def _check_returned(context, *names):
    returned = {
        record.name for record in serving_vms(context.vms, own_is_ready=True)
    }
    assert returned == set(names), returned


@given('a VM that heard none of the listed VMs "b", "c" and "d"')
def unheard_vms(context):
    context.clock = ManualClock(_NOW)
    records = [
        build_record(name, number=number)
        for number, name in enumerate('abcd', start=1)
    ]
    context.vms = VmTable(records[0], context.clock)
    context.vms.update_records(records)


@then('a look-up returns it alone')
def check_one_returned(context):
    _check_returned(context, 'a')


@then('a look-up returns it and all of these')
def check_all_returned(context):
    _check_returned(context, 'a', 'b', 'c', 'd')


@then('a look-up returns itself and "{other}"')
def check_two_returned(context, other):
    _check_returned(context, 'a', other)


@then('a look-up returns itself, "{second}" and "{third}"')
def check_three_returned(context, second, third):
    _check_returned(context, 'a', second, third)


@given("{near:d} servers in the VM's own data centre and {far:d} in another")
def near_and_far(context, near, far):
    context.candidates = [
        build_candidate(f'near-{number}', data_center='dc-a')
        for number in range(near)
    ]
    context.candidates.extend(
        build_candidate(f'far-{number}', data_center='dc-b')
        for number in range(far)
    )


@then(
    'the first {count:d} to probe are always of the same {most:d} near ones',
)
def check_near(context, count, most):
    probed = set()
    for seed in range(40):
        probe_order = ProbeOrder(seeded_random(seed), 'vm-1', 'dc-a')
        order = probe_order.order(context.candidates, _NOW)
        probed.update(candidate.name for candidate in order[:count])
    assert len(probed) == most
    assert all(name.startswith('near-') for name in probed)


@given('the probe budgets of a VM that started a moment ago')
def fresh_budgets(context):
    context.budgets = ProbeBudgets(_NOW)
    context.budgets.refill(4, {'pool': 14}, _NOW + 0.05)


@then('it may send {count:d} probes at once')
def check_may_probe(context, count):
    assert context.budgets.take('pool', count)


@given('the probe budgets of a VM with {rate:d} probes per second per server')
def budgets(context, rate):
    context.rate = rate


@when(
    'pool "{pool}" of {servers:d} servers wants {wanted:d} probes per second '
    'for {seconds:d} s beside a quiet pool of {quiet:d} servers',
)
def probe_busily(context, pool, servers, wanted, seconds, quiet):
    budgets = ProbeBudgets(0)
    sizes = {pool: servers, 'quiet': quiet}
    sent = 0
    for step in range(wanted * seconds):
        now = step / wanted
        budgets.refill(context.rate, sizes, now)
        # The first half, which uses the initial tokens, is not counted.
        sent += budgets.take(pool, 1) and now > seconds / 2
    context.sent_per_second = sent / (seconds / 2)


@then('it sends {rate:d} per second')
def check_probe_rate(context, rate):
    assert abs(context.sent_per_second - rate) < rate * 0.03


@when(
    'a late message of the previous process of "{name}" says that it is '
    'stopping',
)
def send_stopping_late(context, name):
    hear(context.vms, context.records[name], VmStage.STOPPING, version=5)


@when('its VM reports {ratio:g} times the usual slowness')
def report_slowness(context, ratio):
    context.report = build_report(slowness=ratio)
    context.stats.note_report(context.report, _NOW)


@then('it is expected to take {ratio:g} times as long')
def check_ratio(context, ratio):
    assert abs(_expected(context, _NOW) - context.before * ratio) < 1e-9


@given('a route without any estimate and with an objective of {objective:g} s')
def unestimated_route(context, objective):
    context.estimates = ServiceTimeEstimates()
    context.objective = objective


@when('{count:d} of its requests take {seconds:g} s each')
@when('{count:d} more of its requests take {seconds:g} s each')
def update_estimate(context, count, seconds):
    for _ in range(count):
        expected = context.estimates.service_seconds('r', context.objective)
        context.estimates.update(
            'r', context.objective, seconds, expected, expected
        )


@when('{count:d} of its requests at a time take {seconds:g} s each')
def update_estimate_at_once(context, count, seconds):
    expected = context.estimates.service_seconds('r', context.objective)
    for _ in range(count):
        context.estimates.update(
            'r', context.objective, seconds, expected, expected
        )


@then('its estimate is at most {seconds:g} s')
def check_estimate(context, seconds):
    estimate = context.estimates.service_seconds('r', context.objective)
    assert estimate <= seconds, estimate


@when('its estimate rejects a request')
def bar_request(context):
    context.estimates.note_barred('r', _NOW)


@then('{seconds:g} s later a request is placed by {expected:g} s')
def check_placed_by(context, seconds, expected):
    placed_by = context.estimates.seconds_to_place_by(
        'r', context.objective, _NOW + seconds
    )
    assert abs(placed_by - expected) < 1e-9, placed_by


@then('{seconds:g} s later a request is placed by its estimate')
def check_placed_by_estimate(context, seconds):
    estimate = context.estimates.service_seconds('r', context.objective)
    check_placed_by(context, seconds, estimate)


@when('a request that was placed by {placed_by:g} s takes {seconds:g} s')
def update_by_trial(context, placed_by, seconds):
    context.estimates.update(
        'r', context.objective, seconds, placed_by, placed_by
    )


@then('its estimate is not settled and under {seconds:g} s')
def check_unsettled(context, seconds):
    assert not context.estimates.is_settled('r')
    estimate = context.estimates.service_seconds('r', context.objective)
    assert 0 < estimate < seconds, estimate


@then('its estimate is settled')
def check_settled(context):
    assert context.estimates.is_settled('r')
