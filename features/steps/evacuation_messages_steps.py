"""Steps of what VMs of two builds tell each other of evacuations."""

import random
import zlib
from dataclasses import replace

import msgspec
from behave import given, then, when

from features.support.evacuations import (
    CLOCK_START,
    build_follower,
    claim_of,
    join,
    names_in,
)
from features.support.gateway import build_fleet_state, build_record
from features.support.recorded_messages import B109EEA4, B109EEA4_DIGEST
from zinniaturn.experiments.gossip_model import GossipModel
from zinniaturn.fleet.datagrams import (
    Datagram,
    DatagramKind,
    PlainClaim,
    StateClaim,
    decode_datagram,
    encode_datagram,
)
from zinniaturn.fleet.domain import VmStage, VmStatus
from zinniaturn.fleet.evacuation_messages import (
    EvacuationsPart,
    EvacuationsRow,
    evacuations_row,
)
from zinniaturn.fleet.evacuations import EvacuationsNews
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.fleet_state import StateFingerprint
from zinniaturn.fleet.messages import (
    StateContent,
    StateMessage,
    build_state_message,
    decode_state,
    encode_message,
    snapshot_from_message,
)
from zinniaturn.fleet.packing import decompress
from zinniaturn.fleet.state_exchange import StateFetcher
from zinniaturn.fleet.vms import VmTable
from zinniaturn.http1.connections import ConnectionPool

_MOST_BYTES = 10**6
_STATUS = VmStatus('vm-1', 5, VmStage.READY, 3)
_ADDRESS = ('127.0.0.1', 7000)


def _recorded_state():
    return decode_state(bytes.fromhex(B109EEA4['state']))


@when('the recorded state of the build 109eea4 is read')
def read_recorded(context):
    recorded = _recorded_state()
    context.message = recorded[0]
    context.content = recorded[1]


@then(
    'it holds server "{name}" at revision {number:d}, and tells no evacuations'
)
def check_recorded(context, name, number):
    assert context.message.revision == number
    assert [row[0].name for row in context.content.servers.rows] == [name]
    assert context.content.evacuations is None


class _Fetcher:
    """Notes from whom a state is wanted."""

    def __init__(self):
        self.wanted = []

    def want_state(self, revision, holder):
        """The claimed states of these tests are never newer."""
        raise AssertionError((revision, holder))

    def want_evacuations(self, revision, holder):
        self.wanted.append(revision)


def _start_gossip(context):
    """Let a VM of the gossip's model hold the scenario's state."""
    model = GossipModel(2, seed=1)
    gossip = model.vms[0].gossip
    gossip.fleet_state = context.fleet_state
    gossip.sender.fleet_state = context.fleet_state
    gossip.fetcher = _Fetcher()
    # Nothing is sent while a datagram is received.
    gossip.sender.transport = None
    context.sender = replace(_STATUS, name=model.vms[1].name)
    context.gossip = gossip


def _receive(context, raw):
    if not hasattr(context, 'gossip'):
        _start_gossip(context)
    clock = context.fleet_state.clock
    context.gossip.vms.clock.now = clock.now
    context.gossip.pause_guard.tick(clock.now)
    context.gossip.pause_guard.resumed_at = float('-inf')
    context.gossip.datagram_received(raw, _ADDRESS)


def _recorded_snapshot(names, number):
    empty = build_fleet_state()
    message, content = _recorded_state()
    snapshot = snapshot_from_message(message, content, empty)
    return replace(snapshot, revision=number, evacuated=names_in(names))


@given(
    'a VM that holds the recorded state and has read "{names}" at revision '
    '{number:d}'
)
def hold_recorded(context, names, number):
    context.fleet_state = build_follower()
    context.fleet_state.install(_recorded_snapshot(names, number), CLOCK_START)


@given(
    'a VM without servers that knows "{names}" at revision {number:d} of a '
    'store without eras'
)
def know_without_eras(context, names, number):
    context.fleet_state = build_follower()
    context.fleet_state.install_evacuations(
        EvacuationsNews(names_in(names), number, CLOCK_START)
    )


@when('it reads the recorded state with "{names}" at revision {number:d}')
def read_recorded_again(context, names, number):
    snapshot = _recorded_snapshot(names, number)
    context.fleet_state.install(snapshot, CLOCK_START)


@when('{seconds:g} s later it gets the recorded datagram of the build 109eea4')
def receive_recorded(context, seconds):
    context.fleet_state.clock.advance(seconds)
    _receive(context, bytes.fromhex(B109EEA4['datagram']))


@then('its state is confirmed as of {seconds:g} s ago or later')
def check_state_age(context, seconds):
    assert context.fleet_state.age_seconds <= seconds


@when('it fetches the recorded state of the build 109eea4')
def fetch_recorded(context):
    fetcher = _build_fetcher(context)
    response = _RecordedResponse()
    response.body = bytes.fromhex(B109EEA4['state'])
    fetcher._install_state(response, CLOCK_START)


class _RecordedResponse:
    """What a fetcher needs of a response."""

    body = b''


def _build_fetcher(context):
    vms = VmTable(build_record(), context.fleet_state.clock)
    return StateFetcher(
        build_record(),
        context.fleet_state,
        vms,
        ConnectionPool(),
        random.Random(1),
        list,
        list,
        str,
    )


@then('it uses server "{name}"')
def check_server(context, name):
    assert name in context.fleet_state.servers


@then(
    'its evacuations are those of revision {number:d} of a store without eras'
)
def check_revision(context, number):
    assert context.fleet_state.evacuations.revision == number


@then('its digest is that of the build 109eea4')
def check_digest(context):
    assert context.fleet_state.digest == B109EEA4_DIGEST


@then(
    'a datagram that tells no evacuations is the recorded one of the build '
    '109eea4'
)
def check_bytes(context):
    claim = StateClaim(9, B109EEA4_DIGEST, 250, 6)
    raw = encode_datagram(DatagramKind.PING, 7, _STATUS, claim)
    assert raw.hex() == B109EEA4['datagram'], raw.hex()
    assert not decode_datagram(raw).follows_evacuations


def _without(struct, name, **types):
    """Return a type as a build has it that lacks the part ``name``."""
    known = [
        (one.name, types.get(one.name, one.type))
        if one.default is msgspec.NODEFAULT
        else (one.name, types.get(one.name, one.type), one.default)
        for one in msgspec.structs.fields(struct)
        if one.name != name
    ]
    return msgspec.defstruct(f'Older{name}', known, array_like=True)


@when(
    "a datagram that tells evacuations is read by a build that doesn't know "
    'them'
)
def read_datagram(context):
    claim = StateClaim(9, 8, 7, 6, EvacuationsRow(5, 4, 3))
    raw = encode_datagram(DatagramKind.PUSH, 7, _STATUS, claim)
    assert decode_datagram(raw).state == claim
    older = _without(Datagram, 'none', state=PlainClaim)
    context.older = msgspec.msgpack.decode(raw, type=older)


@then('that build reads the claim of the state, and everything after it')
def check_datagram(context):
    assert context.older.state == PlainClaim(9, 8, 7, 6)
    assert context.older.notices == ()


@when(
    "a state that tells evacuations is read by a build that doesn't know them"
)
def read_state(context):
    fleet_state = build_follower()
    fleet_state.install(_recorded_snapshot('dc-a', 9), CLOCK_START)
    message = build_state_message(fleet_state, StateFingerprint())
    _, content = decode_state(encode_message(message))
    assert content.evacuations.names == ('dc-a',)
    older = _without(StateContent, 'evacuations')
    context.older = msgspec.msgpack.decode(
        decompress(message.packed, _MOST_BYTES), type=older
    )


@then('that build reads all other parts of it')
def check_state(context):
    _, content = _recorded_state()
    assert context.older.parts == content.parts
    assert context.older.servers == content.servers
    assert context.older.vms == content.vms


def _claim(context, names, revision, seconds):
    clock = context.fleet_state.clock
    told = claim_of(names, revision, clock.monotonic() - seconds)
    row = EvacuationsRow(told.revision, told.digest, round(seconds * 1000))
    state = context.fleet_state
    claim = StateClaim(state.revision, state.digest, 10**6, 0, row)
    if not hasattr(context, 'gossip'):
        _start_gossip(context)
    _receive(
        context, encode_datagram(DatagramKind.PUSH, 0, context.sender, claim)
    )


@when(
    '{later:g} s later another VM claims "{names}" at revision {number:d}, '
    'known {seconds:g} s ago'
)
def claim_later(context, later, names, number, seconds):
    context.fleet_state.clock.advance(later)
    _claim(context, names, join(number), seconds)


@when(
    '{later:g} s later another VM claims "{names}" at revision {number:d} of '
    'the next era, known {seconds:g} s ago'
)
def claim_next_era(context, later, names, number, seconds):
    context.fleet_state.clock.advance(later)
    _claim(context, names, join(number, 2), seconds)


@when(
    'another VM claims "{names}" at revision {number:d}, known {seconds:g} s '
    'ago'
)
def claim_now(context, names, number, seconds):
    _claim(context, names, join(number), seconds)


@then('the VM takes them as confirmed {seconds:g} s ago')
def check_confirmed(context, seconds):
    age = context.fleet_state.evacuations.age_seconds
    assert seconds <= age < seconds + 0.1, age
    assert not context.gossip.fetcher.wanted


@then("the VM fetches that VM's state")
def check_fetch(context):
    assert len(context.gossip.fetcher.wanted) == 1


@given('a VM that has read no evacuations')
def build_unknowing(context):
    context.fleet_state = build_follower()


@then('its datagrams and states tell no evacuations')
def check_silent(context):
    fleet_state = context.fleet_state
    assert evacuations_row(fleet_state.evacuations) is None
    message = build_state_message(fleet_state, StateFingerprint())
    _, content = decode_state(encode_message(message))
    assert content.evacuations is None


def _encode_state(names):
    part = EvacuationsPart(1, 1, tuple(names))
    content = StateContent(StateFingerprint(), None, None, None, part)
    packed = msgspec.msgpack.encode(content)
    return encode_message(StateMessage(3, 1, 1, zlib.compress(packed)))


def _is_rejected(names):
    try:
        decode_state(_encode_state(names))
    except PeerMessageError:
        return True
    return False


@then('a state with {count:d} evacuated data centres is rejected')
def check_count_rejected(context, count):
    assert _is_rejected(str(number) for number in range(count))


@then('a state with a name of {length:d} characters is rejected')
def check_length_rejected(context, length):
    assert _is_rejected(['n' * length])


@then('a state with {count:d} names of {length:d} characters is read')
def check_read(context, count, length):
    assert not _is_rejected(
        str(number).rjust(length) for number in range(count)
    )
