"""Steps of requests that crash the servers that run them."""

import asyncio
import itertools
import json

from behave import given, then, when

from features.support.command_line import run_command
from features.support.crashing_fleet import CrashingFleet
from features.support.cut_links import wait_until_acquainted
from features.support.gateway import (
    build_config,
    build_route_row,
    close_gateway,
    wait_until,
)
from zinniaturn.explain.logs import explain_from_logs, read_rows
from zinniaturn.explain.queries import Subject, SubjectKind

_SUCCESS = 200
_UNAVAILABLE = 503
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_DEADLY_TARGET = '/reads/deadly'
_HELD = 'request-held'
_HOLD_PREFIX = 'zinniaturn/held/'
_PAUSE_SECONDS = 0.15
_METRICS_PORT = 19464
_LONGEST_TRIES = 60


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash'
)
def start_fleet(context, gateways, servers, seconds, **rule):
    context.fleet = CrashingFleet(context, seconds, **rule)
    _run(context, context.fleet.start(gateways, servers))


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
    _run(context, context.fleet.start(gateways, servers, config))
    context.is_repeatable = kind != 'non_idempotent'


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


def _code(answer):
    return json.loads(answer.body)['code'] if answer.body else ''


def _is_held(answer):
    return answer.status == _UNAVAILABLE and _code(answer) == _HELD


async def _send_until_held(context, gateways):
    for gateway in itertools.islice(itertools.cycle(gateways), _LONGEST_TRIES):
        if _is_held(await context.fleet.send(gateway, _DEADLY_TARGET)):
            return
        await asyncio.sleep(_PAUSE_SECONDS)
    raise AssertionError(context.fleet.rule.crashes)


def _numbers(context):
    return range(len(context.platform.gateways))


@when('the deadly request comes until it is held')
def hold(context):
    _run(context, _send_until_held(context, _numbers(context)))


@when('the first gateway alone gets the deadly read until it is held')
def hold_at_one(context):
    _run(context, _send_until_held(context, [0]))


@when('the deadly request comes {count:d} times to each gateway')
def send_held(context, count):
    async def send_all():
        # What one VM holds the others hold a moment later.
        await asyncio.sleep(_PAUSE_SECONDS * 2)
        sends = [
            context.fleet.send(number, _DEADLY_TARGET)
            for number in _numbers(context)
            for _ in range(count)
        ]
        context.held_answers = await asyncio.gather(*sends)

    _run(context, send_all())


@then(
    'each of these was rejected as held, not run, within {seconds:g} s and '
    'with a time to return'
)
def check_rejected(context, seconds):
    assert context.held_answers
    for answer in context.held_answers:
        assert _is_held(answer), answer
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
        [f'{_DEADLY_TARGET}-{number}' for number in range(count)]
    )

    async def both():
        await asyncio.gather(
            context.fleet.stream(rate, seconds, targets=targets),
            context.fleet.stream(reads, seconds),
        )

    _run(context, both())


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
    assert not any(map(_is_held, others))


@then('no request was rejected as held')
def check_nothing_held(context):
    assert not any(map(_is_held, context.fleet.answers))


@then('the callers of the other requests are all served again')
def check_served_again(context):
    async def all_served():
        answers = await context.fleet.stream(20, 1)
        return all(one.status == _SUCCESS for one in answers)

    async def wait_until_served():
        for _ in range(_LONGEST_TRIES // 10):
            if await all_served():
                return
        raise AssertionError(context.fleet.answers[-20:])

    _run(context, wait_until_served())


@then('the last deadly read was served')
def check_last(context):
    last = [one for one in context.fleet.answers if one.is_deadly][-1]
    assert last.status == _SUCCESS, last


@when('one more gateway starts')
def start_one_more(context):
    async def start():
        await context.platform.add_gateway('vm-more')
        await wait_until_acquainted(context)

    _run(context, start())


def _stored_holds(context):
    return [
        key
        for key in context.platform.store.keys
        if key.startswith(_HOLD_PREFIX)
    ]


@when('the store holds it')
def wait_for_store(context):
    _run(context, wait_until(lambda: _stored_holds(context)))


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

    _run(context, replace())


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
        for number in _numbers(context):
            answer = await context.fleet.send(number)
            assert answer.status == _SUCCESS, answer

    _run(context, send_all())


@when('all {count:d} servers crash, by deadly reads that come at once')
def crash_all(context, count):
    rule = context.fleet.rule

    async def crash():
        for number in itertools.count():
            if len(rule.ended) >= count:
                return
            await asyncio.gather(
                *(
                    context.fleet.send(0, f'{_DEADLY_TARGET}-{number}-{one}')
                    for one in range(count)
                )
            )

    _run(context, crash())


@then('{count:d} reads are served within {seconds:g} s each')
def check_reads_fast(context, count, seconds):
    answers = _run(context, context.fleet.stream(count, 1))
    assert all(one.status == _SUCCESS for one in answers), answers
    assert all(one.seconds < seconds for one in answers), answers


@when('the servers have had {seconds:g} s to start again')
def wait_for_servers(context, seconds):
    _run(context, asyncio.sleep(seconds))


@given(
    '{gateways:d} gateways before {servers:d} servers that are back '
    '{seconds:g} s after a crash, with metrics ports'
)
def start_with_metrics(context, gateways, servers, seconds):
    context.fleet = CrashingFleet(context, seconds)
    _run(
        context,
        context.fleet.start(gateways, servers, metrics_port=_METRICS_PORT),
    )


def _metrics_address(context, number):
    gateway = context.platform.gateways[number]
    return f'{gateway.settings.host}:{_METRICS_PORT}'


def _list(context, number):
    result = _run(
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
    result = _run(context, run_command(*arguments, '--vm', address))
    assert not result.status, result


@when('the operator lifts "{key}" by {vm}')
def lift_by(context, key, vm):
    address = _metrics_address(context, 0) if vm == 'the first VM' else vm
    context.result = _run(
        context, run_command('quarantine', 'lift', key, '--vm', address)
    )


@then('the command\'s status is {status:d} and it prints "{text}"')
def check_result(context, status, text):
    assert context.result.status == status, context.result
    assert text in context.result.output + context.result.errors


@then('the deadly read is served at each gateway within {seconds:g} s')
def check_served(context, seconds):
    async def send_all():
        await asyncio.sleep(_PAUSE_SECONDS * 2)
        for number in _numbers(context):
            answer = await context.fleet.send(number, _DEADLY_TARGET)
            assert answer.status == _SUCCESS, answer
            assert answer.seconds < seconds, answer

    _run(context, send_all())


@then("the operator's list becomes empty within {seconds:g} s")
def check_list_empty(context, seconds):
    for _ in range(round(seconds)):
        if not _list(context, 0):
            return
    raise AssertionError(_list(context, 0))


@then('the store holds nothing of it within {seconds:g} s')
def check_store_empty(context, seconds):
    _run(context, wait_until(lambda: not _stored_holds(context), seconds))


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
