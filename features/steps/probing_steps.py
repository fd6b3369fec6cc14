"""Steps for which servers are probed and how many."""

from behave import given, then, when

from features.support.gateway import (
    build_candidate,
    build_report,
    seeded_random,
)
from features.support.noisy_burst import NoisyBurst
from zinniaturn.placing.probing import ProbeBudgets, ProbeOrder

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
        order = ProbeOrder(
            seeded_random(seed), 'vm-1', 'dc-a', (3, 3, 6)
        ).order(
            context.candidates,
            _NOW,
        )
        names = [candidate.name for candidate in order]
        assert set(names[:count]) == context.room, names
        assert set(names[-len(context.poor) :]) == context.poor, names
