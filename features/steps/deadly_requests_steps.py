"""Steps of requests that crash the servers that run them."""

import asyncio

from behave import given, then, when

from features.support.crashing_fleet import CrashingFleet

_SUCCESS = 200
_DEADLY_TARGET = '/reads/deadly'


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash'
)
def start_fleet(context, gateways, servers, seconds):
    context.fleet = CrashingFleet(context, seconds)
    _run(context, context.fleet.start(gateways, servers))


@when(
    'a deadly read comes each {pause:g} s for {seconds:g} s, beside {rate:d} '
    'reads a second'
)
def play(context, pause, seconds, rate):
    async def both():
        await asyncio.gather(
            context.fleet.stream(1 / pause, seconds, target=_DEADLY_TARGET),
            context.fleet.stream(rate, seconds),
        )

    _run(context, both())


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
    served = sum(one.status == _SUCCESS for one in others)
    assert served >= share * len(others), (
        served,
        len(others),
        [one for one in others if one.status != _SUCCESS][:5],
    )
