"""Steps of requests that arrive at the end of listening in a planned stop."""

import asyncio
import contextlib
import os
import resource
import socket
import time
from dataclasses import replace

from behave import given, then, when

from features.support.gateway import (
    build_request_bytes,
    read_response,
    replace_gateway,
)
from features.support.time_limits import time_limit

_SERVE_SHARE = 0.72
_HELD_UP_SECONDS = 0.1
_BEFORE_CLOSING_SECONDS = 0.03
_TIMEOUT_SECONDS = 5
_SUCCESS = 200
_MOST_STOPS = 10


@given('the gateway has {seconds:g} s for a planned stop')
def set_stop_seconds(context, seconds):
    gateway = context.gateway
    gateway.settings = replace(
        gateway.settings,
        bounds=replace(gateway.settings.bounds, stop_seconds=seconds),
    )
    context.closes_after = seconds * _SERVE_SHARE


def _connect_and_send(address, count):
    """Connect without the event loop, so that it has accepted nothing yet."""
    sockets = []
    for number in range(count):
        connection = socket.create_connection(address)
        connection.sendall(build_request_bytes(request_id=f'late-{number}'))
        sockets.append(connection)
    return sockets


async def _read_status(connection):
    reader, writer = await asyncio.open_connection(sock=connection)
    try:
        async with time_limit(_TIMEOUT_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        return repr(error)
    finally:
        writer.transport.abort()
    return int(head.split()[1])


@when(
    'it stops, and {count:d} callers connect and send while its loop is held up'
)
def stop_held_up(context, count):
    sockets = []

    def hold_up():
        until = time.monotonic() + _HELD_UP_SECONDS
        sockets.extend(_connect_and_send(context.front, count))
        time.sleep(max(0, until - time.monotonic()))

    async def stop():
        loop = asyncio.get_running_loop()
        loop.call_later(context.closes_after - _BEFORE_CLOSING_SECONDS, hold_up)
        await context.gateway.stop()
        return await asyncio.gather(*map(_read_status, sockets))

    context.statuses = context.loop.run_until_complete(stop())
    assert len(context.statuses) == count


@when(
    'it stops, and {count:d} callers that have just connected send '
    '{seconds:g} s later'
)
def stop_before_send(context, count, seconds):
    async def send_later():
        await asyncio.sleep(context.closes_after - _BEFORE_CLOSING_SECONDS)
        sockets = [
            socket.create_connection(context.front) for _ in range(count)
        ]
        connected_at = time.monotonic()
        await asyncio.sleep(seconds)
        is_punctual = time.monotonic() - connected_at < seconds * 2
        for number, connection in enumerate(sockets):
            payload = build_request_bytes(request_id=f'new-{number}')
            with contextlib.suppress(ConnectionError):
                connection.sendall(payload)
        statuses = await asyncio.gather(*map(_read_status, sockets))
        return is_punctual, statuses

    async def stop():
        sending = asyncio.ensure_future(send_later())
        await context.gateway.stop()
        return await sending

    async def stop_until_punctual():
        # Callers that a stall holds up have not "just connected".
        for number in range(_MOST_STOPS):
            is_punctual, statuses = await stop()
            if is_punctual:
                return statuses
            await replace_gateway(context, f'vm-again-{number}')
        raise TimeoutError('the process stood still in each planned stop')

    context.statuses = context.loop.run_until_complete(stop_until_punctual())


@given('{count:d} callers have connected a second ago, sent none')
def connect_long_ago(context, count):
    async def connect():
        context.sockets = [
            socket.create_connection(context.front) for _ in range(count)
        ]
        await asyncio.sleep(1)

    context.loop.run_until_complete(connect())


@given('{count:d} callers have connected, not accepted yet')
def connect_unaccepted(context, count):
    context.sockets = [
        socket.create_connection(context.front) for _ in range(count)
    ]


@given('{count:d} callers have got a response')
def connect_and_read(context, count):
    async def connect():
        context.sockets = []
        for number in range(count):
            connection = socket.create_connection(context.front)
            connection.sendall(build_request_bytes(request_id=f'1st-{number}'))
            # The copy shares the connection and may be closed.
            reader, writer = await asyncio.open_connection(
                sock=connection.dup()
            )
            status, fields, _ = await read_response(reader)
            assert status == _SUCCESS, (status, fields)
            writer.close()
            context.sockets.append(connection)

    context.loop.run_until_complete(connect())


@when('each of them sends a request and idle connections are closed at once')
def send_and_close_idle(context):
    async def send():
        for number, connection in enumerate(context.sockets):
            payload = build_request_bytes(request_id=f'2nd-{number}')
            connection.sendall(payload)
        # The loop has read nothing since the requests were sent.
        for listener in context.gateway.listeners:
            listener.close()
        return await asyncio.gather(*map(_read_status, context.sockets))

    context.statuses = context.loop.run_until_complete(send())


@then('each of them gets {status:d}')
def check_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@when('listening ends while the process may open no more files')
def close_without_descriptors(context):
    async def close():
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        lowest_free = os.dup(0)
        os.close(lowest_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
        try:
            for listener in context.gateway.listeners:
                listener.close()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    context.loop.run_until_complete(close())


@then('no caller can connect')
def check_refused(context):
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection(context.front).close()
        raise AssertionError('a caller could connect')
