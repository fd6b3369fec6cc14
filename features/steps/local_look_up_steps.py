"""Steps for look-ups of callers that name their data centre."""

from collections import Counter
from itertools import chain, repeat
from types import SimpleNamespace

from behave import given, then, when

from features.support.gateway import build_record, hear, seeded_random
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.domain import VmStage
from zinniaturn.fleet.vms import VmTable
from zinniaturn.gateway.endpoints import LookupEndpoint
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.locality.activation import Activation, LocalityMode
from zinniaturn.locality.look_ups import LocalShare, LocalVms
from zinniaturn.locality.table import LocalityTable
from zinniaturn.placing.address_selection import AddressSelector

_NOW = 100.0
_MOST = 64
_LOOK_UPS = 2000
_DELAY_SECONDS = 3


@given(
    '{own:d} VMs of {size:d} requests per second in "dc-a" and {others:d} in '
    '"dc-b"'
)
def place_vms(context, own, size, others):
    names = chain(repeat('dc-a', own), repeat('dc-b', others))
    context.records = [
        build_record(f'vm-{number}', name, number + 1, size)
        for number, name in enumerate(names)
    ]
    context.local = LocalVms(seeded_random(), _MOST)
    context.local.set_selected(context.records)


@when('callers of "dc-a" send {demand:d} requests per second')
def set_local_demand(context, demand):
    capacity = context.local.capacity('dc-a')
    context.local.shares['dc-a'] = LocalShare.for_demand(capacity, demand)


def _answers(context):
    return [context.local.choose('dc-a') for _ in range(_LOOK_UPS)]


@then('look-ups from "dc-a" return its {count:d} VMs and no other')
def check_only_own(context, count):
    for answer in _answers(context):
        assert len(answer) == count
        assert {vm.data_center for vm in answer} == {'dc-a'}


@then('each of them comes first equally often')
def check_spread(context):
    firsts = Counter(answer[0].name for answer in _answers(context))
    assert min(firsts.values()) > _LOOK_UPS / len(firsts) * 0.8, firsts


@then('a quarter of the addresses for "dc-a" are its own')
def check_quarter(context):
    assert 0.2 < _own_share(context) < 0.3, _own_share(context)


@then('about half of the addresses for "dc-a" are its own')
def check_half(context):
    assert 0.4 < _own_share(context) < 0.6, _own_share(context)


def _own_share(context):
    answers = _answers(context)
    # Callers choose one address of an answer at random.
    return sum(
        sum(vm.data_center == 'dc-a' for vm in answer) / len(answer)
        for answer in answers
    ) / len(answers)


@when('callers of "dc-a" send {demand:d} requests per second for {seconds:d} s')
def play_demand(context, demand, seconds):
    capacity = context.local.capacity('dc-a')
    # The first guess is wrong by half.
    share = LocalShare.for_demand(capacity, demand / 2)
    context.used = []
    shares = [share.share for _ in range(_DELAY_SECONDS)]
    for now in range(seconds):
        load = demand * shares[-_DELAY_SECONDS]
        if share.is_due(now):
            share.review(load, capacity, now)
        shares.append(share.share)
        context.used.append(load / capacity)


@then(
    'the load of "dc-a" settles between {least:g} and {most:g} of its capacity'
)
def check_settled(context, least, most):
    settled = context.used[len(context.used) // 10 :]
    assert min(settled) >= least, settled
    assert max(settled) <= most, settled
    assert len(set(settled)) == 1


@given('the gateway of "dc-b" hears them')
def hear_all(context):
    vms = VmTable(context.records[-1], ManualClock(_NOW))
    vms.update_records(context.records)
    for record in context.records[:-1]:
        hear(vms, record, load=10)
    state = SimpleNamespace(
        vms=vms,
        stage=VmStage.READY,
        locality=LocalityTable('dc-b', activation=Activation(LocalityMode.ON)),
        event_log=EventLog('vm', -1),
        fleet_request_rate=lambda: 100.0,
        own_request_rate=lambda: 10.0,
    )
    context.endpoint = LookupEndpoint(state, AddressSelector(seeded_random()))
    context.endpoint.update_selected()


@then('a look-up from "{caller}" returns VMs of all data centres')
@then('a look-up from "" returns VMs of all data centres')
def check_all(context, caller=''):
    fronts = context.endpoint.fronts_for(caller)
    assert sorted(fronts) == sorted(vm.front for vm in context.records)
    if context.records[0].capacity:
        own = context.endpoint.fronts_for('dc-b')
        assert len(own) < len(fronts), own
