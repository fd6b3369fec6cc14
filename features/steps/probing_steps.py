"""Steps for which servers are probed and how many."""

from behave import given, then, when

from features.support.gateway import (
    build_candidate,
    build_report,
    seeded_random,
)
from features.support.noisy_burst import NoisyBurst
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.vms import VmTable
from zinniaturn.placing.demand import probe_share
from zinniaturn.placing.probe_budget import ProbeBudgets
from zinniaturn.placing.probe_order import ProbeEffort, ProbeOrder, ProbePlan
from zinniaturn.placing.unprobed import is_mostly_full, unprobed_servers

_NOW = 100.0
_PROBES_PER_SECOND = 40.0


@given('an idle server was offered a moment ago')
def offer_before(context):
    context.queue.contention.note_fast_server(_NOW)


@given('a request that can be in time has had to wait')
def wait_before(context):
    context.queue.contention.note_unserved(_NOW)


@given(
    '{servers:d} servers of 3 slots, each slow at times, and {rate:d} requests '
    'per second',
)
def noisy_servers(context, servers, rate):
    context.burst = NoisyBurst(servers, 0.18, rate)


@when('{factor:d} times as many arrive for {seconds:d} s')
def run_burst(context, factor, seconds):
    context.burst_ends = 1 + seconds
    context.burst.run(factor, context.burst_ends, context.burst_ends + 15)


@then('nine tenths of those that arrive {seconds:d} s later are in time')
def check_recovered(context, seconds):
    begin = context.burst_ends + seconds
    share = context.burst.share_in_time(begin, begin + 8)
    assert share >= 0.9, share


@given('a budget that holds the probes of {seconds:f} s')
def filled_budget(context, seconds):
    context.budgets = ProbeBudgets(_NOW)
    context.budgets.refill(_PROBES_PER_SECOND, {'pool': 1}, _NOW)
    for budget in (context.budgets.overall, context.budgets.pools['pool']):
        budget.tokens = budget.per_second * seconds


@then('a request may probe in rounds of {sizes}')
def check_rounds(context, sizes):
    candidates = [build_candidate(f's-{number}') for number in range(20)]
    order = ProbeOrder(seeded_random(), 'vm-1', 'dc-a').order(candidates, _NOW)
    rounds = ProbeOrder(seeded_random(), 'vm-1', 'dc-a').rounds(
        order,
        context.budgets.probe_effort('pool'),
    )
    assert [len(group) for group in rounds] == [
        int(size) for size in sizes.split(',')
    ]


@given(
    '{count:d} servers of which {room:d} had room, {full:d} were full and '
    '{slow:d} were slow',
)
def reported_servers(context, count, room, full, slow):
    reports = [build_report(0, slots=4) for _ in range(room)]
    reports += [build_report(3, slots=4) for _ in range(full)]
    reports += [build_report(slots=4, slowness=4.0) for _ in range(slow)]
    context.candidates = [
        build_candidate(f's-{number}') for number in range(count)
    ]
    for candidate, report in zip(context.candidates, reports, strict=False):
        candidate.stats.note_report(report, _NOW - 0.05)
    context.room = {free.name for free in context.candidates[:room]}
    context.poor = {
        loaded.name for loaded in context.candidates[room : len(reports)]
    }


@then(
    'the {count:d} with room are probed first and the full and slow ones last'
)
def check_rated_order(context, count):
    for seed in range(20):
        probe_order = ProbeOrder(
            seeded_random(seed), 'vm-1', 'dc-a', ProbePlan((3, 3, 6), 8)
        )
        order = probe_order.order(context.candidates, _NOW)
        names = [candidate.name for candidate in order]
        assert set(names[:count]) == context.room, names
        assert set(names[-len(context.poor) :]) == context.poor, names


@given(
    '{count:d} servers of which {full:d} reported a moment ago that they are '
    'full and {free:d} that they are free'
)
def reporting_servers(context, count, full, free):
    context.candidates = [
        build_candidate(f's-{number}') for number in range(count)
    ]
    reports = [build_report(busy=4) for _ in range(full)]
    reports.extend(build_report() for _ in range(free))
    for candidate, report in zip(context.candidates, reports, strict=False):
        candidate.stats.note_report(report, _NOW - 0.5)


@when(
    'this VM has a request at {busy:d} of them and an unanswered probe of '
    '{silent:d} more'
)
def use_servers(context, busy, silent):
    for candidate in context.candidates[:busy]:
        candidate.stats.begin()
    for candidate in context.candidates[busy : busy + silent]:
        candidate.stats.note_unanswered()


@then('a request is sent to {count:d} of them without a probe')
def check_unprobed(context, count):
    chosen = []
    if not is_mostly_full(context.candidates, _NOW):
        chosen = unprobed_servers(context.candidates, _NOW)
    assert len(chosen) == count, chosen


@then('before any load is known their shares of the probes add up to 1')
def check_capacity_shares(context):
    tables = []
    for own in context.records:
        table = VmTable(own, ManualClock(_NOW))
        table.update_records(context.records)
        tables.append(table)
    context.shares = {table.own.name: probe_share(table, 0) for table in tables}
    assert abs(sum(context.shares.values()) - 1) < 1e-6, context.shares


@then('a large VM has the share of at least {count:d} small ones')
def check_large_share(context, count):
    shares = sorted(context.shares.values())
    assert shares[-1] >= shares[0] * count


@when('the VM gets {rate:g} requests per second')
def set_rate(context, rate):
    context.plan = ProbePlan.for_rate(rate)


@then('it probes {first:d} server at first and {all_rounds:d} at most')
@then('it probes {first:d} servers at first and {all_rounds:d} at most')
def check_planned_rounds(context, first, all_rounds):
    probe_order = ProbeOrder(seeded_random(), 'vm-1', 'dc-a', context.plan)
    order = probe_order.order(context.candidates, _NOW)
    rounds = probe_order.rounds(order, ProbeEffort.ALL_ROUNDS)
    assert len(rounds[0]) == first
    assert sum(map(len, rounds)) == all_rounds


@then('{requests:d} requests begin with {most:d} different servers at most')
def check_first_servers(context, requests, most):
    probed = set()
    for seed in range(requests):
        probe_order = ProbeOrder(
            seeded_random(seed), 'vm-1', 'dc-a', context.plan
        )
        order = probe_order.order(context.candidates, _NOW)
        first_round = probe_order.rounds(order, ProbeEffort.FIRST_ROUND)[0]
        probed.update(candidate.name for candidate in first_round)
    assert len(probed) <= most, probed


@when('{count:d} more requests are sent to it')
def send_more(context, count):
    for _ in range(count):
        context.stats.begin()


@when('it reports again')
def report_again(context):
    context.stats.note_report(build_report(), _NOW)


@then('{count:d} of them count as sent since the report')
def check_sent(context, count):
    assert context.stats.sent_since_report == count
