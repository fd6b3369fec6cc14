"""Steps for when requests leave their data centre."""

import cProfile
import math
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from features.support.gateway import (
    build_candidate,
    build_record,
    build_report,
    seeded_random,
)
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.tables import FleetRoute
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.local_search import LocalSearch
from zinniaturn.gateway.offer_costs import OfferCosts
from zinniaturn.gateway.settings import FleetBounds
from zinniaturn.locality.activation import Activation, LocalityMode
from zinniaturn.locality.decision import SearchStart
from zinniaturn.locality.departures import LeaveReason
from zinniaturn.locality.pool_locality import PoolLocality
from zinniaturn.locality.table import LocalityTable
from zinniaturn.locality.weights import LocalityWeights
from zinniaturn.placing.probe_order import ProbeEffort, ProbeOrder
from zinniaturn.placing.request_queue import Offer

_NOW = 100.0
_OWN = 'dc-a'
_OTHER = 'dc-b'
_DRAW = 0.5


def _table():
    return LocalityTable(_OWN, activation=Activation(LocalityMode.ON))


def _locality(context):
    if 'locality' not in context:
        counts = Counter(
            candidate.registered.server.data_center
            for candidate in context.candidates
        )
        context.known = _table()
        context.known.set_servers({'pool': counts})
        context.locality = context.known.pool('pool')
        context.now = _NOW
    return context.locality


@given(
    'own servers have room and a round trip of {own:g} ms, others one of '
    '{other:g} ms'
)
def calm_servers(context, own, other):
    locality = _locality(context)
    for data_center, milliseconds in ((_OWN, own), (_OTHER, other)):
        for step in range(40):
            locality.note_probe(data_center, True, _NOW - 0.4 + step / 100)
        locality.note_round_trip(data_center, milliseconds / 1000, _NOW)
    locality.note_own_round(own / 1000)


@when('{count:d} probes in {milliseconds:d} ms find {outcome} at home')
def probe_home(context, count, milliseconds, outcome):
    step = milliseconds / 1000 / count
    for _ in range(count):
        context.now += step
        context.locality.note_probe(_OWN, outcome == 'room', context.now)


def _rounds(context, effort=ProbeEffort.ALL_ROUNDS):
    probe_order = ProbeOrder(seeded_random(), 'vm-1', _OWN)
    start = _locality(context).start(3, 0, context.now, _DRAW)
    order = probe_order.order(context.candidates, context.now, start)
    return [
        [probe_order.is_own(candidate) for candidate in group]
        for group in probe_order.rounds(order, effort)
    ]


@then('the first round of probes goes to own servers only')
def check_own_first(context):
    assert all(_rounds(context)[0])


@then('the next round after one without room goes to others')
def check_others_next(context):
    rounds = _rounds(context)
    assert any(not any(group) for group in rounds), rounds


@then('the first round of probes has {own:d} own server and {others:d} others')
def check_mixed(context, own, others):
    first = _rounds(context)[0]
    assert (sum(first), len(first) - sum(first)) == (own, others)


@given('the settings say that locality is {state}')
def set_state(context, state):
    _locality(context)
    context.known.activation.set_rules(LocalityMode(state), False)


@then('servers are probed in the same order as without data centres')
def check_unchanged(context):
    search = LocalSearch(SimpleNamespace(locality=context.known))
    assert search.start('pool', 3, _NOW) is None
    offers = [
        Offer(candidate, build_report(number % 3))
        for number, candidate in enumerate(context.candidates)
    ]
    costs = OfferCosts(context.known)
    for offer in offers:
        alone = OfferCosts(LocalityTable(''))
        assert costs.cost_seconds(offer, None, _NOW) == alone.cost_seconds(
            offer, None, _NOW
        )
        assert costs.is_good(offer, 0.1, 0.1, _NOW)


@then('a request with one round of own probes may go on with one of others')
def check_fallback(context):
    _locality(context)
    probe_order = ProbeOrder(seeded_random(), 'vm-1', _OWN)
    for effort in (ProbeEffort.FIRST_ROUND, ProbeEffort.MINIMAL):
        order = probe_order.order(
            context.candidates, _NOW, SearchStart.OWN_FIRST
        )
        rounds = probe_order.with_other_side(
            probe_order.rounds(order, effort), order
        )
        assert len(rounds) == 2, rounds
        assert not any(map(probe_order.is_own, rounds[1]))


def _cost(context, data_center, slowness=1.0):
    route = FleetRoute('r', 'pool', objective_seconds=0.5)
    offer = Offer(
        build_candidate(data_center=data_center),
        build_report(slowness=slowness),
    )
    request = SimpleNamespace(route=route)
    return OfferCosts(context.known).cost_seconds(offer, request, _NOW)


@then(
    'an idle server elsewhere costs at least {least:g} ms more than an own one'
)
def check_way(context, least):
    extra = _cost(context, _OTHER) - _cost(context, _OWN)
    assert extra * 1000 > least * 0.99, extra


@then('a response of {size:d} KB costs {more:g} ms more than an empty one')
def check_bytes(context, size, more):
    before = _cost(context, _OTHER)
    own_before = _cost(context, _OWN)
    context.known.sizes.note('r', size * 1000)
    assert abs((_cost(context, _OTHER) - before) * 1000 - more) < 0.1
    assert _cost(context, _OWN) == own_before


@then(
    'a server at home that is {factor:g} times slower costs more than an idle '
    'one elsewhere'
)
def check_slow_home(context, factor):
    assert _cost(context, _OWN, factor) > _cost(context, _OTHER)


@when('{count:d} own responses take {factor:g} times as long as expected')
def slow_own(context, count, factor):
    _respond(context, _OWN, count, factor)


@when(
    '{count:d} responses from elsewhere take {factor:g} times as long as '
    'expected'
)
def slow_elsewhere(context, count, factor):
    _respond(context, _OTHER, count, factor)


def _respond(context, data_center, count, factor):
    locality = _locality(context)
    for _ in range(count):
        expected = 0.1 * locality.slowness(data_center, _NOW)
        locality.note_latency(data_center, 0.1 * factor, expected, _NOW)


@then('the own data centre counts as slow and the other one does not')
def check_slow(context):
    assert context.locality.slowness(_OWN, _NOW) > 2
    assert context.locality.slowness(_OTHER, _NOW) == 1


@then('no data centre counts as slow')
def check_none_slow(context):
    for data_center in (_OWN, _OTHER):
        assert context.locality.slowness(data_center, _NOW) == 1


@then('{seconds:d} s later it no longer counts as slow')
def check_forgotten(context, seconds):
    assert context.locality.slowness(_OWN, _NOW + seconds) == 1


@given('{own:d} own servers and {others:d} others, and a VM with all callers')
def concentrated(context, own, others):
    context.known = _table()
    context.known.set_servers({'pool': {_OWN: own, _OTHER: others}})
    context.own_servers = own
    context.search = LocalSearch(
        SimpleNamespace(
            locality=context.known,
            vms=VmTable(build_record('vm-1'), ManualClock(_NOW)),
            settings=SimpleNamespace(bounds=FleetBounds()),
            random_source=seeded_random(),
            own_request_rate=lambda: 100,
        )
    )
    context.own = [
        build_candidate(f's-{number}', data_center=_OWN) for number in range(3)
    ]


@when('it searches {rate:d} times a second for {seconds:d} s')
def search_often(context, rate, seconds):
    context.probes = 0
    context.seconds = seconds
    request = SimpleNamespace(
        route=FleetRoute('r', 'pool'), tried_servers=set()
    )
    for step in range(rate * seconds):
        now = _NOW + step / rate
        start = context.search.start('pool', 3, now, request)
        if start is not SearchStart.ELSEWHERE:
            context.probes += len(context.own)
            context.search.note_round('pool', context.own, [], 0.001, now)


@then('own servers get at most {most:d} probes a second each')
def check_own_probes(context, most):
    # A process starts with the probes of 1.5 s.
    allowed = most * context.own_servers * (context.seconds + 1.5)
    assert 0 < context.probes <= allowed, context.probes


@given(
    'pools of {few:d} servers in {small:d} data centres and of {many:d} in '
    '{large:d}'
)
def two_pools(context, few, small, many, large):
    context.calls = [
        _count_calls(few, small),
        _count_calls(many, large),
    ]


def _count_calls(servers, data_centers):
    locality = PoolLocality('dc-0', LocalityWeights())
    locality.set_servers(
        {
            f'dc-{number}': servers // data_centers
            for number in range(data_centers)
        }
    )
    for number in range(data_centers):
        locality.note_probe(f'dc-{number}', True, _NOW)
    profile = cProfile.Profile()
    profile.enable()
    locality.note_probe('dc-1', False, _NOW)
    locality.start(3, 0.1, _NOW, _DRAW)
    locality.price_seconds('dc-1', 0.1, _NOW)
    profile.disable()
    return sum(entry.callcount for entry in profile.getstats())


@then('a decision calls as many functions in one as in the other')
def check_same_calls(context):
    assert context.calls[0] == context.calls[1], context.calls


@when('a request finds {found}')
def find(context, found):
    _locality(context)
    search = LocalSearch(
        SimpleNamespace(settings=SimpleNamespace(data_center=_OWN))
    )
    context.request = SimpleNamespace(leave_reason=LeaveReason.NO_ROOM)
    usable = context.candidates
    if found == 'no own server that may serve':
        usable = [
            candidate
            for candidate in usable
            if candidate.registered.server.data_center == _OTHER
        ]
    search.note_order(context.request, usable)
    offered = usable if found == 'an own server with room' else usable[-1:]
    search.note_offers(
        context.request,
        [Offer(candidate, build_report()) for candidate in offered],
    )


@then('the reason to leave is {reason}')
def check_reason(context, reason):
    assert context.request.leave_reason.value == reason


@then('a megabyte counts as {megabyte:g} ms and the way as {way:g} ms')
def check_weights(context, megabyte, way):
    weights = context.settings.locality
    assert math.isclose(weights.seconds_per_megabyte * 1000, megabyte)
    assert math.isclose(weights.way_seconds * 1000, way)
