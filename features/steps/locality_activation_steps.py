"""Steps for whether data centres are taken into account."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.support.gateway import (
    ListedEventLog,
    SmallPlatform,
    build_record,
    hear,
    seeded_random,
    wait_until,
)
from features.support.locality_choices import RecordedPlay
from zinniaturn.clock import ManualClock
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.failure_detection import FailureDetector
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.locality_watch import LocalityWatch
from zinniaturn.gateway.settings import FleetBounds, GatewaySettings
from zinniaturn.locality.activation import LocalityMode
from zinniaturn.locality.table import LocalityTable

_START = 100.0
_PINGS_PER_SECOND = 10
_MS = 0.001
_KNOWN_SECONDS = 15


@given("data centres {way:g} ms apart, and a fleet that doesn't evacuate them")
def set_way(context, way):
    context.way = way


@when('VMs serve a load of {load:g} and ping each other')
def play(context, load):
    context.played = RecordedPlay(
        context.way, load, lambda vm: LocalityWatch(vm.state)
    ).run()


@then(
    'their probes, choices, hedges, retries and look-ups are those of build '
    '109eea4, {digest}'
)
def check_digest(context, digest):
    played = context.played
    # The digest was recorded from that build's code in the same play.
    assert played.digest() == digest, played.digest()
    assert any(one[0] == 'send' and one[-1] > 1 for one in played.choices)
    assert not any(switch[-1] for switch in played.switches)


@given('a VM with the setting {mode} and evacuations after {milliseconds:d} ms')
def build_watch(context, mode, milliseconds):
    settings = GatewaySettings(
        'vm-1',
        'vm-1',
        'dc-0',
        ('store', 1),
        bounds=FleetBounds(evacuate_seconds=milliseconds * _MS),
        locality_mode=LocalityMode(mode),
    )
    context.clock = ManualClock(_START)
    context.state = SimpleNamespace(
        settings=settings,
        vms=SimpleNamespace(clock=context.clock),
        locality=LocalityTable(
            'dc-0', settings.locality, activation=settings.build_activation()
        ),
        event_log=ListedEventLog(),
    )
    context.watch = LocalityWatch(context.state)
    context.random = seeded_random()
    context.switches = 0


def _is_on(context):
    return context.state.locality.activation.is_on


@then('it is {state} before a distance is known')
def check_first(context, state):
    context.watch.tick(_START)
    assert _is_on(context) == (state == 'on')


def _no_extra(now, place):
    return 0


def _ping(context, places, seconds, extra=_no_extra):
    """Ping VMs of some data centres, given with their one-way distances."""
    for step in range(seconds * _PINGS_PER_SECOND):
        context.clock.advance(1 / _PINGS_PER_SECOND)
        now = context.clock.monotonic()
        place, way = context.random.choice(places)
        seconds_there = (2 * way + context.random.expovariate(2)) * _MS
        context.watch.note_round_trip(place, seconds_there + extra(now, place))
        if step % 5 == 0:
            was_on = _is_on(context)
            context.watch.tick(now)
            context.switches += was_on != _is_on(context)


def _three_places(way):
    return [('dc-0', 0.1), ('dc-1', way), ('dc-2', way / 2)]


@when('it pings 12 VMs at a one-way distance of {way:g} ms for {seconds:d} s')
def ping(context, way, seconds):
    context.way = way
    if seconds < 60:
        _ping(context, _three_places(way), seconds)


@when(
    'in each minute all pings to {slow} take {milliseconds:d} ms longer for '
    '{seconds:d} s'
)
def ping_slowly(context, slow, milliseconds, seconds):
    slow_places = {
        'one other': {'dc-1'},
        'the own one': {'dc-0'},
        'all': {'dc-0', 'dc-1', 'dc-2'},
    }[slow]

    def extra(now, place):
        is_slow = place in slow_places and now % 60 < seconds
        return milliseconds * _MS if is_slow else 0

    _ping(context, _three_places(context.way), 600, extra)


@when(
    'it pings 312 VMs in 31 data centres, one of them {way:g} ms away, for '
    '{seconds:d} s'
)
def ping_many(context, way, seconds):
    places = [(f'dc-{number}', 0.5) for number in range(31)]
    places[0] = 'dc-0', 0.1
    places[7] = 'dc-7', way
    _ping(context, places, seconds)


@when(
    'it pings 9 VMs that are all elsewhere, {way:g} ms away, for {seconds:d} s'
)
def ping_elsewhere(context, way, seconds):
    _ping(context, [('dc-1', way), ('dc-2', way)], seconds)


@then('it is {state} for the reason {reason}')
def check_state(context, state, reason):
    assert _is_on(context) == (state == 'on')
    rows = context.state.event_log.rows
    assert rows[-1]['reason'] == reason, rows
    assert rows[-1]['is_on'] == (state == 'on')
    assert len(rows) <= 2, rows


@then('it was switched at most {most:d} times and is {state}')
def check_switches(context, most, state):
    assert _is_on(context) == (state == 'on')
    assert context.switches <= most, context.state.event_log.rows


@given('a VM whose ping was repeated before it was acknowledged')
def repeated_ping(context):
    clock = ManualClock(_START)
    vms = VmTable(build_record('vm-1'), clock)
    hear(vms, build_record('vm-2', 'dc-b', 2))
    context.seen = []
    detector = FailureDetector(vms, seeded_random())
    detector.on_round_trip = lambda *round_trip: context.seen.append(round_trip)
    rounds, _ = detector.tick(_START)
    clock.advance(0.2)
    detector.tick(clock.monotonic())
    detector.acknowledge(rounds[0].sequence)
    context.detector = detector
    context.clock = clock


@then('no round trip is recorded')
def check_none_recorded(context):
    assert not context.seen
    # One without a repetition is.
    sequence = context.detector.tick(context.clock.monotonic())[0][0].sequence
    context.detector.acknowledge(sequence)
    assert context.seen == [('dc-b', 0)], context.seen


@then('its setting is {mode}')
def check_mode(context, mode):
    assert not context.is_rejected
    assert context.settings.locality_mode.value == mode


@given('gateways in two data centres that know each other')
def two_gateways(context):
    async def start():
        context.platform = SmallPlatform(context)
        await context.platform.start([])
        context.one = await context.platform.add_gateway('vm-1', 'dc-a')
        context.other = await context.platform.add_gateway('vm-2', 'dc-b')

    context.loop.run_until_complete(start())


def _activation(gateway):
    return gateway.state.locality.activation


def _logged(gateway):
    return [
        (row['is_on'], row['reason'])
        for row in gateway.event_log.rows
        if row['event'] == LogEvent.LOCALITY_SWITCHED
    ]


@then('both know the distance after a few seconds and are off')
def check_known(context):
    gateways = (context.one, context.other)

    async def wait():
        await wait_until(lambda: all(map(_logged, gateways)), _KNOWN_SECONDS)

    context.loop.run_until_complete(wait())
    for gateway in gateways:
        assert _logged(gateway) == [(False, 'near')]
        assert not _activation(gateway).is_on


@when('the settings of one are changed to evacuate after {milliseconds:d} ms')
def change_settings(context, milliseconds):
    settings = context.one.settings
    bounds = replace(settings.bounds, evacuate_seconds=milliseconds * _MS)
    context.one.apply(replace(settings, bounds=bounds))


@then('it is on and the other is off')
def check_one_on(context):
    assert _activation(context.one).is_on
    assert not _activation(context.other).is_on


@then('each has logged its last switch once')
def check_logged(context):
    context.loop.run_until_complete(asyncio.sleep(1.2))
    assert _logged(context.one) == [(False, 'near'), (True, 'evacuations')]
    assert _logged(context.other) == [(False, 'near')]
