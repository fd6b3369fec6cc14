"""Steps of messages between different builds."""

import msgspec
from behave import then, when

from features.support.gateway import (
    build_document,
    build_fleet_state,
    build_snapshot,
)
from features.support.recorded_messages import F0F2C2E
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.datagrams import (
    PROTOCOL_VERSION,
    CompletionRow,
    CrashRow,
    Datagram,
    DatagramExtras,
    DatagramKind,
    LiftRow,
    NoticeRow,
    ProofRow,
    QuarantineRow,
    ReachRow,
    StateClaim,
    decode_datagram,
    encode_datagram,
)
from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus
from zinniaturn.fleet.fleet_state import StateFingerprint
from zinniaturn.fleet.messages import (
    StateMessage,
    build_state_message,
    decode_state,
    encode_message,
)
from zinniaturn.fleet.status_rows import decode_statuses
from zinniaturn.outcomes import Outcome
from zinniaturn.platform.server_entries import decode_server
from zinniaturn.relay.messages import (
    RelayRefusal,
    decode_reply,
    decode_request,
)

_NONE_HELD = StateFingerprint()
_CLAIM = StateClaim(9, 8, 7, 6)
_RECORD = VmRecord('vm-1', 'dc-a', '10.0.0.1:8000', ('10.0.0.1', 7000), 50, 13)


def _read_record(raw):
    return msgspec.json.decode(raw, type=VmRecord)


def _reader(message):
    if message.startswith('datagram'):
        return decode_datagram
    readers = {
        'statuses': decode_statuses,
        'relay-request': decode_request,
        'vm-record': _read_record,
    }
    return readers.get(message, decode_reply)


def _check_full(datagram):
    status = datagram.sender_status
    assert (status.record, status.cut_off) == (_RECORD, 2), status
    assert datagram.news_statuses() == [VmStatus('vm-2', 4, VmStage.DEAD)]
    assert datagram.notices == (NoticeRow('s-1', 1, 1.5, True, 20),)
    assert datagram.permit_grant.wait_ms == 40
    assert datagram.reach.responses[0].age_ms == 50
    assert datagram.quarantine is None


def _check_empty(datagram):
    assert datagram.kind is DatagramKind.PING
    assert datagram.state == _CLAIM
    assert datagram.reach == ReachRow()
    assert datagram.quarantine is None


def _check_statuses(statuses):
    assert statuses == [VmStatus('vm-1', 5, VmStage.READY, 3, _RECORD, 1)]


def _check_request(request):
    assert request.target == b'/reads/1'
    assert request.tried == ('s-1',)
    assert request.body == b'body'


def _check_reply(reply):
    assert reply.outcome is Outcome.RUN
    assert reply.response.body == b'answer'


def _check_refusal(reply):
    assert reply.refusal is RelayRefusal.BUSY


def _check_record(record):
    assert record == _RECORD


_CHECKS = (
    ('datagram-full', _check_full),
    ('datagram-empty', _check_empty),
    ('statuses', _check_statuses),
    ('relay-request', _check_request),
    ('relay-reply', _check_reply),
    ('relay-refusal', _check_refusal),
    ('vm-record', _check_record),
)


@when('the recorded {message} of the build f0f2c2e is read')
def read_recorded(context, message):
    context.message = message
    context.content = _reader(message)(bytes.fromhex(F0F2C2E[message]))


@then('it holds what that build has written')
def check_recorded(context):
    dict(_CHECKS)[context.message](context.content)


def _older_type(message_type, lacking):
    """Return a message type as a build had it that lacks the last fields."""
    lacking_fields = set(lacking.split(' and '))
    last = message_type.__struct_fields__[-len(lacking_fields) :]
    assert set(last) == lacking_fields, last
    known = [
        (one.name, one.type)
        if one.default is msgspec.NODEFAULT
        else (one.name, one.type, one.default)
        for one in msgspec.structs.fields(message_type)
        if one.name not in lacking_fields
    ]
    return msgspec.defstruct('OlderMessage', known, array_like=True)


@when('a datagram with all its parts is read by a build that lacks {lacking}')
def read_by_older(context, lacking):
    quarantine = QuarantineRow(
        (CrashRow('s-1', 1, 250, (5, 2**63 - 1), ('vm-1', 'vm-2')),),
        (CompletionRow(5, 'vm-3', 2),),
        (LiftRow(6, 100),),
    )
    raw = encode_datagram(
        DatagramKind.PUSH,
        8,
        VmStatus('vm-1', 5, VmStage.READY, 3),
        _CLAIM,
        extras=DatagramExtras(
            'vm-3', quarantine=quarantine, proof=ProofRow(2**61, 40)
        ),
    )
    assert decode_datagram(raw).quarantine == quarantine
    assert decode_datagram(raw).proof == ProofRow(2**61, 40)
    older = _older_type(Datagram, lacking)
    context.content = msgspec.msgpack.decode(raw, type=older)


@then('that build finds the parts that it knows')
def check_older(context):
    assert context.content.target == 'vm-3'
    assert context.content.state == _CLAIM
    assert context.content.version == PROTOCOL_VERSION
    assert not hasattr(context.content, 'proof')


def _proven_state():
    """Return a fleet state whose tables are proven."""
    state = build_fleet_state(ManualClock(100))
    state.install(build_snapshot(3, document=build_document(2)), 99)
    state.proof.prove(2, 99)
    return state


@when(
    'a state with a proof of its tables is read by a build that lacks '
    '"{lacking}"'
)
def read_state_by_older(context, lacking):
    raw = encode_message(build_state_message(_proven_state(), _NONE_HELD))
    assert decode_state(raw)[0].proof_age_ms == 1001
    older = _older_type(StateMessage, lacking)
    context.content = msgspec.msgpack.decode(raw, type=older)


@then("that build finds the state's revision, age and content")
def check_older_state(context):
    assert context.content.revision == 3
    assert context.content.age_ms == 1001
    assert context.content.packed


@when('a state that lacks "{lacking}" is read')
def read_older_state(context, lacking):
    message = build_state_message(_proven_state(), _NONE_HELD)
    assert message.__struct_fields__[-1] == lacking
    fields = msgspec.structs.astuple(message)[:-1]
    context.content = decode_state(msgspec.msgpack.encode(fields))


@then('its content is read whole, and it proves no tables')
def check_state_without_proof(context):
    state, content = context.content
    assert content.raw_tables == b'{}'
    assert state.proof_age_ms is None


@then(
    'an empty datagram is {count:d} bytes longer than that of the build '
    'f0f2c2e, for "{part}"'
)
def check_length(context, count, part):
    raw = encode_datagram(
        DatagramKind.PING, 7, VmStatus('vm-1', 5, VmStage.READY, 3), _CLAIM
    )
    recorded = bytes.fromhex(F0F2C2E['datagram-empty'])
    assert len(raw) == len(recorded) + count, (len(raw), len(recorded))
    parts = len(msgspec.msgpack.decode(raw))
    assert Datagram.__struct_fields__[parts - 1] == part


@then('no VM in it is outdated')
def check_up_to_date(context):
    assert context.content
    assert not any(status.is_outdated for status in context.content)


@then('a server entry with a {figure} of {value:d} names no server')
def check_entry(context, figure, value):
    entry = {
        'service': 'pool',
        'address': '127.0.0.1:80',
        'zone': 'dc-a',
        'capacity': 4,
        'state': 'ready',
        'born': 1,
    }
    decode_server('s-1', msgspec.json.encode(entry))
    raw = msgspec.json.encode({**entry, figure: '?'})
    try:
        server = decode_server('s-1', raw.replace(b'"?"', b'%d' % value))
    except ValueError:
        return
    raise AssertionError(server)
