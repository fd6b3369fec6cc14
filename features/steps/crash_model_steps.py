"""Steps of the model of requests that end servers."""

from behave import given, then, when

from zinniaturn.experiments.crash_days import (
    AIMED_CRASHES,
    play_day,
    play_innocent_day,
)
from zinniaturn.experiments.crash_model import CrashModel
from zinniaturn.fleet.datagrams import decode_datagram
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.table import Ruling

_KEY = 7
_RATE = 4.0
_INNOCENT_RATE = 60.0
_BYTES_PER_SECOND = 11 * 1024


@when(
    'a random day of 13 VMs with requests that end servers is played with '
    'seed {seed:d}'
)
def play(context, seed):
    context.day = play_day(13, seed)


@when(
    'a random day of 13 VMs without a guilty request is played with seed '
    '{seed:d}'
)
def play_innocent(context, seed):
    context.day = play_innocent_day(13, seed)


@then(
    'its guilty requests were kept from the servers and no innocent one was '
    'held'
)
def check_day(context):
    assert context.day.served
    assert not context.day.violations, context.day


def _build_model(vms, servers, seconds, key=None):
    model = CrashModel(vms, servers, seed=3, loss=0.05)
    model.fleet.run(2)
    end = model.now + seconds

    def until_end(next_key):
        return lambda: next_key() if model.now < end else None

    model.add_stream(_INNOCENT_RATE, until_end(model.fresh_key))
    if key is not None:
        model.guilty[key] = 1.0
        model.add_stream(_RATE, until_end(lambda: key))
    return model


@when(
    'one guilty request comes to {vms:d} VMs before {servers:d} servers for '
    '{seconds:d} s'
)
def play_one(context, vms, servers, seconds):
    context.model = _build_model(vms, servers, seconds, _KEY)
    context.seconds = seconds
    context.bytes_before = {
        vm.name: vm.bytes_sent for vm in context.model.fleet.vms
    }
    context.model.fleet.run(seconds)


@then('it ended at most {most:d} servers')
def check_crashes(context, most):
    assert most == AIMED_CRASHES
    assert len(context.model.crashes[_KEY]) <= most, context.model.crashes


@then('no VM sent more than 11 KB a second')
def check_bytes(context):
    most = max(
        vm.bytes_sent - context.bytes_before[vm.name]
        for vm in context.model.fleet.vms
    )
    assert most <= _BYTES_PER_SECOND * context.seconds, most


@when('{vms:d} VMs serve requests for {seconds:d} s and no server ends')
def play_calm(context, vms, seconds):
    model = _build_model(vms, 8, seconds)
    context.told = []
    transmit = model.fleet.transmit

    def record(vm, data, address):
        context.told.append(decode_datagram(data).quarantine)
        transmit(vm, data, address)

    model.fleet.transmit = record
    model.fleet.run(seconds)


@then('no datagram told of a crash')
def check_silence(context):
    assert context.told
    assert all(row is None for row in context.told)


@given('{vms:d} VMs that hold a request')
def hold_at_all(context, vms):
    context.model = CrashModel(vms, 8, seed=5, loss=0.05)
    fleet = context.model.fleet
    first = fleet.vms[0]
    fleet.run(1)
    for number in range(3):
        fleet.run(0.3)
        first.gossip.crash_news.report_crash(
            CrashRecord(
                ServerProcess(f's-{number}', 1),
                context.model.now,
                {_KEY},
                {'vm-1', 'vm-2'},
            )
        )
    fleet.run(2)
    assert all(map(_holds, fleet.vms))


def _holds(vm):
    return vm.gossip.quarantine.ruling(_KEY) is Ruling.REJECT


@when('a VM is cut off from the others while an operator lifts the verdict')
def lift_meanwhile(context):
    fleet = context.model.fleet
    context.missing = fleet.vms[-1]
    context.missing.side = 1
    fleet.run(0.2)
    first = fleet.vms[0]
    first.gossip.crash_news.report_lift(_KEY, context.model.now)
    fleet.run(3)
    assert _holds(context.missing)


@when('the VM is back for {seconds:d} s')
def bring_back(context, seconds):
    context.missing.side = 0
    context.model.fleet.run(seconds)


@when('another VM starts again')
def start_again(context):
    context.model.restart_vm(context.model.fleet.vms[1], 0.5)
    context.model.fleet.run(3)


@then('no VM holds the request')
def check_none_holds(context):
    holding = [vm.name for vm in context.model.fleet.vms if _holds(vm)]
    assert not holding, holding
