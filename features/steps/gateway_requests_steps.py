"""Steps for callers' requests through a gateway."""

import asyncio
import os
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_config,
    build_request_bytes,
    build_route_row,
    read_response,
    send_request,
    wait_until,
)
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.metrics import render_metrics
from zinniaturn.placing.probe_budget import ProbeBudgets
from zinniaturn.platform.standins import ServerFault, ServerStandIn
from zinniaturn.tables.matching import RouteMatcher

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_PAST_WINDOW_SECONDS = 1000
_MOST_ROUNDS = 10


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _server(context, name):
    return next(
        server for server in context.platform.servers if server.name == name
    )


def _run_count(context):
    return sum(sum(server.runs.values()) for server in context.platform.servers)


def _arrival_count(context):
    return sum(server.arrivals for server in context.platform.servers)


async def _timed_call(context, payload):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    context.response = await send_request(context.front, payload)
    context.seconds = loop.time() - started_at


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
        await wait_until(lambda: context.gateway.state.pools)

    _run(context, start())


@given('server "{first}" takes {one:g} s and "{second}" takes {two:g} s')
def set_work(context, first, one, second, two):
    _server(context, first).work_seconds = one
    _server(context, second).work_seconds = two


@given('every request meets the fault "{fault}"')
def set_fault_everywhere(context, fault):
    for server in context.platform.servers:
        server.default_fault = ServerFault[fault]


@given('requests at "{name}" meet the fault "{fault}"')
def set_fault_at(context, name, fault):
    _server(context, name).default_fault = ServerFault[fault]


@given('the first request meets the fault "{fault}"')
def set_first_fault(context, fault):
    context.shared_faults = [ServerFault[fault]]
    for server in context.platform.servers:
        server.faults = _SharedFaults(context.shared_faults)


class _SharedFaults:
    """A queue of faults that several servers take from."""

    def __init__(self, shared_faults):
        self.shared_faults = shared_faults

    def __bool__(self):
        return bool(self.shared_faults)

    def popleft(self):
        return self.shared_faults.pop(0)


@then('it is told to retry within {seconds:g} s')
def check_retry_limit(context, seconds):
    _, fields, _ = context.response
    assert 0 < float(fields['retry-after']) <= seconds, fields


@given('the gateway may not probe')
def forbid_probes(context):
    state = context.gateway.state
    state.settings = replace(
        state.settings,
        bounds=replace(state.settings.bounds, probes_per_second=0),
    )
    _search(context).budgets = ProbeBudgets(state.started_at)


def _search(context):
    runner = context.gateway.dispatcher.attempt_runner
    return runner.scheduler.search


@then('no server was probed')
def check_no_probes(context):
    assert [server.probed for server in context.platform.servers] == [0, 0]


@given('the gateway has retry budget')
def make_retry_budget_available(context):
    state = context.gateway.state
    state.started_at -= _PAST_WINDOW_SECONDS
    state.retry_budgets.clear()


@given('the gateway has retry budget after {seconds:g} s')
def make_retry_budget_available_later(context, seconds):
    context.loop.call_later(seconds, make_retry_budget_available, context)


@when('a caller reads with a timeout of 3 s on a route with a timeout of 2 s')
def read_waiting(context):
    payload = build_request_bytes(target='/long/1', wait_ms=3000)
    _run(context, _timed_call(context, payload))


@given('"{name}" gives its name as "{other}" when probed')
def rename_server(context, name, other):
    _server(context, name).name = other
    context.renamed_server = _server(context, other)


@given('"{name}" reports itself unhealthy')
def make_unhealthy(context, name):
    _server(context, name).is_healthy = False


@given('the VM of "{name}" is {ratio:g} times slower')
def slow_down_vm(context, name, ratio):
    _server(context, name).slowness = ratio


@when('a caller reads')
def read_once(context):
    _run(context, _timed_call(context, build_request_bytes()))


@when('a caller reads {count:d} times')
def read_repeatedly(context, count):
    async def read():
        context.responses = [
            await send_request(
                context.front, build_request_bytes(request_id=f'id-{number}')
            )
            for number in range(count)
        ]

    _run(context, read())


@when('a caller reads {count:d} times on one connection')
def read_on_connection(context, count):
    async def read():
        reader, writer = await asyncio.open_connection(*context.front)
        context.responses = []
        for number in range(count):
            writer.write(build_request_bytes(request_id=f'id-{number}'))
            context.responses.append(await read_response(reader))
        writer.transport.abort()

    _run(context, read())


@when('a caller posts the body "{body}"')
def post_body(context, body):
    payload = build_request_bytes('POST', '/posts/1', body=body.encode())
    _run(context, _timed_call(context, payload))


@when('a caller posts "{first}" and "{second}" in chunks')
def post_chunks(context, first, second):
    chunks = ''.join(
        f'{len(piece):x}\r\n{piece}\r\n' for piece in (first, second)
    )
    payload = build_request_bytes('POST', '/posts/1').replace(
        b'Content-Length: 0',
        b'Transfer-Encoding: chunked',
    )
    chunked_request = b''.join((payload, chunks.encode(), b'0\r\n\r\n'))
    _run(context, _timed_call(context, chunked_request))


@when('a caller posts {size:d} bytes at once')
def post_large(context, size):
    payload = build_request_bytes('POST', '/posts/1', body=bytes(size))
    _run(context, _timed_call(context, payload))


@when('a caller posts with a timeout of {seconds:g} s')
def post_waiting(context, seconds):
    payload = build_request_bytes(
        'POST', '/posts/1', wait_ms=int(seconds * 1000)
    )
    _run(context, _timed_call(context, payload))


@when(
    'a caller posts with a timeout of {seconds:g} s on a route with a timeout '
    'of 0.3 s'
)
def post_short(context, seconds):
    payload = build_request_bytes(
        'POST', '/short/1', wait_ms=int(seconds * 1000)
    )
    _run(context, _timed_call(context, payload))


@when('a caller requests "{target}"')
def ask_for(context, target):
    _run(context, _timed_call(context, build_request_bytes(target=target)))


@when('a caller sends {count:d} reads at once on one connection')
def pipeline(context, count):
    async def send():
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(*context.front)
        started_at = loop.time()
        for number in range(count):
            writer.write(build_request_bytes(request_id=f'id-{number}'))
        context.responses = [await read_response(reader) for _ in range(count)]
        context.seconds = loop.time() - started_at
        writer.transport.abort()

    _run(context, send())


@when('a caller sends a read and a post at once on one connection')
def pipeline_post(context):
    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        writer.write(build_request_bytes(request_id='read'))
        writer.write(build_request_bytes('POST', '/posts/1', request_id='post'))
        first = await read_response(reader)
        context.before = [
            request.method
            for server in context.platform.servers
            for request in server.requests
        ]
        context.responses = [first, await read_response(reader)]
        writer.transport.abort()

    _run(context, send())


@when('a caller posts and disconnects after {seconds:g} s')
def post_and_leave(context, seconds):
    async def send():
        _, writer = await asyncio.open_connection(*context.front)
        writer.write(build_request_bytes('POST', '/posts/1'))
        await wait_until(lambda: _run_count(context))
        await asyncio.sleep(seconds)
        writer.close()
        await wait_until(
            lambda: any(
                server.cancelled for server in context.platform.servers
            ),
            1,
        )

    _run(context, send())


@when('{count:d} callers post with a timeout of {seconds:g} s')
def post_many(context, count, seconds):
    async def post(first):
        texts = [
            build_request_bytes(
                'POST',
                '/posts/1',
                request_id=f'id-{number}',
                wait_ms=int(seconds * 1000),
            )
            for number in range(first, first + count)
        ]
        return await asyncio.gather(
            *(send_request(context.front, payload) for payload in texts),
        )

    async def post_until_some_ran():
        # A process that is stopped for longer than the timeout sends nothing.
        context.responses = []
        for first in range(0, count * _MOST_ROUNDS, count):
            context.responses.extend(await post(first))
            if any(server.runs for server in context.platform.servers):
                break

    _run(context, post_until_some_ran())


@when('"{name}" is leaving and the gateway has noticed')
def start_leaving(context, name):
    server = _server(context, name)
    context.platform.store.write(
        f'servers/{name}',
        server.entry('draining'),
    )
    _run(context, wait_until(lambda: _is_leaving(context.gateway, name)))


def _is_leaving(gateway, name):
    registered = gateway.fleet_state.servers[name]
    return registered.server.leaving


@when('all servers are removed and the gateway has noticed')
def remove_servers(context):
    for server in context.platform.servers:
        context.platform.store.remove(f'servers/{server.name}')
    _run(context, wait_until(lambda: not context.gateway.fleet_state.servers))


@when('a caller sends the bytes "{payload}"')
def send_bytes(context, payload):
    payload = payload.encode().decode('unicode_escape').encode()

    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        writer.write(payload)
        context.response = await read_response(reader)
        context.bytes_after = await asyncio.wait_for(reader.read(), 5)
        writer.transport.abort()

    _run(context, send())


@when('a caller sends a head of {size:d} bytes')
def send_large_head(context, size):
    extra = f'X-Large: {"x" * size}\r\n'
    _run(context, _timed_call(context, build_request_bytes(extra=extra)))


@then('it gets 200 with the body "{body}" and the server\'s signature')
def check_success(context, body):
    status, fields, received = context.response
    assert (status, received) == (200, body.encode()), context.response
    assert fields['x-upstream-signature'].startswith('by-s-')


@then('each gets 200 with the body "{body}"')
def check_each(context, body):
    for status, _, received in context.responses:
        assert (status, received) == (200, body.encode()), context.responses


@then(
    "the server got the caller's id, the remaining time and its own name",
)
def check_fields(context):
    server = next(
        server for server in context.platform.servers if server.requests
    )
    fields = {name.lower(): value for name, value in server.requests[0].fields}
    assert fields[b'x-attempt-id'] == b'id-1'
    assert fields[b'x-expect-instance'] == server.name.encode()
    assert 500 < int(fields[b'x-request-deadline-ms']) <= 1000
    assert server.requests[0].target == b'/reads/1'


@then('the server ran it once with the body "{body}"')
def check_body(context, body):
    assert context.response[0] == 200, context.response
    assert _run_count(context) == 1
    server = next(
        server for server in context.platform.servers if server.requests
    )
    assert server.requests[0].body == body.encode()


@then('the server ran it once with {size:d} bytes')
def check_size(context, size):
    assert context.response[0] == 200, context.response
    server = next(
        server for server in context.platform.servers if server.requests
    )
    assert server.requests[0].body == bytes(size)


@then('it gets 404 and no server got a request')
def check_not_found(context):
    assert context.response[0] == 404
    assert _arrival_count(context) == 0


@then('the responses come in the order of the requests')
def check_pipeline(context):
    identities = [fields['x-attempt-id'] for _, fields, _ in context.responses]
    assert identities == [f'id-{number}' for number in range(len(identities))]


@then('they took less than {count:d} times as long as one')
def check_parallel(context, count):
    slowest = max(server.work_seconds for server in context.platform.servers)
    assert context.seconds < slowest * count


@then('the post reaches its server after the response to the read')
def check_sequential(context):
    assert context.before == [b'GET']
    assert [response[0] for response in context.responses] == [200, 200]


@then('it was run at most once')
def check_at_most_once(context):
    assert _run_count(context) <= 1


@then('it gets a status of {status:d}')
def check_status(context, status):
    assert context.response[0] == status, context.response


@then('it gets a status of {status:d} with a Retry-After header')
def check_retry_after(context, status):
    assert context.response[0] == status
    assert 0 < float(context.response[1]['retry-after']) <= 2


@then('the servers got {count:d} request')
@then('the servers got {count:d} requests')
def check_arrivals(context, count):
    assert _arrival_count(context) == count


@then('the response comes after about {seconds:g} s')
def check_time(context, seconds):
    assert seconds <= context.seconds < seconds + 0.5


@then("the server's work is cancelled within a second")
def check_cancelled(context):
    assert sum(server.cancelled for server in context.platform.servers) == 1


@then('no request that ran gets 503, 429, 408 or 421')
def check_not_run_statuses(context):
    run = set()
    for server in context.platform.servers:
        run.update(name.decode() for name in server.runs)
    statuses = [status for status, _, _ in context.responses]
    falsely_told = {
        f'id-{number}': status
        for number, status in enumerate(statuses)
        if f'id-{number}' in run and status in _NOT_RUN_STATUSES
    }
    assert not falsely_told, falsely_told
    assert run, f'no request ran; statuses {statuses}'


@then('"{name}" got no request')
def check_no_request(context, name):
    server = getattr(context, 'renamed_server', None) or _server(context, name)
    assert server.arrivals == 0
    assert all(response[0] == 200 for response in context.responses)


@then('"{more}" got more requests than "{fewer}"')
def check_more(context, more, fewer):
    assert _server(context, more).arrivals > _server(context, fewer).arrivals


@then('its connection is closed')
def check_closed(context):
    assert context.bytes_after == b''


@then(
    "the request's log line has its server, the outcome "
    '"{outcome}" and the reason',
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
    metrics = render_metrics(context.gateway.state).decode()
    name = 'zinniaturn_gateway_requests_total'
    line = f'{name}{{outcome="answered",route="{route}"}} {count}'
    assert line in metrics, metrics
    assert (
        f'zinniaturn_gateway_answer_seconds_count{{route="{route}"}}' in metrics
    )


@when(
    '{count:d} withdrawals from the retry budget are made and the settings '
    'change'
)
def withdraw_and_change_settings(context, count):
    state = context.gateway.state
    retry_budget = state.retry_budget('pool')
    for _ in range(count):
        assert retry_budget.try_withdraw(context.loop.time(), 1)
    bounds = replace(state.settings.bounds, retry_ratio=0.1)
    context.gateway.apply(replace(state.settings, bounds=bounds))


@then('{count:d} withdrawals are still counted')
def check_withdrawn(context, count):
    retry_budget = context.gateway.state.retry_budget('pool')
    assert len(retry_budget.withdrawn) == count
    assert retry_budget.ratio == 0.1


@given('a log that writes to an unread pipe')
def unread_log(context):
    reading, writing = os.pipe()
    context.add_cleanup(os.close, reading)
    context.add_cleanup(os.close, writing)
    context.event_log = EventLog('vm-1', writing)
    context.event_log.set_nonblocking()
    context.event_log.regular_quota.lines_per_second = 10**9


@when('{count:d} lines are written to it')
def write_lines(context, count):
    for _ in range(count):
        context.event_log.write(LogEvent.GATEWAY_READY)
    context.lines_written = count


@then('some lines were dropped and counted, and no write blocked')
def check_dropped(context):
    assert 0 < context.event_log.dropped_lines < context.lines_written


@when(
    'a caller sends a body of {size:d} bytes, one every {pause:g} s, with a '
    'head timeout of 3 s',
)
def send_slowly(context, size, pause):
    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        payload = build_request_bytes(
            'POST', '/posts/1', body=bytes(size), wait_ms=9000
        )
        writer.write(payload[:-size])
        for _ in range(size):
            await asyncio.sleep(pause)
            writer.write(bytes(1))
        context.response = await read_response(reader)
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
        context.response = await read_response(reader)
        writer.transport.abort()

    _run(context, send())


@given('probing servers raises an unexpected exception')
def break_prober(context):
    scheduler = context.gateway.dispatcher.attempt_runner.scheduler
    context.prober = scheduler.search.prober
    context.working_wire_format = context.prober.wire_format
    context.prober.wire_format = None


@when('probing works again and a caller reads')
def repair_prober(context):
    context.prober.wire_format = context.working_wire_format
    read_once(context)


@given('reading the store raises an unexpected exception once')
def break_store_read(context):
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


@then('the gateway applies it')
def check_in_force(context):
    fleet_state = context.gateway.fleet_state
    _run(context, wait_until(lambda: 'other' in fleet_state.tables.routes))


@then('the log reports the exception')
def check_fault_logged(context):
    rows = context.gateway.event_log.rows
    assert any(row['event'] == 706 and row['reason'] for row in rows)


@when(
    'a caller {asks}, offering "{protocol}", and again on its connection, '
    '{sent}'
)
def offer_protocol(context, asks, protocol, sent):
    method, target, body = {
        'reads': ('GET', '/reads/1', b''),
        'posts': ('POST', '/posts/1', b'ledger'),
    }[asks]
    offer = (
        f'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: {protocol}\r\n'
        'HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n'
    )
    payloads = [
        build_request_bytes(
            method, target, request_id=f'id-{number}', body=body, extra=offer
        )
        for number in range(2)
    ]

    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        context.responses = []
        for payload in _parts(payloads, sent):
            writer.write(payload)
            if sent == 'after the answer':
                context.responses.append(await read_response(reader))
            else:
                await asyncio.sleep(0)
        while len(context.responses) < len(payloads):
            context.responses.append(await read_response(reader))
        writer.write_eof()
        context.bytes_after = await asyncio.wait_for(reader.read(), 5)
        writer.transport.abort()

    _run(context, send())


def _parts(payloads, sent):
    """Return the bytes of two requests in the parts that are written."""
    whole = b''.join(payloads)
    parts = {
        'after the answer': payloads,
        'at once': [whole],
        'byte by byte': [whole[at : at + 1] for at in range(len(whole))],
    }
    return parts[sent]


@then('its connection has brought nothing else')
def check_nothing_else(context):
    assert context.bytes_after == b'', context.bytes_after


@then('each of its requests ran once')
def check_ran_once(context):
    runs = Counter()
    for server in context.platform.servers:
        runs.update(server.runs)
    assert runs == {b'id-0': 1, b'id-1': 1}, runs
