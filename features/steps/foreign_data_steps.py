"""Steps of data that other programs have written, of any kind."""

import asyncio
import base64
import json
import math
import random
import socket
import tempfile
import zlib
from pathlib import Path
from types import MappingProxyType

import msgspec
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.foreign_data import (
    changed_documents,
    changed_messages,
    documents,
    held_request,
    odd_datagram,
    server_entry,
    settings_files,
    store_replies,
    vm_record,
)
from features.support.gateway import (
    build_config,
    build_document,
    build_fleet_state,
    build_record,
    build_registered,
    build_request,
    build_route_row,
    build_snapshot,
    hear,
    wait_until,
)
from features.support.recorded_messages import F0F2C2E
from zinniaturn.clock import ManualClock
from zinniaturn.errors import CodedError
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.datagrams import (
    DatagramKind,
    StateClaim,
    decode_datagram,
    encode_datagram,
)
from zinniaturn.fleet.domain import VmStage, VmStatus
from zinniaturn.fleet.fleet_state import FleetState, StateFingerprint
from zinniaturn.fleet.messages import (
    StateMessage,
    build_state_message,
    decode_state,
    encode_message,
    snapshot_from_message,
)
from zinniaturn.fleet.status_rows import decode_statuses, encode_statuses
from zinniaturn.fleet.vms import VmTable, list_statuses
from zinniaturn.http1.messages import Response
from zinniaturn.platform.documents import decode_document
from zinniaturn.platform.exceptions import SettingsFileError
from zinniaturn.platform.settings_file import read_settings
from zinniaturn.platform.store import PlatformStore
from zinniaturn.platform.wire_format import PlatformWireFormat
from zinniaturn.relay.messages import decode_reply, decode_request
from zinniaturn.tables.matching import RouteMatcher
from zinniaturn.tenants import TenantTable

_EXAMPLES = 200
_DEEP_ENTRY = b'{"trace":%b' % (b'[' * 1200)
_MOST_CHARACTERS = 300
_LONGEST_SECONDS = 1e6
_MS_PER_SECOND = 1000
_WIRE = PlatformWireFormat()


class _PageStore(PlatformStore):
    """A store client that gets one page of given entries."""

    def __init__(self, entries):
        super().__init__(('127.0.0.1', 1), '')
        self.body = json.dumps(
            {
                'items': [
                    {
                        'key': key,
                        'value': base64.b64encode(raw).decode(),
                        'revision': 5,
                    }
                    for key, raw in sorted(entries.items())
                ],
                'more_pages': False,
                'current_rev': 9,
            }
        ).encode()

    async def _call(self, method, path, body=None):
        return Response(200, b'', [(b'Store-Era', b'1')], self.body)


def _encode(document):
    return json.dumps(document).encode()


_SOUND = MappingProxyType(
    {
        'op/config': _encode(build_config()),
        'servers/s-sound': _encode(server_entry()),
        'zinniaturn/vms/vm-2': _encode({**vm_record(), 'name': 'vm-2'}),
    }
)


def _foreign_entries(kind):
    """Return a strategy for a key and its value."""
    strategies = {
        'server entries': (
            st.sampled_from(('servers/i-odd', 'servers/a\r\nX-Forged: 1')),
            changed_documents(server_entry()),
        ),
        'VM records': (
            st.just('zinniaturn/vms/vm-odd'),
            changed_documents(vm_record()),
        ),
        'held requests': (
            st.just('zinniaturn/held/0f0f0f0f0f0f0f0f'),
            changed_documents(held_request()),
        ),
        'bytes': (
            st.sampled_from(('a', 'servers/x', 'zinniaturn/vms/y', 'zz')),
            st.binary(max_size=60),
        ),
    }
    return st.tuples(*strategies[kind])


def _check_sound(snapshot, state):
    assert 's-sound' in state.servers, state.servers
    assert state.tables is not None
    assert 'vm-2' in {vm.record.name for vm in state.vms}
    assert all(len(text) < _MOST_CHARACTERS for text in snapshot.unreadable)


def _check_requests(state):
    """Check that each server's request is what its caller has sent."""
    plain = len(_WIRE.server_request(build_request(), 's-1', 1).split(b'\r\n'))
    for name in state.servers:
        payload = _WIRE.server_request(build_request(), name, 1)
        assert len(payload.split(b'\r\n')) == plain, name


def _tell_other_vm(state):
    """Return the state of a VM that got it from this one."""
    raw = encode_message(build_state_message(state, StateFingerprint()))
    other = build_fleet_state(ManualClock(100), state.decode)
    snapshot = snapshot_from_message(*decode_state(raw), other)
    other.install(snapshot, 100)
    return other


def _tell_of_vms(state):
    """Return the VMs that another VM gets to know from this one."""
    vms = VmTable(build_record(), ManualClock(100))
    vms.update_records([stored.record for stored in state.vms])
    for stored in state.vms:
        hear(vms, stored.record)
        status = vms.status_of(stored.record.name)
        decode_datagram(
            encode_datagram(
                DatagramKind.PUSH,
                1,
                vms.own_status,
                StateClaim(state.revision, state.digest, 1, 1),
                [status],
            )
        )
    return decode_statuses(encode_statuses(list_statuses(vms)))


def _reachable(record):
    """Try to reach a VM as its record says; odd addresses would raise."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as endpoint:
        endpoint.setblocking(False)
        try:
            endpoint.sendto(b'', ('127.0.0.1', record.exchange[1]))
        except OSError:
            return


@then(
    'any {kind} beside sound entries leaves those in force here and on a VM '
    'that is told of them'
)
def check_entries(context, kind):
    def check(foreign):
        entries = {**_SOUND, **dict(foreign)}
        store = _PageStore(entries)
        snapshot = context.loop.run_until_complete(store.read_snapshot())
        state = FleetState(ManualClock(100), store.decode_tables)
        state.install(snapshot, 100)
        _check_sound(snapshot, state)
        _check_requests(state)
        other = _tell_other_vm(state)
        assert other.servers.keys() == state.servers.keys()
        assert other.digest == state.digest
        assert len(_tell_of_vms(state)) - 1 == len(state.vms)
        for stored in state.vms:
            _reachable(stored.record)

    _run_cases(st.lists(_foreign_entries(kind), min_size=1, max_size=3), check)


def _run_cases(strategy, check):
    settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)(
        for_all(strategy)(check)
    )()


def _read_document(raw):
    tables = decode_document(build_document(raw=raw))
    RouteMatcher(tables.routes.values())
    for route in tables.routes.values():
        assert 0 <= route.deadline_seconds <= _LONGEST_SECONDS
        assert 0 <= route.objective_seconds <= _LONGEST_SECONDS
        assert 0 <= route.max_attempts <= 1000
        assert all(0 <= share.weight < math.inf for share in route.shares)
    for key, tenant in (tables.tenants or TenantTable()).by_key.items():
        assert key == key.strip()
        assert not set(b'\r\n') & {*key, *tenant.name.encode()}
        assert 0 <= tenant.requests_per_second <= 10**9
        assert 0 <= tenant.burst <= 10**9


def _read_settings_file(raw):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_bytes(raw)
        bounds = read_settings(str(path)).bounds
    assert 0 <= bounds.stop_seconds <= 10**9
    assert 0 <= bounds.probes_per_second <= 10**9


def _read_store_reply(raw):
    store = _PageStore({})
    store.body = raw
    loop = asyncio.new_event_loop()
    try:
        snapshot = loop.run_until_complete(store.read_snapshot())
    finally:
        loop.close()
    state = FleetState(ManualClock(100), store.decode_tables)
    state.install(snapshot, 100)
    _tell_other_vm(state)


def _read_statement(fields):
    response = Response(503, b'', fields)
    statement = _WIRE.statement(response)
    msgspec.json.encode(statement)
    figures = [statement.limit or 0, statement.pause_seconds]
    if statement.load is not None:
        load = statement.load
        figures.extend((load.busy, load.queued, load.slots, load.slowness))
    assert all(0 <= figure <= 10**9 for figure in figures), statement


def _read_timeout(text):
    fields = [(b'X-Request-Deadline-Ms', text)]
    seconds = _WIRE.caller_timeout_seconds(fields)
    assert seconds is None or 0 <= seconds <= _LONGEST_SECONDS, seconds


def _read_state(raw):
    state, content = decode_state(raw)
    other = build_fleet_state()
    snapshot = snapshot_from_message(state, content, other)
    if snapshot is not None:
        other.install(snapshot, 100)
        if state.proof_age_ms is not None:
            as_of = 100 - state.proof_age_ms / _MS_PER_SECOND
            other.proof.prove(content.parts.tables, as_of)
        assert other.proof.age_seconds >= 0, other.proof
        _tell_other_vm(other)
        _tell_of_vms(other)


def _read_statuses(raw):
    vms = VmTable(build_record(), ManualClock(100))
    for status in decode_statuses(raw):
        vms.apply(status)
    decode_statuses(encode_statuses(list_statuses(vms)))


def _field_texts():
    digits = st.text('0123456789,.- eE', max_size=30)
    words = st.sampled_from(
        ('9' * 4000, f'1,2,{"9" * 400}', '3,0,0', '-1,0,4', 'nan', '1e400')
    )
    texts = st.one_of(digits, words, st.text(max_size=20))
    return texts.map(lambda text: text.encode('utf-8'))


def _statement_fields():
    names = st.sampled_from(
        (
            b'X-Upstream-Load',
            b'Server-Limit',
            b'Server-Leaving',
            b'Retry-After',
            b'X-Instance-Id',
        )
    )
    return st.lists(st.tuples(names, _field_texts()), max_size=4)


def _sound_state():
    state = build_fleet_state()
    snapshot = build_snapshot(
        3,
        [build_registered('s-1', host='10.0.0.2')],
        build_document(2),
    )
    state.install(snapshot, 100)
    state.proof.prove(2, 100)
    return state


def _state_messages():
    """Return a strategy for states whose packed content has odd values."""
    raw = encode_message(
        build_state_message(_sound_state(), StateFingerprint())
    )
    parts = msgspec.msgpack.decode(raw)
    packed = StateMessage.__struct_fields__.index('packed')
    contents = changed_messages(zlib.decompress(parts[packed]))
    packed_states = contents.map(
        lambda content: msgspec.msgpack.encode(
            [*parts[:packed], zlib.compress(content), *parts[packed + 1 :]]
        )
    )
    return st.one_of(packed_states, changed_messages(raw))


def _status_tables():
    rows = msgspec.msgpack.encode(
        [['vm-2', 3, 1, 4, ['dc-a', ':8000', ['10.0.0.2', 7000], 50], 0]]
    )
    return changed_messages(rows).map(zlib.compress)


def _readers():
    return {
        'document': (documents(), _read_document),
        'settings file': (settings_files(), _read_settings_file),
        'store reply': (store_replies(), _read_store_reply),
        'server statement': (_statement_fields(), _read_statement),
        "caller's timeout": (_field_texts(), _read_timeout),
        'relayed request': (
            changed_messages(bytes.fromhex(F0F2C2E['relay-request'])),
            decode_request,
        ),
        'relayed reply': (
            changed_messages(bytes.fromhex(F0F2C2E['relay-reply'])),
            decode_reply,
        ),
        'fleet state': (_state_messages(), _read_state),
        'VM table': (_status_tables(), _read_statuses),
    }


@then('reading any {name} gives usable figures or its own error')
def check_reader(context, name):
    strategy, read = _readers()[name]

    def check(raw):
        try:
            read(raw)
        except (CodedError, SettingsFileError) as error:
            assert len(str(error)) < 10 * _MOST_CHARACTERS

    _run_cases(strategy, check)


class _ListedTransport:
    """Keeps the datagrams that are sent."""

    def __init__(self, sent):
        self.sent = sent

    def sendto(self, payload, address):
        self.sent.append(decode_datagram(payload))

    def close(self):
        """Nothing is open."""


@then(
    'after each of {count:d} odd datagrams, with seed {seed:d}, it answers a '
    'ping and can tell what it knows'
)
def check_datagrams(context, count, seed):
    gateway = context.gateway
    peers = gateway.peers
    raw = bytes.fromhex(F0F2C2E['datagram-full'])
    sender = VmStatus('vm-9', 1, VmStage.READY, record=build_record('vm-9'))
    ping = encode_datagram(
        DatagramKind.PING, 77, sender, StateClaim(0, 0, 0, 0)
    )
    sent = []

    async def receive():
        peers.sender.transport.close()
        peers.sender.transport = _ListedTransport(sent)
        random_source = random.Random(seed)
        for _ in range(count):
            peers.datagram_received(
                odd_datagram(random_source, raw), ('127.0.0.1', 7000)
            )
            sent.clear()
            peers.datagram_received(ping, ('127.0.0.1', 7000))
            assert [one.kind for one in sent] == [DatagramKind.ACK], sent
            encode_statuses(list_statuses(gateway.vms))
        gateway.vms.peer_load()
        peers.tick()
        peers.push()

    context.loop.run_until_complete(receive())


@when(
    'another writer stores an entry of 1200 nested lists, which no reader '
    'decodes'
)
def write_foreign(context):
    context.platform.store.write('servers/i-foreign', _DEEP_ENTRY)
    context.loop.run_until_complete(wait_until(lambda: _unreadable(context)))


def _unreadable(context):
    rows = context.gateway.event_log.rows
    return [
        row
        for row in rows
        if row['event'] == LogEvent.SERVERS_UNREADABLE and row['entries']
    ]


@then(
    'the unreadable entry was logged once, with its key and cause, and '
    'counted once'
)
def check_logged_once(context):
    rows = _unreadable(context)
    assert len(rows) == 1, rows
    assert rows[0]['entries'][0].startswith('servers/i-foreign: '), rows
    events = context.gateway.state.counters.events
    counted = events['entry_unreadable']
    assert counted == 1, counted


@when('the unreadable entry is mended, and broken again')
def mend_entry(context):
    store = context.platform.store
    fleet_state = context.gateway.fleet_state

    def is_known():
        return 'i-foreign' in fleet_state.servers

    async def change():
        store.write('servers/i-foreign', server_entry())
        await wait_until(is_known)
        store.write('servers/i-foreign', _DEEP_ENTRY)
        await wait_until(lambda: not is_known())

    context.loop.run_until_complete(change())


@then('the unreadable entry was logged twice')
def check_logged_twice(context):
    assert len(_unreadable(context)) == 2, _unreadable(context)


@when('installing what was read fails for 1 s with an unexpected exception')
def break_install(context):
    gateway = context.gateway

    def fail(document):
        raise OverflowError('a figure that nobody expected')

    async def run():
        sound = gateway.fleet_state.decode
        gateway.fleet_state.decode = fail
        rows = [
            build_route_row('reads', '/reads/', 'idempotent', timeout_ms=900)
        ]
        context.platform.store.write(
            'op/config', build_config(rows, version='00000002')
        )
        await wait_until(lambda: _rows_of(context, LogEvent.FLEET_STORE_LOST))
        await asyncio.sleep(1)
        gateway.fleet_state.decode = sound
        await wait_until(lambda: _rows_of(context, LogEvent.FLEET_STORE_BACK))

    context.loop.run_until_complete(run())


def _rows_of(context, event):
    rows = context.gateway.event_log.rows
    return [row for row in rows if row['event'] == event]


@then(
    'the gateway has logged that it gets nothing from the store, with the '
    'cause, and later that it does again'
)
def check_lost(context):
    lost = _rows_of(context, LogEvent.FLEET_STORE_LOST)
    assert 'OverflowError' in lost[0]['reason'], lost
    assert _rows_of(context, LogEvent.FLEET_STORE_BACK)
