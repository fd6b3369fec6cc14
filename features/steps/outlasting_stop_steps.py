"""Steps of requests that may last longer than a process that stops."""

import asyncio
import time

from behave import given, then, when

from features.support.gateway import (
    build_request_bytes,
    read_response,
    wait_until,
)
from features.support.time_limits import time_limit

_NOT_RUN = 503
_CHUNK_BYTES = 100_000
_TIMEOUT_SECONDS = 10


def _servers(context):
    return context.platform.servers


def _runs(context, request_id):
    return sum(server.runs[request_id.encode()] for server in _servers(context))


def _running(context):
    return sum(server.running for server in _servers(context))


async def _exchange(context, request_id, payload):
    """Note how a request on a new connection ends, and when."""
    reader, writer = await asyncio.open_connection(*context.front)
    writer.write(payload)
    try:
        async with time_limit(_TIMEOUT_SECONDS):
            context.ended[request_id] = await read_response(reader)
    except (OSError, EOFError) as error:
        context.ended[request_id] = repr(error), {}, b''
    finally:
        context.ended_at[request_id] = time.monotonic()
        writer.transport.abort()


def _waiting(context):
    scheduler = context.gateway.dispatcher.attempt_runner.scheduler
    return len(scheduler.queue('pool').waiting)


def _post(context, number):
    payload = build_request_bytes(
        'POST', '/posts/1', request_id=f'post-{number}'
    )
    return _exchange(context, f'post-{number}', payload)


def _read(context):
    payload = build_request_bytes(request_id='read')
    return _exchange(context, 'read', payload)


def _prepare(context):
    context.ended = {}
    context.ended_at = {}


def _finish(context):
    context.statuses = [ended[0] for ended in context.ended.values()]


class _SilentGossip:
    """The gossip of a VM that can't encode its own state."""

    def __init__(self, gossip):
        self.gossip = gossip

    def __getattr__(self, name):
        return getattr(self.gossip, name)

    async def announce_stopping(self):
        raise OverflowError('a figure that no message holds')


@given('telling other VMs of the stop fails')
def break_announcement(context):
    state = context.gateway.state
    state.gossip = _SilentGossip(state.gossip)


@given('the servers respond with {size:d} bytes')
def set_body(context, size):
    for server in _servers(context):
        server.body = bytes(size)


@when(
    'it stops, and callers read and post after {seconds:g} s of it, waiting 1 s'
)
def send_late(context, seconds):
    _prepare(context)

    async def send():
        await asyncio.sleep(seconds)
        await asyncio.gather(_post(context, 0), _read(context))

    async def run():
        await asyncio.gather(context.gateway.stop(), send())

    context.loop.run_until_complete(run())
    _finish(context)


@when('a caller {kind} and the gateway stops as a server runs the request')
def stop_in_flight(context, kind):
    _prepare(context)
    request = _read(context) if kind == 'reads' else _post(context, 0)

    async def run():
        ending = asyncio.ensure_future(request)
        await wait_until(lambda: _running(context))
        await context.gateway.stop()
        await ending

    context.loop.run_until_complete(run())
    _finish(context)


@when(
    '{count:d} callers post and the gateway stops as {waiting:d} of them wait'
)
def stop_with_queue(context, count, waiting):
    _prepare(context)

    async def run():
        running = count - waiting
        posts = [
            asyncio.ensure_future(_post(context, number))
            for number in range(running)
        ]
        await wait_until(lambda: _running(context) == running)
        posts.extend(
            asyncio.ensure_future(_post(context, number))
            for number in range(running, count)
        )
        await wait_until(lambda: _waiting(context) == waiting)
        context.stopped_at = time.monotonic()
        await context.gateway.stop()
        await asyncio.gather(*posts)

    context.loop.run_until_complete(run())
    _finish(context)


@when(
    'it stops, and a caller whose post began {begun:g} s into it ends its body '
    'at {ended:g} s'
)
def upload_slowly(context, begun, ended):
    _prepare(context)
    payload = build_request_bytes(
        'POST', '/posts/1', request_id='upload', body=b'ledger'
    )

    async def upload():
        await asyncio.sleep(begun)
        reader, writer = await asyncio.open_connection(*context.front)
        writer.write(payload[:-3])
        await asyncio.sleep(ended - begun)
        writer.write(payload[-3:])
        context.ended['upload'] = await read_response(reader)
        writer.transport.abort()

    async def run():
        await asyncio.gather(context.gateway.stop(), upload())

    context.loop.run_until_complete(run())
    _finish(context)


@when(
    'a caller posts, the gateway stops, and the caller reads the response '
    'within {seconds:g} s'
)
def read_slowly(context, seconds):
    size = len(_servers(context)[0].body)
    payload = build_request_bytes('POST', '/posts/1')

    async def read():
        reader, writer = await asyncio.open_connection(
            *context.front, limit=_CHUNK_BYTES
        )
        writer.write(payload)
        await reader.readuntil(b'\r\n\r\n')
        received = 0
        while received < size:
            chunk = await reader.read(_CHUNK_BYTES)
            received += len(chunk)
            if not chunk:
                break
            await asyncio.sleep(seconds * _CHUNK_BYTES / size)
        writer.transport.abort()
        return received

    async def run():
        reading = asyncio.ensure_future(read())
        await wait_until(
            lambda: any(server.runs for server in _servers(context))
        )
        await context.gateway.stop()
        return await reading

    context.received = context.loop.run_until_complete(run())
    context.expected = size


@then('it has got the whole response')
def check_whole(context):
    assert context.received == context.expected, context.received


@then(
    'each request that got 503 is told to return within {seconds:g} s and has '
    'not run'
)
def check_rejections(context, seconds):
    for request_id, (status, fields, _) in context.ended.items():
        if status == _NOT_RUN:
            assert 0 < float(fields['retry-after']) <= seconds, fields
            assert not _runs(context, request_id), request_id


@then(
    '{served:d} of them get 200, and {rejected:d} get 503 within 0.2 s of the '
    'stop'
)
def check_counts(context, served, rejected):
    statuses = context.statuses
    assert statuses.count(200) == served, statuses
    assert statuses.count(_NOT_RUN) == rejected, statuses
    for request_id, (status, _, _) in context.ended.items():
        if status == _NOT_RUN:
            seconds = context.ended_at[request_id] - context.stopped_at
            assert seconds < 0.2, (request_id, seconds)


@then('{count:d} request has run')
def check_run_count(context, count):
    runs = sum(server.runs.total() for server in _servers(context))
    assert runs == count, runs
