"""Steps of bytes that never end."""

import asyncio
from types import MappingProxyType

import psutil
from behave import given, then, when

from features.support.gateway import (
    HOST,
    build_request_bytes,
    read_response,
    send_request,
    wait_until,
)
from zinniaturn.http1.byte_budget import ByteBudget

_BYTES_PER_MEGABYTE = 1024 * 1024
_SUCCESS = 200
_NOT_RUN = 503
_HEAD = (
    f'POST /posts/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: id-{{}}\r\n'
    'X-Request-Deadline-Ms: 900\r\n'
)
_CHUNKED = f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n'.format(1).encode()
_SENT_PARTS = MappingProxyType(
    {
        'a request line': (b'GET /', b'x' * 4096),
        'header fields': (
            _HEAD.format(1).encode(),
            b'X-More: xxxxxxxxx\r\n' * 100,
        ),
        'a chunked body': (_CHUNKED, b'1000\r\n%b\r\n' % (b'x' * 4096)),
        'a chunk extension': (_CHUNKED, b'x' * 4096),
    }
)
_CHUNK_EXTENSION = b'1;'
_MOST_BLOCKS = 20_000


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _memory():
    return psutil.Process().memory_info().rss


@when('{count:d} callers post at once with a timeout of {seconds:g} s')
def post_at_once(context, count, seconds):
    async def post(number):
        started_at = context.loop.time()
        status, _, _ = await send_request(
            context.front,
            build_request_bytes(
                'POST', '/posts/1', f'id-{number}', round(seconds * 1000)
            ),
        )
        return status, context.loop.time() - started_at

    async def post_all():
        return await asyncio.gather(*(post(number) for number in range(count)))

    before = _memory()
    context.results = _run(context, post_all())
    context.grown = _memory() - before


@then('each was answered with {status:d} within {seconds:g} s')
def check_answered(context, status, seconds):
    for found, elapsed in context.results:
        assert found == status, context.results
        assert elapsed < seconds, context.results


@then('the process took at most {megabytes:d} MB more memory')
def check_memory(context, megabytes):
    assert context.grown < megabytes * _BYTES_PER_MEGABYTE, context.grown


@then('no connection to a server that sends without end is open')
def check_closed(context):
    servers = context.platform.servers
    _run(
        context,
        wait_until(
            lambda: (
                not any(
                    connection.exchanges
                    for server in servers
                    for connection in server.listener.connections
                )
            )
        ),
    )


@when('a caller sends {part} without end')
def send_endlessly(context, part):
    first, repeated = _SENT_PARTS[part]
    if part == 'a chunk extension':
        first += _CHUNK_EXTENSION

    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        response = asyncio.ensure_future(read_response(reader))
        writer.write(first)
        sent = 0
        while not response.done() and sent < _MOST_BLOCKS:
            writer.write(repeated)
            sent += 1
            try:
                await writer.drain()
            except ConnectionError:
                break
            await asyncio.sleep(0)
        context.status = (await asyncio.wait_for(response, 5))[0]
        writer.transport.abort()

    _run(context, send())


@then('it is answered with {status:d} and the connection is closed')
def check_cut_off(context, status):
    assert context.status == status, context.status
    listeners = context.gateway.listeners
    _run(
        context,
        wait_until(
            lambda: not any(listener.connections for listener in listeners)
        ),
    )


@when(
    'a caller declares a body of 100 MB, sends 2 MB of it and only then reads'
)
def send_declared(context):
    head = (
        f'{_HEAD.format(1)}Content-Length: {100 * _BYTES_PER_MEGABYTE}\r\n\r\n'
    )

    async def send():
        reader, writer = await asyncio.open_connection(*context.front)
        writer.transport.pause_reading()
        writer.write(head.encode())
        for _ in range(32):
            writer.write(b'x' * 65_536)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.transport.resume_reading()
        context.status = (await asyncio.wait_for(read_response(reader), 5))[0]
        writer.transport.abort()

    _run(context, send())


@then('it reads {status:d}')
def check_status_read(context, status):
    assert context.status == status, context.status


@given(
    'the process may hold {megabytes:d} MB of bodies that are being received'
)
def set_byte_budget(context, megabytes):
    budget = ByteBudget(megabytes * _BYTES_PER_MEGABYTE)
    context.gateway.byte_budget.most = budget.most


@when('{count:d} callers each send 1 MB of a body of 2 MB and wait')
def send_halves(context, count):
    async def begin(number):
        reader, writer = await asyncio.open_connection(*context.front)
        size = 2 * _BYTES_PER_MEGABYTE
        head = f'{_HEAD.format(number)}Content-Length: {size}\r\n\r\n'
        writer.write(head.encode() + b'x' * _BYTES_PER_MEGABYTE)
        return reader, writer, asyncio.ensure_future(read_response(reader))

    async def begin_all():
        context.callers = [await begin(number) for number in range(count)]
        await asyncio.sleep(0.5)

    _run(context, begin_all())


@then('at least {count:d} of them are told to come back, and nothing has run')
def check_refused(context, count):
    done = [task.result() for _, _, task in context.callers if task.done()]
    assert len(done) >= count, len(done)
    for status, fields, _ in done:
        assert status == _NOT_RUN, status
        assert float(fields['retry-after']) > 0, fields
    assert not any(server.runs for server in context.platform.servers)
    assert len(done) < len(context.callers)


@when('the others send the rest of their bodies')
def send_rest(context):
    async def send():
        waiting = [caller for caller in context.callers if not caller[2].done()]
        context.results = []
        for _, writer, task in waiting:
            writer.write(b'x' * _BYTES_PER_MEGABYTE)
            context.results.append(await asyncio.wait_for(task, 5))

    _run(context, send())


@then('at least {count:d} get 200 and the rest are told to come back')
def check_rest(context, count):
    statuses = [result[0] for result in context.results]
    assert statuses.count(_SUCCESS) >= count, statuses
    assert set(statuses) <= {_SUCCESS, _NOT_RUN}, statuses


@then('no byte is counted as held any more')
def check_none_held(context):
    for _, writer, _ in context.callers:
        writer.transport.abort()
    _run(context, wait_until(lambda: not context.gateway.byte_budget.held))
