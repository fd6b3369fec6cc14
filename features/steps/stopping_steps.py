"""Steps of graceful shutdown and of leaving servers."""

import asyncio
import contextlib
import json
import random
import signal
import socket
import tempfile
from pathlib import Path
from types import MappingProxyType
from unittest import mock

from behave import given, then, when

from features.support.byte_caller import ByteCaller
from features.support.requests import head, receive
from features.support.small_fleet import SmallFleet, has_long_lifetime
from features.support.stepped_server import (
    Pause,
    ReadBody,
    Send,
    answer_with_token,
    whole_answer,
)
from features.support.time_limits import time_limit
from zinniaturn.clock import ManualClock
from zinniaturn.entry.addresses import (
    EntryAddress,
    exclude_overloaded,
    select_addresses,
)
from zinniaturn.entry.graceful_shutdown import serve_until_addresses_expire
from zinniaturn.entry.overload import OverloadTracker
from zinniaturn.experiments.processes import ProcessGroup, free_port
from zinniaturn.standins.vm_list import VmListStandIn
from zinniaturn.vmlist import ListedVm, VmState

_ANSWER_PART = b'x' * 20
_LARGE_BYTES = 8_000_000


def _answer_download(request):
    """Answer /cards/long in 5 parts with pauses, other targets at once."""
    if request.target != '/cards/long':
        return answer_with_token(request)
    start = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n'
    parts = [
        step for _ in range(5) for step in (Send(_ANSWER_PART), Pause(0.1))
    ]
    return [ReadBody(), Send(start), *parts]


@given('{count:d} entries that stop gracefully')
@given('{count:d} entry that stops gracefully')
def start_entries(context, count):
    _start_entries(context, count)


@given(
    '{count:d} entries that stop gracefully, with addresses valid for '
    '{seconds:d} s'
)
def start_entries_with_lifetime(context, count, seconds):
    _start_entries(context, count, address_lifetime_seconds=seconds)


def _start_entries(context, count, **entry_settings):
    fleet = SmallFleet(
        servers=2, entries=count, script=_answer_download, **entry_settings
    )
    context.fleet = fleet
    context.vm_list = VmListStandIn(lag_seconds=0)
    context.loop.run_until_complete(context.vm_list.start())
    context.closers.append(context.vm_list.stop)
    fleet.first_settings = {'vm_list_url': context.vm_list.url}
    context.loop.run_until_complete(fleet.start())
    context.closers.append(fleet.stop)
    context.loop.run_until_complete(_meet_peers(fleet))


async def _meet_peers(fleet):
    async with time_limit(10):
        while any(
            _live_peers(entry) < len(fleet.entries) - 1
            for entry in fleet.entries
        ):
            for entry in fleet.entries:
                await entry.state.control.gossip.run_round()
                await entry.state.control.reporter.refresh_members()
                for other in fleet.entries:
                    entry.state.control.table.update_member(
                        other.state.control.table.me
                    )


def _live_peers(entry):
    return len(entry.state.control.live_members())


async def _open(context, number=0):
    caller = ByteCaller()
    await caller.open(context.fleet.entries[number].port)
    context.closers.append(caller.close)
    return caller


async def _begin_download(context):
    caller = await _open(context)
    caller.send(head('GET', '/cards/long', 'long'))
    context.download = caller
    while not context.fleet.executions('long'):
        await asyncio.sleep(0.01)


@given('a long download, an upload and a partly sent head at entry {number:d}')
def begin_requests(context, number):
    async def begin():
        await _begin_download(context)
        context.upload = await _open(context)
        fields = {'Transfer_Encoding': 'chunked'}
        context.upload.send(head('POST', '/postings', 'upload', **fields))
        context.upload.send(b'5\r\nhello\r\n')
        context.partial_head = await _open(context)
        context.partial_head.send(
            b'GET /cards/1 HTTP/1.1\r\nX-Request-Id: half\r\n'
        )
        await asyncio.sleep(0.05)

    context.loop.run_until_complete(begin())


@given('a long download and an idle connection at entry {number:d}')
def begin_download(context, number):
    async def begin():
        await _begin_download(context)
        context.idle_caller = await _open(context)
        context.idle_caller.send(head('GET', '/cards/1', 'short'))
        assert (await receive(context.idle_caller)).status == 200

    context.loop.run_until_complete(begin())


@when('entry {number:d} is told to stop')
def tell_to_stop(context, number):
    entry = context.fleet.entries[number]

    async def begin():
        context.stopping = asyncio.ensure_future(entry.stop())
        await asyncio.sleep(0)

    context.fleet.entries = [
        other for other in context.fleet.entries if other is not entry
    ]
    context.stopping_entry = entry
    context.loop.run_until_complete(begin())

    context.closers.append(lambda: _finish_stopping(context, entry))


async def _finish_stopping(context, entry):
    if has_long_lifetime(entry):
        context.stopping.cancel()
        await context.fleet.stop_entry(entry)
    else:
        await context.stopping


@when('the download, the upload and the head continue')
def continue_requests(context):
    async def run():
        await asyncio.sleep(0.3)
        context.upload.send(b'5\r\nworld\r\n0\r\n\r\n')
        context.partial_head.send(b'Host: entry\r\n\r\n')
        context.results = await asyncio.gather(
            receive(context.download),
            receive(context.upload),
            receive(context.partial_head),
        )

    context.loop.run_until_complete(run())


@then('all three get complete answers')
def check_results(context):
    bodies = [(result.status, result.body) for result in context.results]
    whole = (200, _ANSWER_PART * 5)
    assert bodies == [whole, (200, b'upload'), (200, b'half')], bodies


@then('the idle connection is closed')
def check_idle(context):
    async def run():
        async with time_limit(5):
            assert await context.idle_caller.read_to_end() == b''

    context.loop.run_until_complete(run())


@when(
    'the idle caller sends a request and entry {number:d} closes idle '
    'connections at once'
)
def send_and_close_idle(context, number):
    async def send():
        entry = context.fleet.entries[number]
        context.idle_caller.send(head('GET', '/cards/1', 'late'))
        for connection in entry.server.protocols():
            connection.close_if_idle()
        context.late_response = await receive(context.idle_caller)

    context.loop.run_until_complete(send())


@when(
    'entry {number:d} stops and a caller connects and sends as it ends '
    'listening'
)
def connect_as_listening_ends(context, number):
    entry = context.fleet.entries[number]
    context.stopping_entry = entry
    connections = []

    async def expire_and_connect(state):
        await serve_until_addresses_expire(state)
        connection = socket.create_connection(('127.0.0.1', entry.port))
        connection.sendall(head('GET', '/cards/1', 'last'))
        connections.append(connection)

    async def run():
        path = 'zinniaturn.entry.process.serve_until_addresses_expire'
        with mock.patch(path, expire_and_connect):
            context.stopping = asyncio.ensure_future(entry.stop())
            async with time_limit(5):
                while not connections:
                    await asyncio.sleep(0.01)
        caller = ByteCaller()
        streams = await asyncio.open_connection(sock=connections[0])
        caller.reader = streams[0]
        caller.writer = streams[1]
        context.closers.append(caller.close)
        context.late_response = await receive(caller)

    context.loop.run_until_complete(run())


@then('that caller gets {status:d}')
def check_late_response(context, status):
    response = context.late_response
    assert response.status == status, response


@then('the download is complete')
def check_download(context):
    result = context.loop.run_until_complete(receive(context.download))
    assert (result.status, result.body) == (200, _ANSWER_PART * 5), result


@then('entry {number:d} has stopped')
def check_stopped(context, number):
    async def run():
        async with time_limit(10):
            await context.stopping

    context.loop.run_until_complete(run())
    assert context.stopping_entry.state.lifecycle.state == 'stopped'


async def _ask(entry, method, path, request_id='ask'):
    caller = ByteCaller()
    await caller.open(entry.port)
    caller.send(head(method, path, request_id))
    answer = await receive(caller)
    await caller.close()
    return answer


@then('entry {number:d} still serves a caller that has its address')
def check_old_answer(context, number):
    entry = context.stopping_entry
    answer = context.loop.run_until_complete(_ask(entry, 'GET', '/cards/1'))
    assert answer.status == 200, answer


@then('entry {number:d} issues no more keys')
def check_no_keys(context, number):
    entry = context.stopping_entry
    answer = context.loop.run_until_complete(_ask(entry, 'GET', '/v1/keys'))
    assert (answer.outcome, answer.code) == ('not-run', 'draining'), answer


@then('entry {number:d} lists only other entries')
def check_listed(context, number):
    entry = context.stopping_entry
    answer = context.loop.run_until_complete(_ask(entry, 'GET', '/v1/entries'))
    ports = [listed['port'] for listed in json.loads(answer.body)['entries']]
    assert ports == [other.port for other in context.fleet.entries], ports


@given('a caller of entry {number:d} that does not read its large answer yet')
def delay_reading(context, number):
    answer = whole_answer(b'y' * _LARGE_BYTES)

    def script(request):
        return [ReadBody(), Send(answer)]

    async def begin():
        for backend in context.fleet.backends:
            backend.script = script
        context.slow_caller = await _open(context)
        context.slow_caller.send(head('GET', '/cards/1', 'large'))
        while not context.fleet.executions('large'):
            await asyncio.sleep(0.01)

    context.loop.run_until_complete(begin())


@when('the caller resumes reading')
def resume_reading(context):
    async def run():
        await asyncio.sleep(0.3)
        context.answer = await receive(context.slow_caller)

    context.loop.run_until_complete(run())


@then('it receives the complete large answer')
def check_large(context):
    assert len(context.answer.body) == _LARGE_BYTES, context.answer.status


@given('an entry process with a request in flight')
def start_process(context):
    fleet = SmallFleet(servers=1, entries=0, script=_answer_download)
    context.fleet = fleet
    logs = contextlib.ExitStack()
    directory = logs.enter_context(tempfile.TemporaryDirectory())
    context.group = ProcessGroup(Path(directory))

    async def close():
        await context.group.stop_all()
        logs.close()

    async def start():
        await fleet.start()
        port = free_port()
        await context.group.start(
            'entry',
            'entry',
            '--name=entry',
            f'--port={port}',
            f'--admin-port={free_port()}',
            f'--store-url={fleet.store_stand_in.url}',
            '--address-lifetime-seconds=0.1',
            '--address-lag-seconds=0',
        )
        await context.group.wait_for_port('entry', port)
        caller = ByteCaller()
        await caller.open(port)
        context.closers.append(caller.close)
        context.download = caller
        async with time_limit(10):
            while not fleet.executions('ready'):
                caller.send(head('GET', '/cards/1', 'ready'))
                await receive(caller)
        caller.send(head('GET', '/cards/long', 'long'))
        while not fleet.executions('long'):
            await asyncio.sleep(0.01)

    context.loop.run_until_complete(start())
    context.closers.append(fleet.stop)
    context.closers.append(close)


@when('the process gets {signals}')
def send_signals(context, signals):
    async def run():
        for name in signals.split(', '):
            context.group.send_signal('entry', signal.Signals[name])
            await asyncio.sleep(0.1)

    context.loop.run_until_complete(run())


@then('the request {ending} and the process ends with status {status:d}')
def check_process(context, ending, status):
    result = context.loop.run_until_complete(receive(context.download))
    is_whole = (result.status, result.body) == (200, _ANSWER_PART * 5)
    assert is_whole == (ending == 'is whole'), result
    found = context.loop.run_until_complete(context.group.wait('entry', 10))
    assert found == status, found


async def _report_in_table(context):
    fleet = context.fleet
    await fleet.commit([proxy.port for proxy in fleet.proxies], leaving=(0,))


async def _report_in_vm_list(context):
    context.vm_list.put(ListedVm('ledger-0', '127.0.0.1', VmState.LEAVING))


async def _report_in_reply(context):
    extra = 'Server-Leaving: true\r\n'

    def script(request):
        return [ReadBody(), Send(whole_answer(b'bye', extra=extra))]

    fleet = context.fleet
    fleet.backends[0].script = script
    while not fleet.backends[0].executions:
        await _ask(fleet.entries[0], 'GET', '/cards/1')


async def _refuse_connections(context):
    await context.fleet.proxies[0].refuse_connections()


_LEAVING_REPORTS = MappingProxyType(
    {
        'the table': _report_in_table,
        'the VM list': _report_in_vm_list,
        'a reply header': _report_in_reply,
        'a refused connection': _refuse_connections,
    }
)


@when('{source} reports at entry 0 that ledger-0 is leaving')
def report_leaving(context, source):
    context.loop.run_until_complete(_LEAVING_REPORTS[source](context))


@then('ledger-0 gets no new requests from entry {number:d}')
def check_no_requests(context, number):
    fleet = context.fleet

    async def run():
        async with time_limit(20):
            while await _gets_requests(fleet, number):
                await asyncio.sleep(0.05)

    context.loop.run_until_complete(run())


async def _gets_requests(fleet, number):
    """Return whether any of 12 requests reached ledger-0."""
    before = len(fleet.backends[0].requests)
    for _ in range(12):
        answer = await _ask(fleet.entries[number], 'GET', '/cards/1')
        assert answer.status == 200, answer
    return len(fleet.backends[0].requests) > before


@then('16 of 40 entries in 3 data centres are listed, balanced over them')
def check_spread(context):
    entries = [EntryAddress('', port, f'dc-{port % 3}') for port in range(40)]
    picked = select_addresses(entries, random.Random(1))
    counts = sorted(
        sum(entry.data_center == f'dc-{center}' for entry in picked)
        for center in range(3)
    )
    assert counts == [5, 5, 6], counts


def _listed_ports(overloaded):
    tracker = OverloadTracker('entry-0', ManualClock())
    for name in overloaded:
        tracker.receive_note(name, b'1')
    live = [(f'entry-{port}', EntryAddress('', port, '')) for port in range(4)]
    return [address.port for address in exclude_overloaded(live, tracker)]


@then('an overloaded entry is not listed while others are not overloaded')
def check_overloaded_excluded(context):
    assert _listed_ports(['entry-2']) == [0, 1, 3]


@then('every entry is listed when most are overloaded')
def check_all_listed(context):
    assert _listed_ports(['entry-1', 'entry-2', 'entry-3']) == [0, 1, 2, 3]


@when('the store becomes unavailable')
def make_store_unavailable(context):
    context.fleet.store_stand_in.faults.is_out = True


@then('entry {number:d} lists itself')
def check_lists_itself(context, number):
    entry = context.fleet.entries[number]
    answer = context.loop.run_until_complete(_ask(entry, 'GET', '/v1/entries'))
    ports = [listed['port'] for listed in json.loads(answer.body)['entries']]
    assert ports == [entry.port], ports
