"""Steps of the question where a request would go."""

import json
from dataclasses import replace
from types import MappingProxyType

from behave import given, then, when

from features.support.asked_gateway import (
    ask_endpoint,
    build_operator_config,
    run,
    start_asked,
)
from features.support.gateway import (
    HOST,
    build_registered,
    build_request_bytes,
    send_request,
    wait_until,
)
from features.support.tenants import KEY
from features.support.where_situations import (
    SERVER_SITUATIONS,
    SITUATIONS,
    candidate_of,
    candidates,
    change_nothing,
    evacuate,
    pool_of,
)
from zinniaturn.fleet.server_owners import owner_of
from zinniaturn.gateway.endpoints import LookupEndpoint
from zinniaturn.gateway.where_endpoint import WhereEndpoint
from zinniaturn.placing.address_selection import AddressSelector

_BOUNDS = MappingProxyType({'evacuate_seconds': 5, 'fail_closed': True})


@given('a gateway before two data centres that operators can ask')
def start(context):
    async def start_all():
        context.document = build_operator_config()
        await start_asked(context, context.document, **_BOUNDS)
        gateway = context.gateway
        await wait_until(lambda: gateway.state.pools)
        await wait_until(lambda: not gateway.state.evacuations_are_in_doubt())
        await wait_until(lambda: owner_of(gateway.vms, 'tenant gold'))
        runner = gateway.dispatcher.attempt_runner
        prober = runner.scheduler.search.prober
        await prober.probe(candidates(context), '/healthz')
        await wait_until(
            lambda: all(one.stats.report for one in candidates(context))
        )

    run(context, start_all())
    state = context.gateway.state
    context.look_ups = LookupEndpoint(
        state, AddressSelector(state.random_source, 2)
    )
    context.endpoint = WhereEndpoint(
        context.gateway.dispatcher, context.look_ups
    )


def _tables(context):
    fleet_state = context.gateway.fleet_state
    return fleet_state.tables


async def _send(context, target, extra=''):
    payload = build_request_bytes(target=target, extra=extra)
    status, _, _ = await send_request(context.gateway.settings.front, payload)
    assert status == 200, status


def send_gold(context):
    run(context, _send(context, '/reads/1', f'Api-Key: {KEY}\r\n'))


def _select_split(context):
    """Return the pool of the split route's next request, and count it."""
    dispatcher = context.gateway.dispatcher
    return dispatcher.pool_selector.select(_tables(context).routes['split'])


@when('a read of the split route has chosen its pool')
def send_split(context):
    _select_split(context)


@when('"{name}" is cold for {seconds:g} s more')
def be_cold(context, name, seconds):
    candidate = candidate_of(context, name)
    candidate.registered = replace(
        candidate.registered, warm_up_seconds=seconds
    )


@when('"{name}" is evacuated at the VM')
def evacuate_one(context, name):
    context.change = lambda context: evacuate(context, name)


@when('this holds: {situation}')
def hold(context, situation):
    if 'gold' in situation:
        send_gold(context)
    context.change = SITUATIONS[situation]


@when('this holds of "{name}": {situation}')
def hold_of_server(context, name, situation):
    change = SERVER_SITUATIONS[situation]
    context.change = lambda context: change(candidate_of(context, name))


async def _ask_after_change(context, **asked):
    """Ask without letting anything else run since the change."""
    getattr(context, 'change', change_nothing)(context)
    context.answer = ask_endpoint(context, host=HOST, **asked)


@when('the operator asks where "{path}" of tenant "{tenant}" would go')
def ask(context, path, tenant):
    tenant = tenant.removeprefix('-')
    run(context, _ask_after_change(context, path=path, tenant=tenant))


@then('the outcome is "{outcome}" with "{code}" and the reason says "{text}"')
@then('the outcome is "{outcome}" with "" and the reason says "{text}"')
def check_outcome(context, outcome, text, code=''):
    answer = context.answer
    assert (answer['outcome'], answer['code']) == (outcome, code), answer
    assert text in answer['reason'], answer
    is_rejected = outcome == 'rejected'
    assert (answer['status'] >= 400) is (is_rejected or bool(code)), answer
    if outcome in {'sent', 'passed-on'}:
        assert answer['targets'], answer


@then('a request to "{path}" of tenant "{tenant}" gets what was told')
def check_request(context, path, tenant):
    async def send():
        context.change(context)
        extra = f'Api-Key: {KEY}\r\n' if tenant == 'gold' else ''
        payload = build_request_bytes(target=path, extra=extra)
        return await send_request(context.gateway.settings.front, payload)

    status, fields, body = run(context, send())
    told = context.answer
    assert status == (told['status'] or 200), (status, body, told)
    if told['code']:
        assert json.loads(body)['code'] == told['code'], (body, told)
    is_later = told['retry_after_seconds'] is not None
    assert is_later is ('retry-after' in fields), (fields, told)


@then('"{name}" is told to be "{state}", and {count:d} others "usable"')
def check_state(context, name, state, count):
    servers = context.answer['pool']['servers']
    states = {server['name']: server['state'] for server in servers}
    assert states[name] == state, states
    usable = [one for one in states.values() if one == 'usable']
    assert len(usable) == count, states
    assert context.answer['pool']['states']['usable'] == count


@then('"{name}" is not a target')
def check_no_target(context, name):
    targets = context.answer['targets']
    assert targets and name not in targets, targets


@then('"{first}" is the first target or "{second}" is')
def check_first(context, first, second):
    assert context.answer['targets'][0] in {first, second}, context.answer


@then("each report's age is told, and the newest and oldest of all")
def check_ages(context):
    pool = context.answer['pool']
    ages = [server['report_age_ms'] for server in pool['servers']]
    reports = pool['reports']
    assert len(ages) == 4 and min(ages) > 0, ages
    assert (reports['newest_ms'], reports['oldest_ms']) == (
        min(ages),
        max(ages),
    )


@then('"{name}" is told to be cold for {seconds:g} s')
def check_cold(context, name, seconds):
    servers = context.answer['pool']['servers']
    cold = {one['name']: one['cold_seconds'] for one in servers}
    assert cold == {'s-1': 0, 's-2': 0, 's-3': 0, 's-4': 0, name: seconds}


@then('servers in "{far}" are told to be further away than in "{near}"')
def check_distance(context, far, near):
    ways = {}
    for server in context.answer['pool']['servers']:
        ways.setdefault(server['data_center'], set()).add(server['way_ms'])
    assert ways[near] == {0} and min(ways[far]) > 0, ways


@then('the decision on leaving is told with the share of each start')
def check_leaving(context):
    leaving = context.answer['pool']['leaving']
    assert leaving['is_active'] and leaving['inputs'], leaving
    assert sum(leaving['starts'].values()) == 1, leaving


@then('one of its pools is shown as drawn at random')
def check_drawn(context):
    pool = context.answer['pool']
    assert pool['is_drawn'] and pool['name'] == 'pool', pool
    assert pool['shares'] == {'pool': 3, 'other': 1}, pool


@then('the pool is the one that the next read goes to')
def check_nextpool_of(context):
    pool = context.answer['pool']
    assert not pool['is_drawn'], pool
    for _ in range(8):
        run(context, _ask_after_change(context, path='/split/1'))
        named = context.answer['pool']['name']
        assert _select_split(context) == named


@when('a caller has looked up a VM')
def look_up(context):
    async def update():
        context.look_ups.update_selected()

    run(context, update())


@when('the operator asks for a caller in "{name}"')
def ask_for_caller(context, name):
    run(context, _ask_after_change(context, path='/open/1', data_center=name))


@then(
    'look-ups are told to name {count:d} VM, none of them in "{name}", and '
    'this one'
)
def check_look_ups(context, count, name):
    look_ups = context.answer['look_ups']
    assert look_ups['data_center'] == name
    assert (look_ups['vms'], look_ups['own_vms']) == (count, 0), look_ups
    assert look_ups['has_this_vm'], look_ups


@when('{count:d} servers more are registered, {leaving:d} of them leaving')
def register(context, count, leaving):
    def add(context):
        pool = pool_of(context)
        template = pool['s-1']
        for number in range(count):
            registered = build_registered(
                f'x-{number}', leaving=number < leaving, data_center='dc-a'
            )
            pool[f'x-{number}'] = replace(template, registered=registered)

    context.change = add


@then(
    '{named:d} servers are named, usable and leaving ones, and {count:d} '
    'counted'
)
def check_bounded(context, named, count):
    pool = context.answer['pool']
    states = {server['state'] for server in pool['servers']}
    assert len(pool['servers']) == named
    assert states == {'usable', 'leaving'}, states
    assert sum(pool['states'].values()) == count, pool['states']


@then('neither the answer nor the log holds "{text}"')
def check_no_key(context, text):
    assert text.encode() not in context.body
    assert text not in repr(context.gateway.event_log.rows)
