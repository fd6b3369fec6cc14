"""Steps of clients that keep to no limits, at a gateway process."""

import asyncio
import json
import tempfile
from collections import deque
from pathlib import Path

from behave import given, then, when

from features.support.gateway import (
    build_config,
    build_request_bytes,
    build_route_row,
    read_response,
    send_request,
)
from features.support.untrusted_crowd import BODY_BYTES, METRICS_PORT, Crowd
from features.support.watched_vms import LARGEST_BODY, SizedServer, Watch
from zinniaturn.experiments.soak.vms import make_vms
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.platform.standins import StoreStandIn

_MIB = 1024 * 1024
_BYTES_PER_MEGABYTE = 10**6
# The descriptors that a VM needs for files.
_FILE_DESCRIPTORS = 200
_CROWD_SECONDS = 3
_SETTLE_SECONDS = 1
_SAMPLE_SECONDS = 0.1
_PATIENCE_SECONDS = 20
_ATTEMPT_SECONDS = 5
_SUCCESS = 200
_REFUSED = 503
_MOST_REFUSALS = 5
_READY = b'GET /readyz HTTP/1.1\r\nHost: readiness\r\n\r\n'
_ROUTES = (
    build_route_row('reads', '/reads/', 'idempotent', timeout_ms=4000),
    build_route_row('posts', '/posts/', 'non_idempotent', timeout_ms=4000),
)


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("a store and servers that answer a crowd's requests")
def start_platform(context):
    async def start():
        context.store = StoreStandIn()
        context.servers = []
        await context.store.start()
        context.closers.append(context.store.stop)
        for name in ('s-1', 's-2'):
            server = SizedServer(
                name=name,
                slots=16,
                queue=64,
                requests=deque(maxlen=1),
                limits=CallerLimits(body_bytes=LARGEST_BODY),
            )
            await server.start()
            context.servers.append(server)
            context.closers.append(server.stop)
            context.store.write(f'servers/{name}', server.entry())

    _run(context, start())


@given(
    'a gateway process with {megabytes:d} MB and {descriptors:d} descriptors, '
    'and bodies of up to {body}'
)
def start_process(context, megabytes, descriptors, body):
    if 'vm' in context:
        context.vm.kill()
    limits = {
        'max_header_bytes': 16_384,
        'max_body_bytes': {'1 MB': BODY_BYTES, '64 MiB': LARGEST_BODY}[body],
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15_000,
    }
    context.store.write('op/config', build_config(_ROUTES, **limits))
    context.limits = {'memory_mb': megabytes, 'max_fds': descriptors}
    _start_vms(context, 1)


def _build_check():
    return _READY


def _start_vms(context, count):
    """Start gateway processes; the first is the one that callers use."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    vms = make_vms(count, context.store.port, Path(folder.name))
    context.watches = [Watch(vm) for vm in vms]
    for vm in vms:
        settings = json.loads(vm.settings_path.read_text())
        settings['limits'] = context.limits
        vm.settings_path.write_text(json.dumps(settings))
        vm.metrics_port = METRICS_PORT
        vm.start()
        context.add_cleanup(vm.kill)
    for started in vms:
        _run(context, _wait_until_answered(started.readiness, _build_check))
    context.vm = vms[0]
    context.watch = context.watches[0]
    sampling = [
        context.loop.create_task(watch.run()) for watch in context.watches
    ]

    async def stop():
        for task in sampling:
            task.cancel()

    context.closers.append(stop)


@given(
    'two gateway processes with {megabytes:d} MB, and servers that respond '
    'only to the second'
)
def start_pair(context, megabytes):
    context.limits = {'memory_mb': megabytes, 'max_fds': 4100}
    limits = {'max_header_bytes': 16_384, 'max_body_bytes': LARGEST_BODY}
    routes = (
        build_route_row('reads', '/reads/', 'idempotent', timeout_ms=20_000),
        build_route_row(
            'posts', '/posts/', 'non_idempotent', timeout_ms=20_000
        ),
    )
    context.store.write('op/config', build_config(routes, **limits))
    _start_vms(context, 2)
    for server in context.servers:
        server.silent_to = context.vm.host
    check_ordinary(context)


@then('both processes live and have kept within their memory and descriptors')
def check_both_within(context):
    for watch in context.watches:
        context.watch = watch
        check_within(context)


async def _ask(address, request):
    """Return the status and body of a request, or why there is none."""
    try:
        answer = await send_request(address, request, _ATTEMPT_SECONDS)
    except (OSError, EOFError) as error:
        return repr(error), b''
    return answer[0], answer[2]


async def _wait_until_answered(address, build):
    """Repeat a request until it is answered with 200."""
    found = []
    loop = asyncio.get_running_loop()
    until = loop.time() + _PATIENCE_SECONDS
    while loop.time() < until:
        found.append(await _ask(address, build()))
        if found[-1][0] == _SUCCESS:
            return
        await asyncio.sleep(_SAMPLE_SECONDS)
    raise AssertionError(f'no answer, but {found[-5:]}')


@when('at {place}, {count:d} clients {action}')
def open_crowd(context, place, count, action):
    crowd = Crowd(context.vm.host)
    context.crowd = crowd
    context.closers.append(crowd.close)

    async def run():
        crowd.open(count, action, place)
        await asyncio.wait(crowd.tasks, timeout=_CROWD_SECONDS)
        # What has been sent is still being received and handled.
        await asyncio.sleep(_SETTLE_SECONDS)

    _run(context, run())


@when('they have left')
def close_crowd(context):
    _run(context, context.crowd.close())


@then('an ordinary read and an ordinary post are answered{beside}')
def check_beside(context, beside):
    check_ordinary(context)


@then('an ordinary read and an ordinary post are answered')
def check_ordinary(context):
    numbers = iter(range(1000))

    def build(method, target):
        return build_request_bytes(
            method, target, f'ordinary-{next(numbers)}', 3000, b'x' * 100
        )

    async def check():
        front = context.vm.address
        await _wait_until_answered(front, lambda: build('GET', '/reads/1'))
        await _wait_until_answered(front, lambda: build('POST', '/posts/1'))
        await _wait_until_answered(context.vm.readiness, lambda: _READY)

    _run(context, check())


@when('a caller posts 64 MiB')
def post_largest(context):
    body = b'x' * LARGEST_BODY
    request = build_request_bytes('POST', '/posts/1', 'id-1', 20_000, body)
    _send_largest(context, request)


@when('a caller posts 64 MiB in chunks')
def post_chunks(context):
    request = build_request_bytes('POST', '/posts/1', 'id-2', 20_000)
    head = request.replace(b'Content-Length: 0', b'Transfer-Encoding: chunked')
    chunk = b'10000\r\n%b\r\n' % (b'x' * 65_536)
    chunks = chunk * (LARGEST_BODY // 65_536)
    _send_largest(context, b''.join((head, chunks, b'0\r\n\r\n')))


@when('a caller reads an answer of 64 MiB')
def read_largest(context):
    _send_largest(
        context,
        build_request_bytes(
            'GET', '/reads/1', 'id-3', 20_000, extra='X-Body: largest\r\n'
        ),
    )


@when('a caller {action}, again after each 503')
def send_until_taken(context, action):
    for _ in range(_MOST_REFUSALS):
        context.execute_steps(f'When a caller {action}')
        if context.answer[0] != _REFUSED:
            return


def _send_largest(context, request):
    async def send():
        reader, writer = await asyncio.open_connection(
            *context.vm.address, limit=_MIB
        )
        writer.write(request)
        async with asyncio.timeout(_PATIENCE_SECONDS):
            status, _, body = await read_response(reader)
        writer.transport.abort()
        return status, len(body)

    context.answer = _run(context, send())


@then('it is answered with 200')
def check_largest(context):
    assert context.answer[0] == _SUCCESS, context.answer


@then('the process lives and has kept within its memory and descriptors')
def check_within(context):
    context.watch.sample()
    print(context.watch.peaks)
    peaks = context.watch.peaks
    assert peaks.is_alive
    memory = peaks.memory_bytes + peaks.unread_bytes
    most_memory = context.limits['memory_mb'] * _BYTES_PER_MEGABYTE
    assert memory <= most_memory, peaks
    most_descriptors = context.limits['max_fds'] - _FILE_DESCRIPTORS
    assert peaks.descriptors <= most_descriptors, peaks
