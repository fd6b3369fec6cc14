"""Steps of answers that break off after any of their bytes."""

import asyncio
from types import MappingProxyType

from behave import then, when

from features.support.cut_links import cut_links
from features.support.cut_scenario import run_until_done, traffic_of
from zinniaturn.http1.backend import BackendConnection, Exchange
from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.http1.exceptions import ExchangeBrokenError
from zinniaturn.platform.standins import ServerFault
from zinniaturn.standins.vm_links import CutShape

_ID = b'a-1'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\n'
    b'X-Upstream-Signature: s\r\nX-Upstream-Load: 1,0,4\r\n'
)
_INTERIM = b'HTTP/1.1 100 Continue\r\nX-Attempt-Id: a-1\r\n\r\n'
_ANSWERS = MappingProxyType(
    {
        'with a length': b'%bContent-Length: 6\r\n\r\nanswer' % _HEAD,
        'without a length': b'%b\r\nanswer' % _HEAD,
        'in chunks': (
            b'%bTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n'
            % _HEAD
        ),
    }
)
_POSTS = 6
_BAD_GATEWAY = 502


class _Transport(asyncio.Transport):
    """A transport whose other side is the test."""

    def write(self, payload):
        """Take a request."""

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def abort(self):
        """The test ends the connection itself."""


async def _received(answer, is_reset):
    """Return the response that a connection gives, ``None`` for none."""
    loop = asyncio.get_running_loop()
    connection = BackendConnection(loop, ByteBudget())
    connection.connection_made(_Transport())
    future = connection.send(Exchange(b'', b'x-attempt-id', _ID))
    if answer:
        connection.data_received(answer)
    if not is_reset:
        connection.eof_received()
    connection.connection_lost(ConnectionResetError() if is_reset else None)
    try:
        return await future
    except ExchangeBrokenError:
        return None


@when(
    'an answer {framed}, {preceded}, is {ended} after each number of its bytes'
)
def break_off(context, framed, preceded, ended):
    before = _INTERIM if preceded == 'after an interim answer' else b''
    answer = before + _ANSWERS[framed]
    is_reset = ended == 'reset'

    async def run():
        return [
            await _received(answer[:count], is_reset)
            for count in range(len(answer) + 1)
        ]

    context.received = context.loop.run_until_complete(run())
    context.may_end_anywhere = framed == 'without a length' and not is_reset
    context.head_bytes = len(before) + answer[len(before) :].index(b'\r\n\r\n')
    context.is_whole = framed != 'without a length' or not is_reset


@then(
    'none that lacks a byte is taken for an answer, and the whole one is if it '
    'could be'
)
def check_broken_off(context):
    *broken, whole = context.received
    if context.may_end_anywhere:
        # A body without a length may end anywhere, but its head may not.
        broken = broken[: context.head_bytes + len(b'\r\n\r\n')]
    taken = [count for count, one in enumerate(broken) if one is not None]
    assert not taken, taken
    if context.is_whole:
        assert (whole.status, whole.body) == (200, b'answer'), whole
    else:
        assert whole is None, whole


@when(
    'callers post by way of {count:d} VMs and servers answer with the fault '
    '"{fault}"'
)
def post_to_faulty(context, count, fault):
    traffic = traffic_of(context)

    async def run():
        if count > 1:
            cut_links(context, [1], CutShape.HANG)
            await traffic.play([1, 2, 3], 1, 5, 2)
        for server in context.platform.servers:
            server.default_fault = ServerFault[fault]
        before = len(traffic.tries)
        for _ in range(_POSTS):
            await traffic.send(1, is_post=True)
        return traffic.tries[before:]

    context.posts = run_until_done(context, run())


@then('every post of them got 502, and ran at most once')
def check_posts(context):
    runs = [context.traffic.runs(one) for one in context.posts]
    assert any(runs), 'none ran'
    assert max(runs) == 1, runs
    statuses = {
        one.status
        for one, count in zip(context.posts, runs, strict=True)
        if count
    }
    assert statuses == {_BAD_GATEWAY}, statuses
