"""Steps of the limits on callers."""

import asyncio
import socket

from aiohttp import web
from behave import given, then, when

from features.support.builders import build_route, build_tables
from features.support.time_limits import time_limit
from zinniaturn.entry import Entry
from zinniaturn.limits import LimitName
from zinniaturn.limits.descriptors import DescriptorBudget
from zinniaturn.settings import EntrySettings
from zinniaturn.standins import StoreStandIn
from zinniaturn.tables import Pool, Server

_WAIT_SECONDS = 60
_LARGE_BYTES = 64_000_000
_GET = b'GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n'


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def _answer_large(request):
    response = web.StreamResponse(headers={'Content-Length': str(_LARGE_BYTES)})
    await response.prepare(request)
    block = bytes(1_000_000)
    for _ in range(_LARGE_BYTES // len(block)):
        await response.write(block)
    return response


async def _take_body(request):
    await request.read()
    return web.Response()


async def _start_server(context):
    application = web.Application(client_max_size=_LARGE_BYTES)
    application.router.add_get('/{path:.*}', _answer_large)
    application.router.add_post('/{path:.*}', _take_body)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    context.closers.append(runner.cleanup)
    return runner.addresses[0][1]


async def _start_entry(context, **fields):
    store = StoreStandIn()
    await store.start()
    port = await _start_server(context)
    entry = Entry(
        EntrySettings(
            name='entry-0',
            port=0,
            admin_port=0,
            peer_port=0,
            store_url=store.url,
            address_lifetime_seconds=0.1,
            **fields,
        ),
    )
    await entry.start()
    server = Server('large-0', '127.0.0.1', port, 4)
    tables = build_tables(
        1,
        [build_route('all', 'large')],
        [Pool('large', (server,))],
    )
    assert entry.state.installed.install(tables)
    context.entry = entry
    context.closers.extend([store.stop, entry.stop])


@given('an entry that allows {count:d} connections per caller')
def start_connection_limit(context, count):
    _run(context, _start_entry(context, max_connections_per_caller=count))


@given('an entry that waits {seconds:g} s for a head')
def start_head_limit(context, seconds):
    _run(context, _start_entry(context, head_seconds=seconds))


@given('an entry that waits {seconds:g} s for progress of a body')
def start_body_limit(context, seconds):
    _run(context, _start_entry(context, body_seconds=seconds))


@given('an entry that waits {seconds:g} s for progress of a reader')
def start_reader_limit(context, seconds):
    _run(context, _start_entry(context, reader_seconds=seconds))


async def _connect(context):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1',
        context.entry.port,
    )

    async def close():
        writer.close()

    context.closers.append(close)
    return reader, writer


async def _answer_head(connection, request=_GET):
    reader, writer = connection
    writer.write(request)
    async with time_limit(_WAIT_SECONDS):
        head = await reader.readuntil(b'\r\n\r\n')
        _, _, rest = head.lower().partition(b'content-length: ')
        await reader.readexactly(int(rest.partition(b'\r\n')[0]))
    return head


@when('a caller opens {count:d} connections')
def open_connections(context, count):
    async def open_all():
        context.connections = []
        for _ in range(count - 1):
            connection = await _connect(context)
            assert b' 200 ' in await _answer_head(connection)
            context.connections.append(connection)
        context.connections.append(await _connect(context))

    _run(context, open_all())


@then('the last is rejected with 503 and code "{code}" and closed')
def check_refused(context, code):
    async def read():
        reader, _ = context.connections.pop()
        async with time_limit(_WAIT_SECONDS):
            return await reader.read()

    response = _run(context, read())
    assert response.startswith(b'HTTP/1.1 503 '), response
    assert f'Zinniaturn-Code: {code}\r\n'.encode() in response, response
    assert b'Zinniaturn-Outcome: not-run\r\n' in response, response


@then('the first still gets an answer')
def check_first(context):
    head = _run(context, _answer_head(context.connections[0]))
    assert b' 200 ' in head, head


@then('once one is closed a new one gets an answer')
def check_new(context):
    async def replace():
        context.connections.pop()[1].close()
        async with time_limit(_WAIT_SECONDS):
            while context.entry.callers.admission.count > 2:
                await asyncio.sleep(0.01)
        return await _answer_head(await _connect(context))

    assert b' 200 ' in _run(context, replace())


def _send(context, data):
    async def send():
        context.connection = await _connect(context)
        context.connection[1].write(data)

    _run(context, send())


@when('a caller sends half a head')
def send_half_head(context):
    _send(context, b'GET /v1/entries HTTP/1.1\r\nHo')


@when('a caller sends half a body')
def send_half_body(context):
    head = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n'
    _send(context, head + bytes(100_000))


@when('a caller asks for a large answer and does not read')
def ask_large(context):
    async def ask():
        small = socket.socket()
        small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        small.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(small, ('127.0.0.1', context.entry.port))
        await loop.sock_sendall(small, b'GET /a HTTP/1.1\r\nHost: a\r\n\r\n')

        async def close():
            small.close()

        context.closers.append(close)
        context.connection = None

    _run(context, ask())


@then('its connection is closed and "{limit}" is counted')
def check_closed(context, limit):
    async def wait():
        async with time_limit(_WAIT_SECONDS):
            while not context.entry.callers.closed[LimitName(limit)]:
                await asyncio.sleep(0.02)
            while context.entry.callers.open:
                await asyncio.sleep(0.02)

    _run(context, wait())


@when('a caller gets an answer and is idle for {sweeps:d} sweeps')
def idle(context, sweeps):
    async def wait():
        context.connection = await _connect(context)
        assert b' 200 ' in await _answer_head(context.connection)
        callers = context.entry.callers
        now = asyncio.get_running_loop().time()
        for number in range(sweeps):
            callers.sweep(list(callers.open), now + number)

    _run(context, wait())


@then('its connection still gets an answer')
def check_idle(context):
    assert b' 200 ' in _run(context, _answer_head(context.connection))


@then(
    'a limit of {limit:d} open files allows {allowed:d} of {wanted:d} '
    'connections',
)
def check_descriptors(context, limit, allowed, wanted):
    assert DescriptorBudget(limit).allowed_connections(wanted) == allowed
