"""Steps of requests that crash the servers that run them."""

import asyncio
import itertools

from behave import given, then, when

from features.support.crashing_fleet import CrashingFleet
from features.support.deadly_play import (
    DEADLY_TARGET,
    LONGEST_TRIES,
    PAUSE_SECONDS,
    SUCCESS,
    gateway_numbers,
    is_held,
    run,
    send_until_held,
)
from features.support.gateway import build_config, build_route_row

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash'
)
def start_fleet(context, gateways, servers, seconds, **rule):
    context.fleet = CrashingFleet(context, seconds, **rule)
    run(context, context.fleet.start(gateways, servers))


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash, two crashes in all'
)
def start_mended(context, gateways, servers, seconds):
    start_fleet(context, gateways, servers, seconds, most=2)


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash, each second run'
)
def start_each_second(context, gateways, servers, seconds):
    start_fleet(context, gateways, servers, seconds, every=2)


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash, routes of kind "{kind}"'
)
def start_kind(context, gateways, servers, seconds, kind):
    context.fleet = CrashingFleet(context, seconds)
    config = build_config([build_route_row('reads', '/reads/', kind)])
    run(context, context.fleet.start(gateways, servers, config))
    context.is_repeatable = kind != 'non_idempotent'


@when(
    'a deadly read comes each {pause:g} s for {seconds:g} s, beside {rate:d} '
    'reads a second'
)
def play(context, pause, seconds, rate):
    async def both():
        await asyncio.gather(
            context.fleet.stream(1 / pause, seconds, target=DEADLY_TARGET),
            context.fleet.stream(rate, seconds),
        )

    run(context, both())


@then(
    'the deadly request reached servers at most {most:d} times later than '
    '{contact:g} s after its third crash'
)
def check_rule(context, most, contact):
    crashes = sorted(crash.at for crash in context.fleet.rule.crashes)
    if len(crashes) < 3:
        return
    late = [
        at for _, at in context.fleet.rule.runs if at > crashes[2] + contact
    ]
    assert len(late) <= most, (len(late), len(crashes))


@then('it crashed at most {most:d} servers')
def check_crashes(context, most):
    assert len(context.fleet.rule.crashes) <= most, len(
        context.fleet.rule.crashes
    )


@then('at least {share:g} of the other requests were served')
def check_others(context, share):
    others = [one for one in context.fleet.answers if not one.is_deadly]
    served = sum(one.status == SUCCESS for one in others)
    assert served >= share * len(others), (
        served,
        len(others),
        [one for one in others if one.status != SUCCESS][:5],
    )


@when('the deadly request comes until it is held')
def hold(context):
    run(context, send_until_held(context, gateway_numbers(context)))


@when('the first gateway alone gets the deadly read until it is held')
def hold_at_one(context):
    run(context, send_until_held(context, [0]))


@when('the deadly request comes {count:d} times to each gateway')
def send_held(context, count):
    async def send_all():
        # What one VM holds the others hold a moment later.
        await asyncio.sleep(PAUSE_SECONDS * 2)
        sends = [
            context.fleet.send(number, DEADLY_TARGET)
            for number in gateway_numbers(context)
            for _ in range(count)
        ]
        context.held_answers = await asyncio.gather(*sends)

    run(context, send_all())


@then(
    'each of these was rejected as held, not run, within {seconds:g} s and '
    'with a time to return'
)
def check_rejected(context, seconds):
    assert context.held_answers
    for answer in context.held_answers:
        assert is_held(answer), answer
        assert not context.fleet.runs(answer), answer
        assert answer.seconds < seconds, answer
        assert float(answer.fields['retry-after']) > 1, answer


@then(
    'no request was told not to have run that did, and non-idempotent ones '
    'ran once at most'
)
def check_truth(context):
    for answer in context.fleet.answers:
        runs = context.fleet.runs(answer)
        assert not (runs and answer.status in _NOT_RUN_STATUSES), answer
        assert context.is_repeatable or runs <= 1, answer


@when(
    '{count:d} deadly reads come by turns, {rate:d} a second for '
    '{seconds:g} s, beside {reads:d} reads a second'
)
def play_many(context, count, rate, seconds, reads):
    targets = itertools.cycle(
        [f'{DEADLY_TARGET}-{number}' for number in range(count)]
    )

    async def both():
        await asyncio.gather(
            context.fleet.stream(rate, seconds, targets=targets),
            context.fleet.stream(reads, seconds),
        )

    run(context, both())


@then(
    'each deadly read reached servers at most {most:d} times later than '
    '{contact:g} s after its third crash'
)
def check_each_rule(context, most, contact):
    rule = context.fleet.rule
    assert rule.crashes
    for target in rule.counts:
        crashes = sorted(
            crash.at for crash in rule.crashes if crash.target == target
        )
        if len(crashes) < 3:
            continue
        late = [
            at
            for run, at in rule.runs
            if run == target and at > crashes[2] + contact
        ]
        assert len(late) <= most, (target, len(late), len(crashes))


@then('no other request was rejected as held')
def check_innocents(context):
    others = [one for one in context.fleet.answers if not one.is_deadly]
    assert others
    assert not any(map(is_held, others))


@then('no request was rejected as held')
def check_nothing_held(context):
    assert not any(map(is_held, context.fleet.answers))


@then('the callers of the other requests are all served again')
def check_served_again(context):
    async def all_served():
        answers = await context.fleet.stream(20, 1)
        return all(one.status == SUCCESS for one in answers)

    async def wait_until_served():
        for _ in range(LONGEST_TRIES // 10):
            if await all_served():
                return
        raise AssertionError(context.fleet.answers[-20:])

    run(context, wait_until_served())


@then('the last deadly read was served')
def check_last(context):
    last = [one for one in context.fleet.answers if one.is_deadly][-1]
    assert last.status == SUCCESS, last


@when('all {count:d} servers crash, by deadly reads that come at once')
def crash_all(context, count):
    rule = context.fleet.rule

    async def crash():
        for number in itertools.count():
            if len(rule.ended) >= count:
                return
            await asyncio.gather(
                *(
                    context.fleet.send(0, f'{DEADLY_TARGET}-{number}-{one}')
                    for one in range(count)
                )
            )

    run(context, crash())


@then('{count:d} reads are served within {seconds:g} s each')
def check_reads_fast(context, count, seconds):
    answers = run(context, context.fleet.stream(count, 1))
    assert all(one.status == SUCCESS for one in answers), answers
    assert all(one.seconds < seconds for one in answers), answers


@when('the servers have had {seconds:g} s to start again')
def wait_for_servers(context, seconds):
    run(context, asyncio.sleep(seconds))
