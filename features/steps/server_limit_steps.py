"""Steps of limits that backend servers name for all VMs together."""

import asyncio
from collections import Counter

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_request,
    build_request_bytes,
    send_request,
    wait_until,
)
from features.support.limit_rule import most_in_window
from features.support.time_limits import time_limit
from zinniaturn.admission.admission import ServerNotice
from zinniaturn.clock import ManualClock
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.experiments.limit_days import (
    CONTACT_SECONDS,
    allowed_in_window,
)
from zinniaturn.gateway.attempt import send_attempt
from zinniaturn.gateway.exceptions import AttemptError
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.outcomes import Phase
from zinniaturn.platform.standins import (
    ServerFault,
    ServerStandIn,
    StoreFault,
)

_SUCCESS = 200
_NOT_RUN = 503
_WORK_SECONDS = 0.03
_LONGEST_SECONDS = 20


def _server(context, name):
    return next(
        server for server in context.platform.servers if server.name == name
    )


@given('{count:d} gateways and the servers "{first}" and "{second}"')
def start_platform(context, count, first, second):
    async def start():
        context.platform = SmallPlatform(context)
        await context.platform.start(
            [
                ServerStandIn(name=name, work_seconds=_WORK_SECONDS)
                for name in (first, second)
            ]
        )
        for number in range(count):
            await context.platform.add_gateway(f'vm-{number}')
        gateways = context.platform.gateways
        await wait_until(
            lambda: all(gateway.state.pools for gateway in gateways)
        )
        await wait_until(
            lambda: all(
                len(gateway.vms.alive_vms()) == count - 1
                for gateway in gateways
            )
        )

    context.loop.run_until_complete(start())


@given('server "{name}" names a limit of "{limit}" and "{other}" names none')
def name_one_limit(context, name, limit, other):
    _server(context, name).limit = limit.encode()


@given(
    'server "{name}" names a limit of "{limit}" and "{other}" names a limit '
    'of {other_limit}'
)
def name_two_limits(context, name, limit, other, other_limit):
    _server(context, name).limit = limit.encode()
    _server(context, other).limit = other_limit.encode()


@given('"{name}" has {slots:d} slots')
def set_slots(context, name, slots):
    server = _server(context, name)
    server.slots = slots
    server.slot_semaphore = asyncio.Semaphore(slots)


@when('each gateway gets {rate:d} reads a second for {seconds:g} s')
def read_everywhere(context, rate, seconds):
    async def read(gateway, number):
        return await send_request(
            gateway.settings.front,
            build_request_bytes(request_id=f'{gateway.vms.own.name}-{number}'),
        )

    async def run():
        context.started_at = asyncio.get_running_loop().time()
        reads = []
        for number in range(round(rate * seconds)):
            reads.extend(
                asyncio.ensure_future(read(gateway, number))
                for gateway in context.platform.gateways
            )
            await asyncio.sleep(1 / rate)
        context.responses = await asyncio.gather(*reads)
        context.seconds = asyncio.get_running_loop().time() - context.started_at

    context.loop.run_until_complete(run())


@then(
    '"{name}" got no more in any 4 s than the rule allows for a limit of '
    '{limit:g}'
)
def check_limit(context, name, limit):
    most = most_in_window(
        _server(context, name).request_times,
        context.started_at + CONTACT_SECONDS,
    )
    assert most <= allowed_in_window(limit), most


@then('"{name}" got at least {rate:g} request a second')
def check_use(context, name, rate):
    count = len(_server(context, name).request_times)
    assert count >= rate * context.seconds, count


@then('every read got 200 or was told when to come back')
def check_answers(context):
    for status, fields, _ in context.responses:
        is_told = status == _NOT_RUN and float(fields['retry-after']) > 0
        assert status == _SUCCESS or is_told, (status, fields)


@then('every read got 200')
def check_served(context):
    statuses = [status for status, _, _ in context.responses]
    assert set(statuses) == {_SUCCESS}, Counter(statuses)


@given('the store responds')
def keep_store(context):
    """Leave the store as it is."""


@given('the store gives no response')
def silence_store(context):
    context.platform.store.faults[''] = StoreFault.SILENT


@given('the answers of "{name}" say that it leaves')
def say_leaving(context, name):
    _server(context, name).is_leaving = True


@given('another VM, which is gone, has told all that "{name}" leaves')
def leave_word(context, name):
    for gateway in context.platform.gateways:
        admissions = gateway.state.admissions
        said_at = admissions.clock.monotonic()
        admissions.adopt(
            ServerNotice(
                name, 1, is_leaving=True, said_at=said_at, source='vm-gone'
            )
        )
        assert name in admissions.active


@when('the answers of "{name}" no longer say so')
def say_staying(context, name):
    _server(context, name).is_leaving = False


@given('each answer of "{name}" lacks its signature and says that it leaves')
def garble_leaving(context, name):
    server = _server(context, name)
    server.is_leaving = True
    server.states_in_probes = False
    server.default_fault = ServerFault.UNSIGNED


@given('server "{name}" rejects all requests with a pause of "{seconds}"')
def reject_with_pause(context, name, seconds):
    server = _server(context, name)
    server.default_fault = ServerFault.SHED
    server.pause = seconds.encode()


@given(
    'server "{name}" answers all requests with an unmarked 503 and a pause of '
    '"{seconds}"'
)
def answer_unmarked(context, name, seconds):
    server = _server(context, name)
    server.default_fault = ServerFault.FALSE_UNAVAILABLE
    server.pause = seconds.encode()


@when('server "{name}" takes requests again')
def stop_rejecting(context, name):
    server = _server(context, name)
    assert server.arrivals, 'the server rejected no request'
    server.default_fault = None


@when('the time is noted')
def note_time(context):
    context.noted = {
        server.name: (server.arrivals, server.probed)
        for server in context.platform.servers
    }


@then('"{name}" got no request and no probe since the noted time')
def check_untouched(context, name):
    server = _server(context, name)
    assert (server.arrivals, server.probed) == context.noted[name]


def _last_requests(context, name, seconds):
    times = _server(context, name).request_times
    since = context.started_at
    assert abs(context.seconds - seconds) < seconds, context.seconds
    return [time for time in times if time >= since]


@then('"{name}" got no request in the last {seconds:g} s')
def check_no_request(context, name, seconds):
    assert not _last_requests(context, name, seconds)


@then('"{name}" got requests in the last {seconds:g} s')
def check_requests(context, name, seconds):
    assert _last_requests(context, name, seconds)


@then('no gateway takes "{name}" for leaving')
def check_not_leaving(context, name):
    for gateway in context.platform.gateways:
        admissions = gateway.state.admissions.admissions
        assert not admissions[name].notice.is_leaving


@when('a fourth gateway starts')
def start_another(context):
    async def start():
        gateway = await context.platform.add_gateway('vm-late')
        await wait_until(lambda: gateway.state.pools)
        return gateway

    context.late_gateway = context.loop.run_until_complete(start())


@then('the fourth gateway takes "{name}" for leaving without having asked it')
def check_knows_leaving(context, name):
    admissions = context.late_gateway.state.admissions
    notice = admissions.active[name].notice
    assert notice.is_leaving
    assert notice.source, 'the gateway has asked the server itself'


def _read_until(context, condition):
    async def read():
        async with time_limit(_LONGEST_SECONDS):
            while not condition():
                for gateway in context.platform.gateways:
                    await send_request(
                        gateway.settings.front, build_request_bytes()
                    )

    context.loop.run_until_complete(read())


@when('reads arrive until every gateway knows that "{name}" wants a pause')
def read_until_paused(context, name):
    def admission_of(gateway):
        return gateway.state.admissions.admissions[name]

    _read_until(
        context,
        lambda: all(
            admission_of(gateway).paused_until > 0
            for gateway in context.platform.gateways
        ),
    )


@then('reads arrive until "{name}" has got another request')
def read_until_used(context, name):
    before = context.noted[name][0]
    _read_until(context, lambda: _server(context, name).arrivals > before)


@when(
    "the gateway's clock jumps by {seconds:g} s between a placement and its "
    'send'
)
def send_late(context, seconds):
    gateway = context.platform.gateways[0]
    state = gateway.state
    now = state.admissions.clock.monotonic()
    candidate = state.pools['pool']['s-1']
    placement = Placement(
        candidate, None, 0.1, 0.1, send_before=now + seconds - 1
    )
    state.admissions.clock = ManualClock(now + seconds)
    request = RequestContext(
        build_request(),
        'late',
        gateway.fleet_state.tables.routes['reads'],
        gateway.fleet_state.tables.pools['pool'],
        context.loop.time(),
        context.loop.time() + 1,
        idempotent=True,
    )
    context.arrivals_before = _server(context, 's-1').arrivals
    try:
        context.loop.run_until_complete(
            send_attempt(
                state,
                request,
                placement,
                lambda context: None,
                lambda connection: False,
            )
        )
    except AttemptError as error:
        context.attempt_error = error


@then('the request was not sent to the server of the placement')
def check_not_sent(context):
    assert context.attempt_error.phase is Phase.NOT_SENT
    assert _server(context, 's-1').arrivals == context.arrivals_before


def _log_rows(context, event):
    return [
        row
        for gateway in context.platform.gateways
        for row in gateway.event_log.rows
        if row['event'] == event
    ]


@then('no gateway has logged an unexpected exception')
def check_no_fault(context):
    assert not _log_rows(context, LogEvent.GATEWAY_FAULT)


@then('the log tells the pause of "{name}" without an age')
def check_pause_logged(context, name):
    rows = [
        row
        for row in _log_rows(context, LogEvent.SERVER_STATEMENT)
        if row['server'] == name
    ]
    assert rows
    assert all(row['pause_seconds'] > 0 for row in rows), rows
    assert all(row['age_ms'] is None for row in rows), rows
