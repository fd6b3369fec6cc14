"""Steps of clients that keep to no limits, at a gateway process."""

import asyncio
import json
import tempfile
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when

from features.support.gateway import (
    build_config,
    build_request_bytes,
    build_route_row,
    read_response,
    send_request,
)
from features.support.untrusted_crowd import BODY_BYTES, METRICS_PORT, Crowd
from zinniaturn.experiments.soak.vms import make_vms
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import find_field
from zinniaturn.platform.standins import ServerStandIn, StoreStandIn

_MIB = 1024 * 1024
_BYTES_PER_MEGABYTE = 10**6
_BYTES_PER_KILOBYTE = 1024
# The descriptors that a VM needs for files.
_FILE_DESCRIPTORS = 200
_LARGEST_BODY = 64 * _MIB
_CROWD_SECONDS = 3
_SETTLE_SECONDS = 1
_SAMPLE_SECONDS = 0.1
_PATIENCE_SECONDS = 20
_ATTEMPT_SECONDS = 5
_SUCCESS = 200
_SIZED_BODIES = MappingProxyType(
    {b'big': b'x' * BODY_BYTES, b'largest': b'x' * _LARGEST_BODY}
)
_READY = b'GET /readyz HTTP/1.1\r\nHost: readiness\r\n\r\n'
_ROUTES = (
    build_route_row('reads', '/reads/', 'idempotent', timeout_ms=4000),
    build_route_row('posts', '/posts/', 'non_idempotent', timeout_ms=4000),
)


class _SizedServer(ServerStandIn):
    """A server whose answers are as large as the request asks for."""

    def _run_request(self, exchange, fault):
        asked = find_field(exchange.request.fields, b'x-body')
        return self._run_sized(exchange, fault, asked)

    async def _run_sized(self, exchange, fault, asked):
        response = await ServerStandIn._run_request(self, exchange, fault)
        response.body = _SIZED_BODIES.get(asked, response.body)
        return response


@dataclass
class _Peaks:
    """What the process and its sockets have taken at most, in samples."""

    descriptors: int = 0
    unread_bytes: int = 0
    memory_bytes: int = 0
    is_alive: bool = True


@dataclass
class _Watch:
    """Samples a process until the scenario's end."""

    vm: object
    peaks: _Peaks = field(default_factory=_Peaks)

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_SECONDS)

    def sample(self):
        peaks = self.peaks
        if not self.vm.is_running():
            peaks.is_alive = False
            return
        folder = Path('/proc') / str(self.vm.process.pid)
        peaks.descriptors = max(
            peaks.descriptors, len(list((folder / 'fd').iterdir()))
        )
        peaks.unread_bytes = max(peaks.unread_bytes, _unread(self.vm.host))
        status = (folder / 'status').read_text()
        kilobytes = int(status.partition('VmHWM:')[2].split()[0])
        peaks.memory_bytes = kilobytes * _BYTES_PER_KILOBYTE


def _unread(host):
    """Return the bytes that the kernel has received for sockets at a host."""
    wanted = ''.join(f'{int(part):02X}' for part in reversed(host.split('.')))
    lines = Path('/proc/net/tcp').read_text().splitlines()[1:]
    rows = [line.split() for line in lines]
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in rows
        # State 0A: a listening socket, which counts connections, not bytes.
        if row[1].startswith(wanted) and row[3] != '0A'
    )


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("a store and servers that answer a crowd's requests")
def start_platform(context):
    async def start():
        context.store = StoreStandIn()
        await context.store.start()
        context.closers.append(context.store.stop)
        for name in ('s-1', 's-2'):
            server = _SizedServer(
                name=name,
                slots=16,
                queue=64,
                requests=deque(maxlen=1),
                limits=CallerLimits(body_bytes=_LARGEST_BODY),
            )
            await server.start()
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
        'max_body_bytes': {'1 MB': BODY_BYTES, '64 MiB': _LARGEST_BODY}[body],
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15_000,
    }
    context.store.write('op/config', build_config(_ROUTES, **limits))
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    vm = make_vms(1, context.store.port, Path(folder.name))[0]
    settings = json.loads(vm.settings_path.read_text())
    settings['limits'] = {'memory_mb': megabytes, 'max_fds': descriptors}
    vm.settings_path.write_text(json.dumps(settings))
    vm.metrics_port = METRICS_PORT
    vm.start()
    context.add_cleanup(vm.kill)
    context.vm = vm
    context.limits = settings['limits']
    _run(context, _wait_until_answered(vm.readiness, lambda: _READY))
    context.watch = _Watch(vm)
    sampling = context.loop.create_task(context.watch.run())

    async def stop():
        sampling.cancel()

    context.closers.append(stop)


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
    body = b'x' * _LARGEST_BODY
    request = build_request_bytes('POST', '/posts/1', 'id-1', 20_000, body)
    _send_largest(context, request)


@when('a caller posts 64 MiB in chunks')
def post_chunks(context):
    request = build_request_bytes('POST', '/posts/1', 'id-2', 20_000)
    head = request.replace(b'Content-Length: 0', b'Transfer-Encoding: chunked')
    chunk = b'10000\r\n%b\r\n' % (b'x' * 65_536)
    chunks = chunk * (_LARGEST_BODY // 65_536)
    _send_largest(context, b''.join((head, chunks, b'0\r\n\r\n')))


@when('a caller reads an answer of 64 MiB')
def read_largest(context):
    _send_largest(
        context,
        build_request_bytes(
            'GET', '/reads/1', 'id-3', 20_000, extra='X-Body: largest\r\n'
        ),
    )


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
