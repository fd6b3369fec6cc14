"""Steps of callers' requests through a gateway."""

import asyncio
import os
from dataclasses import replace

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_config,
    build_route_row,
    call,
    read_answer,
    request_text,
    until,
)
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.metrics import render_metrics
from zinniaturn.platform.standins import ServerFault, ServerStandIn
from zinniaturn.tables.matching import RouteMatcher

_PROMISES = frozenset((408, 421, 429, 503))
_LONG_AGO_SECONDS = 1000


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _server(context, name):
    return next(each for each in context.platform.servers if each.name == name)


def _runs(context):
    return sum(sum(each.runs.values()) for each in context.platform.servers)


def _arrivals(context):
    return sum(each.arrivals for each in context.platform.servers)


async def _timed_call(context, text):
    loop = asyncio.get_running_loop()
    began = loop.time()
    context.answer = await call(context.front, text)
    context.seconds = loop.time() - began


@given('a platform with servers "{first}" and "{second}" and a gateway')
def start_platform(context, first, second):
    async def start():
        context.platform = SmallPlatform(context)
        config = build_config(
            [
                build_route_row('reads', '/reads/', 'idempotent'),
                build_route_row('posts', '/posts/', 'non_idempotent'),
                build_route_row(
                    'long', '/long/', 'idempotent', timeout_ms=2000
                ),
                build_route_row(
                    'short',
                    '/short/',
                    'non_idempotent',
                    timeout_ms=300,
                ),
            ],
        )
        servers = [ServerStandIn(name=name) for name in (first, second)]
        await context.platform.start(servers, config)
        context.gateway = await context.platform.add_gateway()
        context.front = context.gateway.settings.front
        await until(lambda: context.gateway.state.pools)

    _run(context, start())


@given('server "{first}" takes {one:g} s and "{second}" takes {two:g} s')
def set_work(context, first, one, second, two):
    _server(context, first).work_seconds = one
    _server(context, second).work_seconds = two


@given('every request meets the fault "{fault}"')
def fault_all(context, fault):
    for server in context.platform.servers:
        server.default_fault = ServerFault[fault]


@given('requests at "{name}" meet the fault "{fault}"')
def fault_one(context, name, fault):
    _server(context, name).default_fault = ServerFault[fault]


@given('the first request meets the fault "{fault}"')
def fault_first(context, fault):
    context.remaining = [ServerFault[fault]]
    for server in context.platform.servers:
        server.faults = _SharedFaults(context.remaining)


class _SharedFaults:
    """A list of faults from which several servers take."""

    def __init__(self, remaining):
        self.remaining = remaining

    def __bool__(self):
        return bool(self.remaining)

    def popleft(self):
        return self.remaining.pop(0)


@given('the gateway has second sends to spend')
def fill_allowance(context):
    state = context.gateway.state
    state.started_at -= _LONG_AGO_SECONDS
    state.retry_budgets.clear()


@given('the gateway has second sends to spend after {seconds:g} s')
def fill_allowance_later(context, seconds):
    context.loop.call_later(seconds, fill_allowance, context)


@when('a caller reads with 3 s to wait on a route of 2 s')
def read_waiting(context):
    text = request_text(target='/long/1', wait_ms=3000)
    _run(context, _timed_call(context, text))


@given('"{name}" names itself "{other}" when it is asked')
def rename_server(context, name, other):
    _server(context, name).name = other
    context.renamed = _server(context, other)


@given('"{name}" says that it is ill')
def make_ill(context, name):
    _server(context, name).is_healthy = False


@given('the VM of "{name}" is {ratio:g} times slower')
def make_slow(context, name, ratio):
    _server(context, name).slowness = ratio


@when('a caller reads')
def read_once(context):
    _run(context, _timed_call(context, request_text()))


@when('a caller reads {count:d} times')
def read_often(context, count):
    async def read():
        context.answers = [
            await call(context.front, request_text(request_id=f'id-{number}'))
            for number in range(count)
        ]

    _run(context, read())


@when('a caller reads {count:d} times on one connection')
def read_on_connection(context, count):
    async def read():
        reader, writer = await asyncio.open_connection(*context.front)
        context.answers = []
        for number in range(count):
            writer.write(request_text(request_id=f'id-{number}'))
            context.answers.append(await read_answer(reader))
        writer.transport.abort()

    _run(context, read())


@when('a caller posts the body "{body}"')
def post_body(context, body):
    text = request_text('POST', '/posts/1', body=body.encode())
    _run(context, _timed_call(context, text))


@when('a caller posts "{first}" and "{second}" in chunks')
def post_chunks(context, first, second):
    chunks = ''.join(
        f'{len(piece):x}\r\n{piece}\r\n' for piece in (first, second)
    )
    text = request_text('POST', '/posts/1').replace(
        b'Content-Length: 0',
        b'Transfer-Encoding: chunked',
    )
    whole = b''.join((text, chunks.encode(), b'0\r\n\r\n'))
    _run(context, _timed_call(context, whole))


@when('a caller posts {size:d} bytes at once')
def post_large(context, size):
    text = request_text('POST', '/posts/1', body=bytes(size))
    _run(context, _timed_call(context, text))


@when('a caller posts with {seconds:g} s to wait')
def post_waiting(context, seconds):
    text = request_text('POST', '/posts/1', wait_ms=int(seconds * 1000))
    _run(context, _timed_call(context, text))


@when('a caller posts with {seconds:g} s to wait on a route of 0.3 s')
def post_short(context, seconds):
    text = request_text('POST', '/short/1', wait_ms=int(seconds * 1000))
    _run(context, _timed_call(context, text))


@when('a caller asks for "{target}"')
def ask_for(context, target):
    _run(context, _timed_call(context, request_text(target=target)))


@when('a caller sends {count:d} reads at once on one connection')
def pipeline(context, count):
    async def send():
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(*context.front)
        began = loop.time()
        for number in range(count):
            writer.write(request_text(request_id=f'id-{number}'))
        context.answers = [await read_answer(reader) for _ in range(count)]
        context.seconds = loop.time() - began
        writer.transport.abort()

    _run(context, send())


@when('a caller sends a read and a post at once on one connection')
def pipeline_post(context):
    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        writer.write(request_text(request_id='read'))
        writer.write(request_text('POST', '/posts/1', request_id='post'))
        first = await read_answer(reader)
        context.before = [
            request.method
            for server in context.platform.servers
            for request in server.requests
        ]
        context.answers = [first, await read_answer(reader)]
        writer.transport.abort()

    _run(context, send())


@when('a caller posts and leaves after {seconds:g} s')
def post_and_leave(context, seconds):
    async def send():
        _, writer = await asyncio.open_connection(*context.front)
        writer.write(request_text('POST', '/posts/1'))
        await until(lambda: _runs(context))
        await asyncio.sleep(seconds)
        writer.close()
        await until(
            lambda: any(each.cancelled for each in context.platform.servers),
            1,
        )

    _run(context, send())


@when('{count:d} callers post with {seconds:g} s to wait')
def post_many(context, count, seconds):
    async def post():
        texts = [
            request_text(
                'POST',
                '/posts/1',
                request_id=f'id-{number}',
                wait_ms=int(seconds * 1000),
            )
            for number in range(count)
        ]
        context.answers = await asyncio.gather(
            *(call(context.front, text) for text in texts),
        )

    _run(context, post())


@when('"{name}" says that it is leaving and the gateway has heard of it')
def leave(context, name):
    server = _server(context, name)
    context.platform.store.write(
        f'servers/{name}',
        server.entry('draining'),
    )
    _run(context, until(lambda: _is_leaving(context.gateway, name)))


def _is_leaving(gateway, name):
    registered = gateway.fleet_state.servers[name]
    return registered.server.leaving


@when('all servers are gone and the gateway has heard of it')
def remove_servers(context):
    for server in context.platform.servers:
        context.platform.store.remove(f'servers/{server.name}')
    _run(context, until(lambda: not context.gateway.fleet_state.servers))


@when('a caller sends the bytes "{text}"')
def send_bytes(context, text):
    raw = text.encode().decode('unicode_escape').encode()

    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        writer.write(raw)
        context.answer = await read_answer(reader)
        context.rest = await asyncio.wait_for(reader.read(), 5)
        writer.transport.abort()

    _run(context, send())


@when('a caller sends a head of {size:d} bytes')
def send_large_head(context, size):
    extra = f'X-Large: {"x" * size}\r\n'
    _run(context, _timed_call(context, request_text(extra=extra)))


@then('it gets 200 with the body "{body}" and the server\'s mark')
def check_success(context, body):
    status, fields, received = context.answer
    assert (status, received) == (200, body.encode()), context.answer
    assert fields['x-upstream-signature'].startswith('by-s-')


@then('each gets 200 with the body "{body}"')
def check_each(context, body):
    for status, _, received in context.answers:
        assert (status, received) == (200, body.encode()), context.answers


@then(
    "the server got the caller's id, what is left of the time and its own name",
)
def check_fields(context):
    server = next(each for each in context.platform.servers if each.requests)
    fields = {name.lower(): text for name, text in server.requests[0].fields}
    assert fields[b'x-attempt-id'] == b'id-1'
    assert fields[b'x-expect-instance'] == server.name.encode()
    assert 500 < int(fields[b'x-request-deadline-ms']) <= 1000
    assert server.requests[0].target == b'/reads/1'


@then('the server ran it once with the body "{body}"')
def check_body(context, body):
    assert context.answer[0] == 200, context.answer
    assert _runs(context) == 1
    server = next(each for each in context.platform.servers if each.requests)
    assert server.requests[0].body == body.encode()


@then('the server ran it once with {size:d} bytes')
def check_size(context, size):
    assert context.answer[0] == 200, context.answer
    server = next(each for each in context.platform.servers if each.requests)
    assert server.requests[0].body == bytes(size)


@then('it gets 404 and no server got anything')
def check_not_found(context):
    assert context.answer[0] == 404
    assert _arrivals(context) == 0


@then('the answers come in the order of the requests')
def check_pipeline(context):
    identities = [fields['x-attempt-id'] for _, fields, _ in context.answers]
    assert identities == [f'id-{number}' for number in range(len(identities))]


@then('they took less than {count:d} times as long as one')
def check_parallel(context, count):
    slowest = max(each.work_seconds for each in context.platform.servers)
    assert context.seconds < slowest * count


@then('the post reaches its server after the read is answered')
def check_turn(context):
    assert context.before == [b'GET']
    assert [answer[0] for answer in context.answers] == [200, 200]


@then('it was run at most once')
def check_at_most_once(context):
    assert _runs(context) <= 1


@then('it gets a status of {status:d}')
def check_status(context, status):
    assert context.answer[0] == status, context.answer


@then('it gets a status of {status:d} with a time to come back')
def check_return(context, status):
    assert context.answer[0] == status
    assert 0 < float(context.answer[1]['retry-after']) <= 2


@then('the servers got {count:d} request')
@then('the servers got {count:d} requests')
def check_arrivals(context, count):
    assert _arrivals(context) == count


@then('the answer came after about {seconds:g} s')
def check_time(context, seconds):
    assert seconds <= context.seconds < seconds + 0.5


@then("the server's work ends within a second")
def check_cancelled(context):
    assert sum(each.cancelled for each in context.platform.servers) == 1


@then('none that was run gets 503, 429, 408 or 421')
def check_promises(context):
    run = set()
    for server in context.platform.servers:
        run.update(name.decode() for name in server.runs)
    for number, (status, _, _) in enumerate(context.answers):
        assert f'id-{number}' not in run or status not in _PROMISES
    assert run


@then('"{name}" got no request')
def check_no_request(context, name):
    server = getattr(context, 'renamed', None) or _server(context, name)
    assert server.arrivals == 0
    assert all(answer[0] == 200 for answer in context.answers)


@then('"{more}" got more requests than "{fewer}"')
def check_more(context, more, fewer):
    assert _server(context, more).arrivals > _server(context, fewer).arrivals


@then('its connection is closed')
def check_closed(context):
    assert context.rest == b''


@then(
    "the log's line of the request names its server, its outcome "
    '"{outcome}" and why',
)
def check_log(context, outcome):
    rows = [
        row
        for row in context.gateway.event_log.rows
        if row['event'] == 710 and row['request'] == 'id-1'
    ]
    assert len(rows) == 1
    row = rows[0]
    assert row['outcome'].endswith(outcome), row
    assert row['servers'][0].startswith('s-')
    assert row['detail']
    assert row['tables_revision'] > 0
    assert row['state_age_ms'] >= 0


@then('the metrics show {count:d} answered requests of route "{route}"')
def check_metrics(context, count, route):
    text = render_metrics(context.gateway.state).decode()
    name = 'zinniaturn_gateway_requests_total'
    line = f'{name}{{outcome="answered",route="{route}"}} {count}'
    assert line in text, text
    assert f'zinniaturn_gateway_answer_seconds_count{{route="{route}"}}' in text


@when('{count:d} second sends are spent and the settings change')
def spend_and_change(context, count):
    state = context.gateway.state
    retry_budget = state.retry_budget('pool')
    for _ in range(count):
        assert retry_budget.try_withdraw(context.loop.time(), 1)
    bounds = replace(state.settings.bounds, retry_ratio=0.1)
    context.gateway.apply(replace(state.settings, bounds=bounds))


@then('{count:d} second sends count as spent')
def check_spent(context, count):
    retry_budget = context.gateway.state.retry_budget('pool')
    assert len(retry_budget.withdrawn) == count
    assert retry_budget.ratio == 0.1


@given('a log whose pipe nobody reads')
def unread_log(context):
    reading, writing = os.pipe()
    context.add_cleanup(os.close, reading)
    context.add_cleanup(os.close, writing)
    context.event_log = EventLog('vm-1', writing)
    context.event_log.set_nonblocking()
    context.event_log.usual_quota.lines_per_second = 10**9


@when('{count:d} lines are written to it')
def write_lines(context, count):
    for _ in range(count):
        context.event_log.write(LogEvent.GATEWAY_READY)
    context.written = count


@then('some were dropped and counted, and none waited')
def check_dropped(context):
    assert 0 < context.event_log.dropped_lines < context.written


@when(
    'a caller sends a body of {size:d} bytes, one each {pause:g} s, with 3 s '
    'for a head',
)
def send_slowly(context, size, pause):
    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        text = request_text('POST', '/posts/1', body=bytes(size), wait_ms=9000)
        writer.write(text[:-size])
        for _ in range(size):
            await asyncio.sleep(pause)
            writer.write(bytes(1))
        context.answer = await read_answer(reader)
        writer.transport.abort()

    fleet_state = context.gateway.fleet_state
    tables = fleet_state.tables
    route = replace(tables.routes['posts'], deadline_seconds=9)
    fleet_state.tables = replace(tables, routes={'posts': route})
    context.gateway.state.matcher = RouteMatcher([route])
    _run(context, send())


@when('a caller sends half of a head and waits')
def send_half_head(context):
    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        writer.write(b'GET /reads/1 HTTP/1.1\r\nHost: ')
        context.answer = await read_answer(reader)
        writer.transport.abort()

    _run(context, send())


@given('asking servers fails with a fault of the program')
def break_asking(context):
    scheduler = context.gateway.dispatcher.attempt_runner.scheduler
    context.asker = scheduler.search.prober
    context.working_wire_format = context.asker.wire_format
    context.asker.wire_format = None


@when('the fault is mended and a caller reads')
def mend_asking(context):
    context.asker.wire_format = context.working_wire_format
    read_once(context)


@given('reading the store fails with a fault of the program once')
def break_reading(context):
    store = context.gateway.store
    read = store.read_snapshot
    faults = [RuntimeError('a fault')]

    async def fail_once():
        if faults:
            raise faults.pop()
        return await read()

    store.read_snapshot = fail_once


@when("the operator's document changes")
def change_document(context):
    rows = [build_route_row('other', '/other/', 'idempotent')]
    config = build_config(rows, version='00000002')
    context.platform.store.write('op/config', config)


@then('the gateway has it in force')
def check_in_force(context):
    fleet_state = context.gateway.fleet_state
    _run(context, until(lambda: 'other' in fleet_state.tables.routes))


@then('the log tells of the fault')
def check_fault_logged(context):
    rows = context.gateway.event_log.rows
    assert any(row['event'] == 706 and row['reason'] for row in rows)
