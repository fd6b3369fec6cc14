"""Steps of the outcome table."""

import asyncio
import socket
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when

from features.support.byte_caller import ByteCaller
from features.support.requests import head, receive
from features.support.small_fleet import SmallFleet
from features.support.stepped_server import (
    Close,
    Pause,
    ReadBody,
    Send,
    whole_answer,
)
from zinniaturn.forwarding import ExchangeError
from zinniaturn.outcomes.formatting import format_outcomes
from zinniaturn.outcomes.table import OUTCOMES, Event, Phase
from zinniaturn.standins.faults import CutAnswer, CutRequest, LoseAnswer

_SHED = whole_answer(b'', status=503, extra='Server-Shed: not-run\r\n')
_GARBAGE = b'\x00\x01 not an answer\r\n\r\n'
_LONG = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part of it'
_BAD_CHUNK = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n'
)


def _answers(*steps):
    return lambda request: list(steps)


SCRIPTS = MappingProxyType(
    {
        'garbage during the upload': _answers(Send(_GARBAGE), Pause(5)),
        'shedding during the upload': _answers(
            Send(_SHED), Pause(0.1), Close()
        ),
        'garbage for an answer': _answers(ReadBody(), Send(_GARBAGE), Pause(5)),
        'shedding': _answers(Send(_SHED), Close()),
        'an answer past the deadline': _answers(
            ReadBody(), Send(_LONG), Pause(5)
        ),
        'a bad chunk in the answer': _answers(
            ReadBody(),
            Send(_BAD_CHUNK[:-4]),
            Pause(0.1),
            Send(_BAD_CHUNK[-4:]),
            Pause(5),
        ),
        'a cut answer': _answers(ReadBody(), Send(_LONG), Pause(0.1), Close()),
    }
)
FAULTS = MappingProxyType(
    {
        'a cut upload': [CutRequest(200)],
        'a cut before the answer': [CutAnswer(0, reset=True)],
        'a lost answer': [LoseAnswer()],
    }
)
UPLOADS = MappingProxyType(
    {
        'a cut upload': b'5\r\nhello\r\n' * 40,
        'an upload past the deadline': b'5\r\nhello\r\n',
        'garbage during the upload': b'5\r\nhello\r\n',
        'a bad chunk in the upload': b'5\r\nhello\r\nzz\r\n',
        'shedding during the upload': b'5\r\nhello\r\n',
    }
)


def _record_errors(context, entry):
    """Record the phase and event of every exchange that ends early."""
    context.reached = set()
    original = ExchangeError.__init__

    def note(error, message, phase, event):
        context.reached.add((phase, event))
        original(error, message, phase, event)

    async def restore():
        ExchangeError.__init__ = original

    ExchangeError.__init__ = note
    context.closers.append(restore)


@given('an entry in front of {servers:d} scripted servers')
def start_small_fleet(context, servers):
    context.fleet = SmallFleet(servers)
    context.loop.run_until_complete(context.fleet.start())
    context.closers.append(context.fleet.stop)
    _record_errors(context, context.fleet.entries[0])


async def _refuse_connections(context):
    for proxy in context.fleet.proxies:
        await proxy.refuse_connections()


async def _close_connections_at_once(context):
    state = context.fleet.entries[0].state
    pool = state.connections
    connect = pool.connect

    async def connect_and_close(address):
        connection = await connect(address)
        connection.close()
        return connection

    pool.connect = connect_and_close


async def _never_open_connections(context):
    """Fill the backlog of a listener that accepts no connection."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)

    async def close():
        for endpoint in (listener, *fillers):
            endpoint.close()

    context.closers.append(close)
    fleet = context.fleet
    await fleet.commit([listener.getsockname()[1]])
    installed = fleet.entries[0].state.installed
    while installed.tables.revision < 2:
        await asyncio.sleep(0.01)


async def _no_set_up(context):
    """Do nothing; most faults need only a script or a proxy."""


SET_UPS = MappingProxyType(
    {
        'refused connections': _refuse_connections,
        'connections closed at once': _close_connections_at_once,
        'connections never opened': _never_open_connections,
    }
)


async def _connect(context):
    caller = ByteCaller()
    await caller.open(context.fleet.entries[0].port)
    context.closers.append(caller.close)
    return caller


async def _post_with_fault(context, fault):
    fleet = context.fleet
    await SET_UPS.get(fault, _no_set_up)(context)
    for backend in fleet.backends:
        backend.script = SCRIPTS.get(fault, backend.script)
    fleet.faults = list(FAULTS.get(fault, ()))
    caller = await _connect(context)
    fields = {'Zinniaturn_Deadline_Ms': '400'}
    upload = UPLOADS.get(fault)
    if upload:
        fields['Transfer_Encoding'] = 'chunked'
        caller.send(head('POST', '/postings', 'one', **fields))
        await asyncio.sleep(0.05)
        caller.send(upload)
    else:
        fields['Content_Length'] = '5'
        caller.send(head('POST', '/postings', 'one', **fields))
        caller.send(b'hello')
    context.answer = await receive(caller)


@when('a POST request encounters "{fault}"')
def post_with_fault(context, fault):
    context.loop.run_until_complete(_post_with_fault(context, fault))


def _parse_row(phase, event):
    return Phase[phase.upper().replace('-', '_')], Event(event)


@then('the exchange ended in phase "{phase}" with event "{event}"')
def check_row(context, phase, event):
    assert _parse_row(phase, event) in context.reached, (
        context.reached,
        context.answer,
    )


@then('the POST request\'s outcome is "{outcome}" with code "{code}"')
@then('the GET request\'s outcome is "{outcome}" with code "{code}"')
def check_outcome(context, outcome, code):
    assert context.answer.outcome == outcome, context.answer
    assert context.answer.code == code, context.answer


@then('the POST request\'s outcome is "cut" with code ""')
def check_cut(context):
    assert not context.answer.status, context.answer


@then('the POST request ran {least:d} to {most:d} times')
def check_executions(context, least, most):
    assert least <= context.fleet.executions('one') <= most


@then('every row of the outcome table has an example')
def check_examples(context):
    outline = context.feature.scenarios[0]
    rows = [row for table in outline.examples for row in table.table]
    shown = {_parse_row(row['phase'], row['event']) for row in rows}
    assert shown == set(OUTCOMES), shown ^ set(OUTCOMES)


@then('the table in "{path}" is the one in the code')
def check_printed(context, path):
    assert format_outcomes() in Path(path).read_text()


async def _read_with_fault(context, fault):
    fleet = context.fleet
    fleet.faults = list(FAULTS.get(fault, ()))
    _script_once(fleet, SCRIPTS.get(fault, fleet.backends[0].script))
    caller = await _connect(context)
    caller.send(head('GET', '/cards/1', 'read-one'))
    context.answer = await receive(caller)


def _script_once(fleet, script):
    usual = fleet.backends[0].script
    left = [script]

    def play(request):
        return (left.pop() if left else usual)(request)

    for backend in fleet.backends:
        backend.script = play


@when('a GET request encounters "{fault}" once')
def read_with_fault(context, fault):
    context.loop.run_until_complete(_read_with_fault(context, fault))


@then('the GET request is answered with its own token')
def check_token(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == b'read-one', context.answer


@when('a GET request is cut at one server and refused by the other')
def read_cut_and_refused(context):
    async def run():
        fleet = context.fleet
        pool = fleet.entries[0].state.connections
        connect = pool.connect

        async def connect_once(address):
            if fleet.proxies[0].applied or fleet.proxies[1].applied:
                raise ConnectionRefusedError('refused by the test')
            return await connect(address)

        pool.connect = connect_once
        await _read_with_fault(context, 'a cut before the answer')

    context.loop.run_until_complete(run())
