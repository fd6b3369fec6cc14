"""Steps of held requests: starts, the store, operators and explanations."""

import asyncio
import json

from behave import given, then, when

from features.support.command_line import run_command
from features.support.crashing_fleet import CrashingFleet
from features.support.cut_links import wait_until_acquainted
from features.support.deadly_play import (
    DEADLY_TARGET,
    PAUSE_SECONDS,
    SUCCESS,
    gateway_numbers,
    run,
)
from features.support.gateway import close_gateway, wait_until
from zinniaturn.explain.logs import explain_from_logs, read_rows
from zinniaturn.explain.queries import Subject, SubjectKind

_HOLD_PREFIX = 'zinniaturn/held/'
_METRICS_PORT = 19464


def _stored_holds(context):
    return [
        key
        for key in context.platform.store.keys
        if key.startswith(_HOLD_PREFIX)
    ]


@when('the store holds it')
def wait_for_store(context):
    run(context, wait_until(lambda: _stored_holds(context)))


@when('all gateways are killed and {count:d} others start')
def replace_all(context, count):
    async def replace():
        old = list(context.platform.gateways)
        for gateway in old:
            await close_gateway(gateway)
        for number in range(count):
            await context.platform.add_gateway(f'new-{number}')
        del context.platform.gateways[: len(old)]
        await wait_until_acquainted(context)

    run(context, replace())


@when('unreadable holds are written to the store')
def write_unreadable(context):
    crash = {'server': 's-1', 'started_ms': 1, 'ended_ms': 1, 'witnesses': []}
    contents = (
        'no record',
        {'key': 'no number', 'crashes': []},
        {'key': 'f' * 40, 'crashes': [crash]},
        {'key': '0' * 16, 'crashes': [{**crash, 'ended_ms': 10**300}]},
        {'key': '1' * 16, 'crashes': [{**crash, 'started_ms': None}]},
        {'key': '2' * 16, 'crashes': [{**crash, 'ended_ms': 10**400}]},
        {'key': '3' * 16, 'crashes': [{**crash, 'started_ms': 10**40}]},
        {'key': '4' * 16, 'crashes': [crash]},
    )
    for number, content in enumerate(contents):
        context.platform.store.write(f'{_HOLD_PREFIX}{number}', content)


@then('reads are served at each gateway')
def check_reads(context):
    async def send_all():
        for number in gateway_numbers(context):
            answer = await context.fleet.send(number)
            assert answer.status == SUCCESS, answer

    run(context, send_all())


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash, with metrics ports'
)
def start_with_metrics(context, gateways, servers, seconds):
    context.fleet = CrashingFleet(context, seconds)
    run(
        context,
        context.fleet.start(gateways, servers, metrics_port=_METRICS_PORT),
    )


def _metrics_address(context, number):
    gateway = context.platform.gateways[number]
    return f'{gateway.settings.host}:{_METRICS_PORT}'


def _list(context, number):
    result = run(
        context,
        run_command(
            'quarantine',
            'list',
            '--json',
            '--vm',
            _metrics_address(context, number),
        ),
    )
    assert not result.status, result
    return json.loads(result.output)


@when('the operator lists the held requests of the second VM')
def list_held(context):
    context.listed = _list(context, 1)


@then('the output names the request as held, with the servers that have ended')
def check_listed(context):
    held = [one for one in context.listed if one['is_held']]
    assert len(held) == 1, context.listed
    crashes = context.fleet.rule.crashes
    ended = {crash.server for crash in crashes}
    assert set(held[0]['servers']) <= ended, context.listed
    assert held[0]['crashes'] >= 3
    context.held_key = held[0]['key']


@when("the servers' fault is mended")
def mend(context):
    context.fleet.rule.most = 0


@when('the operator lifts the verdict by the third VM')
def lift(context):
    arguments = ('quarantine', 'lift', context.held_key)
    address = _metrics_address(context, 2)
    result = run(context, run_command(*arguments, '--vm', address))
    assert not result.status, result


@when('the operator lifts "{key}" by {vm}')
def lift_by(context, key, vm):
    address = _metrics_address(context, 0) if vm == 'the first VM' else vm
    context.result = run(
        context, run_command('quarantine', 'lift', key, '--vm', address)
    )


@then('the command\'s status is {status:d} and it prints "{text}"')
def check_result(context, status, text):
    assert context.result.status == status, context.result
    assert text in context.result.output + context.result.errors


@then('the deadly read is served at each gateway within {seconds:g} s')
def check_served(context, seconds):
    async def send_all():
        await asyncio.sleep(PAUSE_SECONDS * 2)
        for number in gateway_numbers(context):
            answer = await context.fleet.send(number, DEADLY_TARGET)
            assert answer.status == SUCCESS, answer
            assert answer.seconds < seconds, answer

    run(context, send_all())


@then("the operator's list becomes empty within {seconds:g} s")
def check_list_empty(context, seconds):
    for _ in range(round(seconds)):
        if not _list(context, 0):
            return
    raise AssertionError(_list(context, 0))


@then('the store holds nothing of it within {seconds:g} s')
def check_store_empty(context, seconds):
    run(context, wait_until(lambda: not _stored_holds(context), seconds))


@then(
    'explaining a rejected copy from the logs of all VMs names {count:d} '
    'servers that ended and the verdict'
)
def check_explained(context, count):
    rows = [
        json.dumps(row).encode()
        for gateway in context.platform.gateways
        for row in gateway.event_log.rows
    ]
    for answer in context.held_answers:
        lines = explain_from_logs(
            read_rows(rows), Subject(SubjectKind.REQUEST, answer.request_id)
        )
        text = ' '.join(line.sentence for line in lines)
        named = {
            crash.server
            for crash in context.fleet.rule.crashes
            if crash.server in text
        }
        assert len(named) >= count, text
        assert 'its copies are rejected' in text, text


@when('one more gateway starts')
def start_one_more(context):
    async def start():
        await context.platform.add_gateway('vm-more')
        await wait_until_acquainted(context)

    run(context, start())
