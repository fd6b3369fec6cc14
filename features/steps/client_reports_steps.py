"""Steps of the counts of clients that were refused."""

import asyncio
from types import MappingProxyType

from behave import given, then, when

from zinniaturn.http1.client_account import ClientAccount
from zinniaturn.http1.client_limits import Place
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.listener import Listener
from zinniaturn.http1.losses import Loss, Losses

_PATIENCE_SECONDS = 10
_HOST = '127.0.0.1'
_SENT = MappingProxyType(
    {
        'declares 101 bytes': b'POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n',
        'sends a head of 20 KB': b'GET / HTTP/1.1\r\na: %b\r\n\r\n'
        % (b'x' * 20_000),
        'sends half a head': b'GET / HT',
        'sends no HTTP': b'\0\0\0\0',
    }
)


class _Service:
    limits = CallerLimits(body_bytes=100, header_seconds=0.2)
    is_stopping = False


@given('a listener for bodies of up to 100 bytes and heads within 0.2 s')
def start_listener(context):
    context.account = ClientAccount.build(context.loop.time)
    door = context.account.door(Place.CALLERS)
    context.listener = Listener(_Service(), door)
    context.loop.run_until_complete(context.listener.start(_HOST, 0))

    async def stop():
        context.listener.close()

    context.closers.append(stop)


@when('one of its clients {action}')
def send(context, action):
    async def run():
        reader, writer = await asyncio.open_connection(
            _HOST, context.listener.port
        )
        writer.write(_SENT[action])
        async with asyncio.timeout(_PATIENCE_SECONDS):
            head = await reader.readuntil(b'\r\n')
        writer.transport.abort()
        return int(head.split()[1])

    context.status = context.loop.run_until_complete(run())


@then('it gets {status:d} and is counted once as "{loss}"')
def check_counted(context, status, loss):
    assert context.status == status, context.status
    losses = context.account.losses
    assert losses.counts == {(Loss(loss), Place.CALLERS): 1}, losses
    assert losses.hosts == {_HOST: 1}, losses


@when('20 clients wait and then one of another address is refused')
def note_losses(context):
    context.losses = Losses()
    for number in range(20):
        host = f'192.0.2.{number}'
        context.losses.note(Loss.PAUSED, Place.CALLERS, host)
    context.losses.note(Loss.REFUSED, Place.CALLERS, 'refused')


@then('only the refused one is named')
def check_named(context):
    assert context.losses.hosts == {'refused': 1}, context.losses
