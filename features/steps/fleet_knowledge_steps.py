"""Steps of the fleet state."""

import random
from types import MappingProxyType

from behave import given, then, when

from features.support.gateway import (
    build_document,
    build_fleet_state,
    build_record,
    build_registered,
    build_snapshot,
)
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.datagrams import (
    PROTOCOL_VERSION,
    DatagramKind,
    StateClaim,
    decode_datagram,
    encode_datagram,
)
from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus
from zinniaturn.fleet.exceptions import BadDocumentError, PeerMessageError
from zinniaturn.fleet.fleet_state import StateFingerprint
from zinniaturn.fleet.messages import (
    build_state_message,
    decode_state,
    encode_message,
    snapshot_from_message,
)
from zinniaturn.fleet.state_exchange import StateFetcher
from zinniaturn.fleet.status_rows import decode_statuses, encode_statuses
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.messages import Response

_INVALID_DOCUMENT = b'unreadable'
_DATAGRAM_HEADER_BYTES = 28
_DECODERS = MappingProxyType(
    {
        'datagram': decode_datagram,
        'table': decode_statuses,
        'state': decode_state,
    }
)


def _decode(document):
    if document.raw == _INVALID_DOCUMENT:
        raise BadDocumentError('no JSON')
    return FleetTables(document.revision)


def _install_first(context, snapshot):
    context.clock = ManualClock(100)
    context.fleet_state = build_fleet_state(context.clock, _decode)
    context.fleet_state.install(snapshot, context.clock.monotonic())


def _install(context, snapshot):
    now = context.clock.monotonic()
    context.change = context.fleet_state.install(snapshot, now)


@given('a VM that holds revision {revision:d} with server "{name}"')
def hold_server(context, revision, name):
    _install_first(context, build_snapshot(revision, [build_registered(name)]))


@given('a VM that holds revision {revision:d} with server "{name}" leaving')
def hold_leaving(context, revision, name):
    leaving = build_registered(name, leaving=True)
    _install_first(context, build_snapshot(revision, [leaving]))


@given('a VM that holds the document of revision {revision:d}')
def hold_document(context, revision):
    document = build_document(revision)
    _install_first(context, build_snapshot(revision, document=document))


@given('another VM that holds revision {revision:d} with server "{name}"')
def hold_other(context, revision, name):
    context.other = build_fleet_state(context.clock, _decode)
    snapshot = build_snapshot(revision, [build_registered(name)])
    context.other.install(snapshot, context.clock.monotonic())


@when('it reads revision {revision:d} with server "{name}"')
def read_server(context, revision, name):
    _install(context, build_snapshot(revision, [build_registered(name)]))


@when('it reads revision {revision:d} with server "{name}" started later')
def read_restarted(context, revision, name):
    restarted = build_registered(name, started_ms=2)
    _install(context, build_snapshot(revision, [restarted]))


@when('it reads revision {revision:d} with the document of revision {held:d}')
def read_document(context, revision, held):
    _install(context, build_snapshot(revision, document=build_document(held)))


@when(
    'it reads revision {revision:d} with an invalid document '
    'of revision {held:d}',
)
def read_invalid(context, revision, held):
    document = build_document(held, _INVALID_DOCUMENT)
    _install(context, build_snapshot(revision, document=document))


@when('it reads revision {revision:d} without servers after {seconds:g} s')
def read_without_servers(context, revision, seconds):
    context.clock.advance(seconds)
    _install(context, build_snapshot(revision))


@when('{seconds:g} s pass and it reads revision {revision:d} without servers')
def wait_and_read(context, seconds, revision):
    context.clock.advance(seconds)
    _install(context, build_snapshot(revision))


@when('{seconds:g} s pass and expired servers are dropped')
def drop_expired_servers(context, seconds):
    context.clock.advance(seconds)
    context.fleet_state.drop_expired_servers()


@when(
    '{seconds:g} s pass and revision {revision:d} is confirmed '
    'as of {ago:g} s ago',
)
def confirm(context, seconds, revision, ago):
    context.clock.advance(seconds)
    context.fleet_state.confirm(revision, context.clock.monotonic() - ago)


@when('the other reads revision {revision:d} with server "{name}" leaving')
def other_reads(context, revision, name):
    leaving = build_registered(name, leaving=True)
    snapshot = build_snapshot(revision, [leaving])
    context.other.install(snapshot, context.clock.monotonic())


@when('another VM installs its state')
def install_state(context):
    context.other = build_fleet_state(context.clock, _decode)
    raw = encode_message(
        build_state_message(context.fleet_state, context.other.fingerprint)
    )
    snapshot = snapshot_from_message(*decode_state(raw), context.other)
    context.other.install(snapshot, context.clock.monotonic())


class _SlowConnections:
    """Connections whose one response arrives after some time has passed."""

    def __init__(self, clock, seconds, response):
        self.clock = clock
        self.seconds = seconds
        self.response = response

    def take_idle(self, address, now):
        return self

    async def send(self, exchange):
        self.clock.advance(self.seconds)
        return self.response

    def release(self, address, connection, response):
        """Keep nothing."""


@when(
    'another VM fetches its state and {seconds:g} s pass before the response '
    'arrives'
)
def fetch_slowly(context, seconds):
    context.other = build_fleet_state(context.clock)
    raw = encode_message(
        build_state_message(context.fleet_state, context.other.fingerprint)
    )
    fetcher = StateFetcher(
        build_record('vm-2'),
        context.other,
        VmTable(build_record('vm-2'), context.clock),
        _SlowConnections(context.clock, seconds, Response(200, b'', [], raw)),
        random.Random(1),
        lambda: None,
        lambda statuses: None,
        lambda error: None,
    )

    async def fetch():
        fetcher.want_state(context.fleet_state.revision, build_record())
        await fetcher.state_task

    context.loop.run_until_complete(fetch())


@then('the state that it fetched is at least {seconds:g} s old')
def check_fetched_age(context, seconds):
    assert context.other.revision == context.fleet_state.revision
    assert context.other.age_seconds >= seconds, context.other.age_seconds


@when('a VM receives the bytes "{text}" as {kind}')
def receive_bytes(context, text, kind):
    _decode_invalid(context, bytes.fromhex(text), kind)


@when('a VM receives the bytes "" as {kind}')
def receive_nothing(context, kind):
    _decode_invalid(context, b'', kind)


def _decode_invalid(context, raw, kind):
    decode = _DECODERS[kind]
    try:
        decode(raw)
    except PeerMessageError as error:
        context.error = error
    else:
        raise AssertionError('the bytes were decoded')


def _status(name='vm-1', record=None):
    return VmStatus(name, 1_796_000_000, VmStage.READY, 120, record)


def _encode_ping(record=None, news=(), target=''):
    return encode_datagram(
        DatagramKind.PING,
        2**31 + 5,
        _status('front-ub-east-25', record),
        StateClaim(123_456, 2**31 + 7, 786, 2**31 + 9),
        news,
        target,
    )


@when('a datagram of version {version:d} arrives')
def receive_version(context, version):
    raw = bytearray(_encode_ping())
    assert raw[1] == PROTOCOL_VERSION
    raw[1] = version
    _decode_invalid(context, bytes(raw), 'datagram')


@when('{count:d} random byte strings and {altered:d} altered messages arrive')
def receive_random(context, count, altered):
    source = random.Random(7)
    fleet_state = build_fleet_state()
    fleet_state.install(build_snapshot(3, [build_registered()]), 100)
    messages = (
        _encode_ping(build_record(), [_status('vm-2')]),
        encode_statuses([_status('vm-2', build_record())]),
        encode_message(build_state_message(fleet_state, StateFingerprint())),
    )
    raws = [source.randbytes(source.randrange(60)) for _ in range(count)]
    for _ in range(altered):
        raw = bytearray(source.choice(messages))
        raw[source.randrange(len(raw))] = source.randrange(256)
        raws.append(bytes(raw[: source.randrange(len(raw)) + 1]))
    context.decoded_count = 0
    context.rejected_count = 0
    for raw in raws:
        for decode in _DECODERS.values():
            try:
                decode(raw)
            except PeerMessageError:
                context.rejected_count += 1
            else:
                context.decoded_count += 1
    context.decodings = len(raws) * len(_DECODERS)


@then('each is decoded or rejected without any other error')
def check_random(context):
    assert context.decoded_count + context.rejected_count == context.decodings
    assert context.decoded_count
    assert context.rejected_count > context.decoded_count


@then('the message is rejected')
def check_refused(context):
    assert context.error.code == 'fleet-message-invalid'


@then('it holds revision {revision:d} with servers "{names}"')
def check_servers(context, revision, names):
    assert context.fleet_state.revision == revision
    assert sorted(context.fleet_state.servers) == sorted(names.split())


@then('it holds revision {revision:d} with servers ""')
def check_no_servers(context, revision):
    check_servers(context, revision, '')


@then('the snapshot is rejected as older')
def check_older(context):
    assert 'older' in context.change.refused


@then('the tables of revision {revision:d} are in force')
def check_tables(context, revision):
    assert context.fleet_state.tables.revision == revision


@then('the document is rejected with its decoding error')
def check_invalid(context):
    assert context.change.refused == 'no JSON'
    assert context.change.tables_revision is None


@then('server "{name}" is leaving')
def check_leaving(context, name):
    registered = context.fleet_state.servers[name]
    assert registered.server.leaving


@then('server "{name}" is not leaving')
def check_staying(context, name):
    registered = context.fleet_state.servers[name]
    assert not registered.server.leaving


@then('server "{name}" is leaving or gone')
def check_leaving_or_gone(context, name):
    registered = context.fleet_state.servers.get(name)
    assert registered is None or registered.server.leaving


@then('server "{name}" is reported as joined')
def check_joined(context, name):
    assert context.change.joined == (name,)


@then('their digests are equal')
def check_equal(context):
    assert context.fleet_state.digest
    assert context.fleet_state.digest == context.other.digest


@then('their digests differ')
def check_differ(context):
    assert context.fleet_state.digest != context.other.digest


@then('both hold the same state')
def check_same(context):
    assert context.other.servers == context.fleet_state.servers
    assert context.other.revision == context.fleet_state.revision
    assert context.other.digest == context.fleet_state.digest


@then("the state's age is {seconds:g} s")
def check_age(context, seconds):
    difference = context.fleet_state.age_seconds - seconds
    assert abs(difference) < 1e-6


def _sent_state(context):
    state = build_state_message(context.fleet_state, context.other.fingerprint)
    return decode_state(encode_message(state))


@then('the state that it sends the other contains no servers')
def check_without(context):
    _, content = _sent_state(context)
    assert content.servers is None


@then('the state that it sends the other contains servers')
def check_with(context):
    _, content = _sent_state(context)
    assert len(content.servers.rows) == 1


@when('the first reads revision {revision:d} with server "{name}" leaving')
def first_reads(context, revision, name):
    leaving = build_registered(name, leaving=True)
    _install(context, build_snapshot(revision, [leaving]))


@when('the other installs the received parts')
def install_rest(context):
    snapshot = snapshot_from_message(*_sent_state(context), context.other)
    context.other.install(snapshot, context.clock.monotonic())


@when('the other changes between its request and the response')
def change_between(context):
    context.sent = _sent_state(context)
    snapshot = build_snapshot(7, [build_registered('b')])
    context.other.install(snapshot, context.clock.monotonic())


@then('the response is not installed')
def check_not_installed(context):
    assert snapshot_from_message(*context.sent, context.other) is None


@when('a VM without a state is asked for it')
def request_empty_state(context):
    context.state = build_state_message(build_fleet_state(), StateFingerprint())


@then('it reports an age beyond any bound')
def check_unbounded_age(context):
    assert context.state.age_ms > 10**8


@given('a VM that serves callers at "{front}" and other VMs at "{host}"')
def build_own_record(context, front, host):
    context.record = VmRecord(
        'front-ub-east-25',
        'ub-east',
        '' if front == 'none' else front,
        (host, 7620),
        239,
    )


@then('the ping with which it joins decodes to the same record')
def check_joining_ping(context):
    raw = _encode_ping(context.record)
    assert decode_datagram(raw).sender_status.record == context.record


@then('the table that it sends decodes to the same statuses')
def check_statuses(context):
    statuses = [
        _status(context.record.name, context.record),
        _status('vm-2', build_record('vm-2')),
    ]
    assert decode_statuses(encode_statuses(statuses)) == statuses


@then('a ping without news takes at most {most:d} bytes on the network')
def check_ping_size(context, most):
    assert len(_encode_ping()) + _DATAGRAM_HEADER_BYTES <= most


@then('{count:d} pieces of news fit into a datagram of {most:d} bytes')
def check_news_size(context, count, most):
    news = [_status(f'front-riga-e-{number}') for number in range(count)]
    assert len(_encode_ping(news=news)) + _DATAGRAM_HEADER_BYTES <= most


@given('two VMs that hold the same {count:d} servers')
def hold_many(context, count):
    context.many = [
        build_registered(f's-{number}', host=f'10.0.{number % 250}.1')
        for number in range(count)
    ]
    context.revision = 7
    _install_first(context, build_snapshot(7, context.many))
    context.other = build_fleet_state(context.clock, _decode)
    context.other.install(
        build_snapshot(7, context.many), context.clock.monotonic()
    )


@when('a server leaves {count:d} times')
def let_leave(context, count):
    for number in range(count):
        name = context.many[number].server.name
        context.many[number] = build_registered(name, leaving=True)
        context.revision += 1
        _install(context, build_snapshot(context.revision, context.many))


@when('a server disappears')
def let_disappear(context):
    context.many.pop()
    context.revision += 1
    _install(context, build_snapshot(context.revision, context.many))


@then('the state that the first sends the other takes at most {most:d} bytes')
def check_state_size(context, most):
    state = build_state_message(context.fleet_state, context.other.fingerprint)
    assert len(encode_message(state)) <= most, len(encode_message(state))


@then('the state that the first sends the other has all {count:d} servers')
def check_all_rows(context, count):
    _, content = _sent_state(context)
    assert content.servers.base is None
    assert len(content.servers.rows) == count
