"""Steps of the evacuated data centres that one VM knows."""

import asyncio
import base64

import msgspec
from behave import given, then, when

from features.support.evacuations import (
    CLOCK_START,
    build_follower,
    join,
    names_in,
    read_store,
    record_changes,
)
from features.support.gateway import (
    build_candidate,
    build_document,
    build_snapshot,
    seeded_random,
)
from zinniaturn.admission.admission import Withholding
from zinniaturn.fleet.messages import (
    build_state_message,
    decode_state,
    encode_message,
)
from zinniaturn.fleet.store_poller import EvacuationsPoller
from zinniaturn.gateway.settings import FleetBounds
from zinniaturn.http1.messages import Response
from zinniaturn.platform.store import PlatformStore
from zinniaturn.platform.stored_items import DecodedItems, StoredItem

_VALUE = 'e30='


def _decode(context, items):
    decoded = DecodedItems(1)
    for one in items:
        try:
            decoded.add(one)
        except ValueError as error:
            decoded.unreadable.append(str(error))
    context.evacuated = decoded.bounded_evacuated()
    context.unreadable = decoded.unreadable


def _keys(names):
    return [StoredItem(f'op/evacuate/{name}', _VALUE, 7) for name in names]


@when(
    'the store\'s key "{key}" has the value "{value}" and revision {number:d}'
)
def read_key(context, key, value, number):
    _decode(context, [StoredItem(key, value, number)])


@when('the store\'s key "{key}" has the value "" and revision {number:d}')
def read_empty_key(context, key, number):
    read_key(context, key, '', number)


@when('the store\'s keys evacuate a name of {length:d} characters and "{name}"')
def read_long_name(context, length, name):
    _decode(context, _keys(['n' * length, name]))


@when(
    'the store\'s keys evacuate {count:d} made-up names and "{name}", which '
    'has a server'
)
def read_crowd(context, count, name):
    entry = {
        'service': 'pool',
        'address': '127.0.0.1:80',
        'zone': name,
        'capacity': 4,
        'state': 'ready',
    }
    value = base64.b64encode(msgspec.json.encode(entry)).decode()
    names = [f'a{number}' for number in range(count)]
    server = StoredItem('servers/s-1', value, 7)
    _decode(context, [*_keys([*names, name]), server])


@then('it evacuates "{name}", and {count} item is unreadable')
def check_evacuated(context, name, count):
    assert context.evacuated == {name}, context.evacuated
    assert len(context.unreadable) == int(count.replace('no', '0'))


@then(
    'it evacuates {count:d} data centres, and {unreadable} item is unreadable'
)
def check_count(context, count, unreadable):
    assert len(context.evacuated) == count, len(context.evacuated)
    expected = int(unreadable.replace('no', '0'))
    assert len(context.unreadable) == expected, context.unreadable


@then('"{name}" is among them')
def check_among(context, name):
    assert name in context.evacuated


class _PagedStore(PlatformStore):
    """Returns pages instead of calling the store."""

    def __init__(self, revisions):
        super().__init__(('127.0.0.1', 1), '127.0.0.1')
        self.revisions = revisions

    async def _call(self, method, path, body=None):
        revision = self.revisions.pop(0)
        page = {
            'items': [{'key': 'a', 'value': _VALUE, 'revision': 1}],
            'more_pages': bool(self.revisions),
            'current_rev': revision,
        }
        return Response(200, b'', [], msgspec.json.encode(page))


@when(
    "a read's first page has revision {first:d} and its second has revision "
    '{second:d}'
)
def read_pages(context, first, second):
    consistent = _PagedStore([second, first])
    snapshot = asyncio.run(consistent.read_snapshot())
    assert snapshot.evacuated == frozenset(), 'a consistent read tells none'
    context.snapshot = asyncio.run(_PagedStore([first, second]).read_snapshot())


@then('the read tells no evacuations')
def check_not_told(context):
    assert context.snapshot.evacuated is None


@given('a VM that has read "{names}" at revision {number:d}')
def build_vm(context, names, number):
    context.fleet_state = build_follower()
    context.changes = record_changes(context.fleet_state)
    read_store(context.fleet_state, names, number)


@given(
    'a VM that follows no evacuations and has read "{names}" at revision '
    '{number:d}'
)
def build_other_vm(context, names, number):
    context.fleet_state = build_follower(0)
    context.changes = record_changes(context.fleet_state)
    read_store(context.fleet_state, names, number)


@when('its settings get a bound of {seconds:g} s')
def set_bound(context, seconds):
    context.fleet_state.follow_evacuations(seconds)


@when('it reads "{names}" at revision {number:d}')
def read_names(context, names, number):
    read_store(context.fleet_state, names, number)


@given('it reads "{names}" at revision {number:d} of the next era')
@when('it reads "{names}" at revision {number:d} of the next era')
def read_next_era(context, names, number):
    read_store(context.fleet_state, names, number, era=2)


@when(
    '{seconds:g} s later it gets revision {number:d} from a VM that tells no '
    'evacuations'
)
def receive_untold(context, seconds, number):
    clock = context.fleet_state.clock
    clock.advance(seconds)
    snapshot = build_snapshot(join(number))
    context.fleet_state.install(snapshot, clock.monotonic())


@when('{seconds:g} s go by at the VMs')
def let_time_pass(context, seconds):
    context.fleet_state.clock.advance(seconds)
    context.fleet_state.drop_expired()
    if hasattr(context, 'other'):
        context.other.drop_expired()


@then('it sends nothing to "{names}"')
def check_in_force(context, names):
    evacuated = context.fleet_state.evacuated
    assert evacuated == names_in(names), evacuated


@then('the other sends nothing to "{names}"')
def check_other(context, names):
    assert context.other.evacuated == names_in(names), context.other.evacuated


@then('it has reported "{names}" as {kind}')
def check_reported(context, names, kind):
    assert set(getattr(context.changes[-1], kind)) == names_in(names)


@then('it knows the evacuations as of {seconds:g} s ago')
def check_age(context, seconds):
    assert context.fleet_state.evacuations.age_seconds == seconds


@when('another VM starts and gets the state of the first')
def start_other(context):
    fleet_state = context.fleet_state
    context.other = build_follower(clock=fleet_state.clock)
    message = build_state_message(fleet_state, context.other.fingerprint)
    _, content = decode_state(encode_message(message))
    now = fleet_state.clock.monotonic()
    context.other.install_evacuations(content.evacuations.news(now))


@given(
    'a VM with a bound of {bound:g} s that knows the evacuations of {age:g} s '
    'ago'
)
def build_aged(context, bound, age):
    context.fleet_state = build_follower(bound)
    evacuations = context.fleet_state.evacuations
    evacuations.confirmed_at = CLOCK_START - age


@when(
    'a long pause of it ended {resumed:g} s ago and its last failed read began '
    '{failed:g} s ago'
)
def resume(context, resumed, failed):
    context.resumed_at = CLOCK_START - resumed
    context.fleet_state.evacuations.unread_at = CLOCK_START - failed


@then('requests at it {wait}')
def check_waits(context, wait):
    evacuations = context.fleet_state.evacuations
    does_wait = evacuations.is_in_doubt(context.resumed_at)
    assert does_wait is (wait == 'wait'), does_wait


@then('nothing waits at it, whatever pause it had')
def check_never_waits(context):
    evacuations = context.fleet_state.evacuations
    assert not evacuations.is_in_doubt(CLOCK_START + 1)


class _LastVm:
    """A table of VMs in which the own one has a high rank."""

    def poll_rank(self):
        return 200


def _poller(bound):
    fleet_state = build_follower(bound)
    fleet_state.install(
        build_snapshot(1, document=build_document()), CLOCK_START
    )
    return EvacuationsPoller(
        None, fleet_state, _LastVm(), seeded_random(), list, str
    )


def _poll_age(poller):
    """Return the age of the evacuations at which a VM polls."""
    fleet_state = poller.fleet_state
    fleet_state.evacuations.confirmed_at = CLOCK_START
    fleet_state.confirmed_at = CLOCK_START
    fleet_state.clock.now = CLOCK_START
    while poller.seconds_left() > 0:
        fleet_state.clock.advance(0.01)
        fleet_state.confirmed_at = fleet_state.clock.now
        if fleet_state.clock.now > CLOCK_START + 100:
            return None
    return fleet_state.clock.now - CLOCK_START


@then(
    'a VM of rank 200 whose state others confirm reads them for a bound of '
    '{bound:g} s at {least:g} to {most:g} s'
)
def check_poll_ages(context, bound, least, most):
    poller = _poller(bound)
    ages = [_poll_age(poller) for _ in range(20)]
    assert least <= min(ages) and max(ages) <= most, ages


@then('a VM that follows no evacuations never reads them alone')
def check_no_polls(context):
    assert _poll_age(_poller(0)) is None


@then(
    'bounds of {leaving:g} s, {tables:g} s and {evacuate:g} s for evacuations '
    'are followed within {seconds:g} s'
)
def check_follow_seconds(context, leaving, tables, evacuate, seconds):
    bounds = FleetBounds(
        leaving_seconds=leaving,
        tables_seconds=tables,
        evacuate_seconds=evacuate,
    )
    assert bounds.follow_seconds == seconds


@given('a server whose data centre is evacuated')
def build_evacuated(context):
    context.candidate = build_candidate()
    context.candidate.admission.is_evacuated = True


@then('no request is permitted to it, because it is "{reason}"')
def check_withheld(context, reason):
    admission = context.candidate.admission
    assert admission.withholding() is Withholding(reason)
    assert admission.take() is None
