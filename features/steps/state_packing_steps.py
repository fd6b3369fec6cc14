"""Steps of packing the fleet state for those who ask for it."""

from types import SimpleNamespace

from behave import given, then, when

from features.support.gateway import (
    build_document,
    build_fleet_state,
    build_record,
    build_registered,
    build_snapshot,
)
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.evacuations import EvacuationsNews
from zinniaturn.fleet.fleet_state import StateFingerprint
from zinniaturn.fleet.messages import (
    build_state_message,
    decode_state,
    encode_message,
)
from zinniaturn.fleet.state_exchange import StateService
from zinniaturn.fleet.state_packing import StatePacker

_VM_HOST = '127.0.0.2'
_STRANGER_HOST = '127.0.0.9'
_PEER = SimpleNamespace(
    follows_eras=True, record=build_record('vm-2', number=2)
)


def _install(context, count, revision):
    servers = [build_registered(f's-{number}') for number in range(count)]
    document = build_document(1, b'tables' * 1000)
    snapshot = build_snapshot(revision, servers, document)
    context.state.install(snapshot, context.clock.monotonic())


@given('a VM that holds tables, {count:d} servers and an evacuated data centre')
def build_holder(context, count):
    context.clock = ManualClock(100)
    context.state = build_fleet_state(context.clock)
    context.state.evacuations.bound_seconds = 5
    _install(context, count - 1, 2)
    context.before = context.state.fingerprint
    _install(context, count, 3)
    context.state.install_evacuations(
        EvacuationsNews(frozenset(('dc-a',)), 3, context.clock.monotonic())
    )
    context.service = StateService(
        StatePacker(context.state), SimpleNamespace(vms={'vm-2': _PEER})
    )


def _held(context, held):
    own = context.state.fingerprint
    return {
        'nothing': StateFingerprint(),
        'all': own,
        'the tables': StateFingerprint(tables=own.tables),
        'the servers before': context.before,
        'unknown servers': StateFingerprint(own.tables, 7, own.vms),
    }[held]


def _ask(context, host, held):
    target = f'/state?held={held.tables},{held.servers},{held.vms}'
    request = SimpleNamespace(target=target.encode(), fields=[])
    response = context.service.handle(
        SimpleNamespace(request=request, peer_host=host)
    )
    return decode_state(response.body)


@when('a VM that holds {held} asks for the state')
def ask_once(context, held):
    context.answer = _ask(context, _VM_HOST, _held(context, held))


@when(
    'a VM that holds {held} asks for the state twice, with {seconds:g} s '
    'between'
)
def ask_twice(context, held, seconds):
    context.held = _held(context, held)
    _ask(context, _VM_HOST, context.held)
    context.clock.advance(seconds)
    context.answer = _ask(context, _VM_HOST, context.held)


@then('it gets what was built for it alone, with the ages of the second time')
def check_answer(context):
    alone = build_state_message(context.state, context.held)
    state, content = context.answer
    assert content == decode_state(encode_message(alone))[1]
    assert content.evacuations.age_ms > 3000, content.evacuations
    assert state.age_ms == alone.age_ms
    assert context.service.packer.packed_count == 1


@when('{count:d} unknown clients ask for the state, each with other figures')
def ask_as_strangers(context, count):
    for number in range(count):
        held = StateFingerprint(number % 3, number, number % 2)
        _, content = _ask(context, _STRANGER_HOST, held)
        assert len(content.servers.rows) == len(context.state.shared_servers)


@when('a server joins')
def add_server(context):
    _install(context, len(context.state.shared_servers) + 1, 4)


@then('the state was packed {count:d} times')
def check_packed(context, count):
    assert context.service.packer.packed_count == count
