"""Steps of the decision to pass requests on."""

import random
from collections import Counter

import msgspec
from behave import given, then, when

from features.support.gateway import build_candidate, build_record, build_report
from zinniaturn.clock import ManualClock
from zinniaturn.fleet.datagrams import ReachRow, ResponseRow
from zinniaturn.placing.address_selection import vms_with_paths
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue
from zinniaturn.reach import decision as decisions
from zinniaturn.reach.decision import PassOn, PoolPath, decide
from zinniaturn.reach.reach_table import ReachTable
from zinniaturn.reach.witnesses import PoolResponse
from zinniaturn.relay.selection import RelayVm, select_relays

_POOL = 'pool'
_SIZE = 6
_SERVERS = ('s-1', 's-2', 's-3', 's-4')
_CALLS = 3000


def _vms(count):
    return tuple(f'vm-{number + 2}' for number in range(count))


@given(
    'a pool that is {silent} and {connects}, with {witnesses:d} witnesses '
    'among {peers:d} VMs'
)
def build_path(context, silent, connects, witnesses, peers):
    context.path = {
        'is_silent': silent == 'silent',
        'refuses_connections': connects == 'refuses connections',
        'witnesses': _vms(witnesses),
        'peers': peers,
    }


@given('the others were asked {milliseconds:d} ms ago')
def set_asked(context, milliseconds):
    seconds = milliseconds / 1000
    context.path = PoolPath(
        asked_seconds=seconds, silent_seconds=seconds, **context.path
    )


@when('a request is decided that is {origin} and {placed}')
def decide_request(context, origin, placed):
    context.decision = decide(
        context.path, origin == 'of another VM', placed == 'unplaced'
    )


@then('the decision is {name}')
def check_decision(context, name):
    expected = getattr(decisions, name)
    assert isinstance(context.decision, expected), context.decision
    if isinstance(context.decision, PassOn):
        assert context.decision.vms == context.path.witnesses


def _build_table(context):
    context.clock = ManualClock(9.0)
    context.asked = []
    context.reach = ReachTable(context.clock, 'vm-1', lambda: 4)
    context.reach.ask_now = lambda: context.asked.append(context.clock.now)


def _fall_silent(context, pools):
    context.reach.own.retain(dict.fromkeys(pools, _SIZE))
    for pool in pools:
        context.reach.own.note_response(pool)
    context.clock.now = 10.0
    for pool in pools:
        for server in _SERVERS:
            context.reach.own.note_tried(pool, server)


@given('a VM to which the servers of "{pool}" fell silent at 10.0 s')
def start_silent(context, pool):
    _build_table(context)
    _fall_silent(context, [pool])


@given('a VM to which the servers of "{pool}" responded at 10.0 s')
def start_with_response(context, pool):
    _build_table(context)
    context.clock.now = 10.0
    context.reach.own.retain({pool: _SIZE})
    context.reach.own.note_response(pool)


@when(
    'it tries to connect to all of them at {begin:g} s and gives up at '
    '{end:g} s'
)
def connect_across_stall(context, begin, end):
    context.clock.now = begin
    for server in _SERVERS:
        context.reach.own.note_tried(_POOL, server)
    context.clock.now = end
    for failed in _SERVERS:
        context.reach.own.note_unconnected(_POOL, failed, begin)


@then('no failure is held against "{pool}"')
def check_no_failure(context, pool):
    assert not context.reach.own.of(pool).failed
    assert not context.reach.own.refuses_connections(pool)


@given('a VM to which all pools respond')
def start_responding(context):
    _build_table(context)


@given(
    'a VM to which {count:d} pools have fallen silent, which {others:d} others '
    'ask about'
)
def start_many_silent(context, count, others):
    _build_table(context)
    pools = [f'pool-{number}' for number in range(count)]
    _fall_silent(context, pools)
    context.clock.now = 10.3
    context.reach.update()
    for number in range(others):
        vm = f'vm-{number + 2}'
        context.reach.learn(vm, pools, ())
        context.reach.learn(
            vm, (), [PoolResponse(pool, vm, 10.2) for pool in pools]
        )


@when('it is {now:g} s')
def set_time(context, now):
    context.clock.now = now
    context.reach.update()


@when('it is {now:g} s, and "{vm}" says that it was answered at {at:g} s')
def hear_witness(context, now, vm, at):
    hear_of_witness(context, now, vm, vm, at)


@when(
    'it is {now:g} s, and "{vm}" says that "{other}" was answered at {at:g} s'
)
def hear_of_witness(context, now, vm, other, at):
    set_time(context, now)
    context.reach.learn(vm, (), [PoolResponse(_POOL, other, at)])
    context.reach.update()


@when('"{vm}" asks about "{pool}"')
def hear_question(context, vm, pool):
    context.reach.learn(vm, [pool], ())


@when('a server of "{pool}" responds to it')
def respond(context, pool):
    context.reach.own.note_response(pool)
    context.reach.update()


@then('the VM has lost its path to "{pool}"')
def check_lost(context, pool):
    assert context.reach.cut_off == {pool}
    assert context.reach.path(pool).is_lost


@then('the VM has not lost its path to "{pool}"')
def check_not_lost(context, pool):
    assert not context.reach.cut_off
    assert not context.reach.path(pool).is_lost


@then('nothing is passed on')
def check_nothing_passed_on(context):
    decision = context.reach.decide(_POOL, is_relayed=False)
    assert not isinstance(decision, PassOn), decision


@then('requests for "{pool}" are passed on to "{vm}" only')
def check_passed_on(context, pool, vm):
    assert context.reach.decide(pool, is_relayed=False) == PassOn((vm,))


@then('the VM asks about no pool and is cut off from none')
def check_idle(context):
    assert not context.reach.questions_to_send()
    assert not context.reach.cut_off


def _reach_row(context):
    return ReachRow(
        context.reach.questions_to_send(),
        tuple(
            ResponseRow(one.pool, one.vm, 100)
            for one in context.reach.responses_to_send('vm-2')
        ),
    )


@then('what it says of its paths takes {count:d} bytes')
def check_bytes(context, count):
    assert len(msgspec.msgpack.encode(_reach_row(context))) == count


@then('what it says of its paths takes at most {count:d} bytes')
def check_most_bytes(context, count):
    size = len(msgspec.msgpack.encode(_reach_row(context)))
    assert size <= count, size


@then(
    'its messages name at most {questions:d} pools that it asks about and '
    '{responses:d} responses'
)
def check_bounds(context, questions, responses):
    row = _reach_row(context)
    assert 0 < len(row.questions) <= questions
    assert 0 < len(row.responses) <= responses


@given(
    'VMs with capacities {first:d}, {second:d} and {third:d} of which the '
    'second has a load of {load:d}'
)
def build_relays(context, first, second, third, load):
    address = ('127.0.0.1', 7000)
    context.relays = [
        RelayVm('vm-1', address, first),
        RelayVm('vm-2', address, second, load),
        RelayVm('vm-3', address, third),
    ]


@when('requests are passed on {count:d} times')
def select_often(context, count):
    source = random.Random(1)
    context.firsts = Counter(
        select_relays(context.relays, source)[0].name for _ in range(count)
    )


@then('the first VM comes first most often, and each at least {count:d} times')
def check_firsts(context, count):
    assert context.firsts.most_common(1)[0][0] == 'vm-1', context.firsts
    assert len(context.firsts) == len(context.relays)
    assert min(context.firsts.values()) >= count, context.firsts


@given('{count:d} VMs of capacity {capacity:d} of which {cut:d} are cut off')
def build_vms(context, count, capacity, cut):
    context.vms = [
        build_record(f'vm-{number}', number=number + 1, capacity=capacity)
        for number in range(count)
    ]
    context.cut_off = {vm.name for vm in context.vms[:cut]}


@then('look-ups for a demand of {demand:d} name {count:d} VMs')
def check_named(context, demand, count):
    named = vms_with_paths(context.vms, context.cut_off, demand)
    assert len(named) == count
    if count < len(context.vms):
        assert not context.cut_off & {vm.name for vm in named}


def _queued(number, is_relayed):
    return QueuedRequest(
        0.1,
        float(number),
        100.0 + number,
        200.0,
        1,
        lambda offer: 0.1,
        lambda: None,
        is_relayed=is_relayed,
    )


@given('a queue with a request of another VM and then one of an own caller')
def build_queue(context):
    # The newest request would come first among equals.
    context.own = _queued(1, is_relayed=False)
    context.relayed = _queued(2, is_relayed=True)
    context.queue = RequestQueue()
    context.queue.add(context.relayed)
    context.queue.add(context.own)


@when('a slot is offered twice')
def offer_twice(context):
    context.granted = []
    for _ in range(2):
        assert context.queue.match(Offer(build_candidate(), build_report()), 3)
        context.granted.append(context.own.granted is not None)


@then("the own caller's request gets the first one")
def check_own_first(context):
    assert context.granted[0]
    assert context.relayed.granted is not None


@given('a queue of {count:d} requests, every second one of another VM')
def build_long_queue(context, count):
    context.queue = RequestQueue()
    context.requests = [_queued(number, number % 2) for number in range(count)]
    for request in context.requests:
        context.queue.add(request)


@when('those in excess are rejected')
def reject_excess(context):
    assert context.queue.reject_unservable(12)


@then('all requests that were rejected are of other VMs')
def check_rejected(context):
    rejected = [
        one for one in context.requests if one.retry_after_seconds is not None
    ]
    assert rejected
    assert all(one.is_relayed for one in rejected)
