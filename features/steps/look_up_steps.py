"""Steps for the VMs that look-ups return and the shares of probes."""

import json
import math
import tempfile
from dataclasses import replace

from behave import given, then, when

from features.support.gateway import (
    HOST,
    build_record,
    hear,
    seeded_random,
    send_request,
)
from zinniaturn.clock import ManualClock
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.vms import VmTable
from zinniaturn.placing.address_selection import AddressSelector, vms_for_demand
from zinniaturn.placing.demand import (
    capacity,
    fleet_demand,
    probe_share,
    share_of_fleet,
)
from zinniaturn.platform.exceptions import SettingsFileError
from zinniaturn.platform.settings_file import read_settings
from zinniaturn.platform.standins.wire import (
    build_settings_document,
    encode_lookup,
)

_NOW = 100.0


@given('{count:d} VMs with a capacity of {requests:d} requests per second')
def sized_vms(context, count, requests):
    if not hasattr(context, 'records'):
        context.records = []
    context.records.extend(
        build_record(f'vm-{requests}-{number}', number=1, capacity=requests)
        for number in range(count)
    )


@when('callers send {demand:d} requests per second')
def set_demand(context, demand):
    context.demand = demand


@when('the demand is not known')
def unknown_demand(context):
    context.demand = math.inf


@then('look-ups return {count:d} VMs')
def check_count(context, count):
    selected = vms_for_demand(context.records, context.demand)
    assert len(selected) == count
    addresses = AddressSelector(seeded_random()).select(selected)
    assert len(addresses) == count


@then(
    'look-ups return the {count:d} VMs with a capacity of {capacity:d} '
    'requests per second'
)
def check_large(context, count, capacity):
    selected = vms_for_demand(context.records, context.demand)
    assert [vm.capacity for vm in selected] == [capacity for _ in range(count)]


@then('they are the same if the VMs are listed in another order')
def check_same(context):
    selected = vms_for_demand(context.records, context.demand)
    from_reversed = vms_for_demand(
        tuple(reversed(context.records)), context.demand
    )
    assert {vm.name for vm in selected} == {vm.name for vm in from_reversed}


@given(
    'a fleet of {count:d} VMs of which {busy:d} receive {load:d} requests per '
    'second each',
)
def loaded_fleet(context, count, busy, load):
    loads = [load if number < busy else 0 for number in range(count)]
    context.shares = [
        share_of_fleet(own, sum(loads) - own, count) for own in loads
    ]


@then('the shares of all VMs add up to 1')
def check_sum(context):
    assert math.isclose(sum(context.shares), 1)


@then('each of the {busy:d} has more than a sixth')
def check_busy(context, busy):
    assert sum(share > 1 / 6 for share in context.shares) == busy


@given('a VM that lists {count:d} others and hears {alive:d} of them')
def mostly_isolated_vm(context, count, alive):
    others = [build_record(f'vm-{number}') for number in range(count)]
    vms = VmTable(build_record('own'), ManualClock(_NOW))
    vms.update_records(others)
    for record in others[:alive]:
        hear(vms, record, load=50)
    context.vms = vms


@then('its share of the probes is a tenth')
def check_tenth(context):
    assert math.isclose(probe_share(context.vms, 30), 0.1)


@then('it does not know the demand')
def check_unknown(context):
    assert fleet_demand(context.vms, 30) == math.inf


@when('messages of {count:d} other VMs arrive at once')
def hear_others(context, count):
    gateway = context.gateway
    for number in range(count):
        record = build_record(f'other-{number}')
        hear(gateway.vms, record)
    gateway.reporter.log_vm_changes()


@when('all of them are declared dead')
def declare_all_dead(context):
    vms = context.gateway.vms
    for name in list(vms.vms):
        vms.declare_dead(name)
    context.gateway.reporter.log_vm_changes()


@then(
    'the log has one line for {count:d} VMs with event {event:d} that names '
    '{shown:d}',
)
def check_one_line(context, count, event, shown):
    rows = [
        row for row in context.gateway.event_log.rows if row['event'] == event
    ]
    assert [row['count'] for row in rows] == [count], rows
    assert len(rows[0]['others']) == shown


@given('a settings file whose limits are {limits}')
def limited_settings(context, limits):
    _read(context, 'limits', limits)


@given('a settings file whose locality is {locality}')
def local_settings(context, locality):
    _read(context, 'locality', locality)


def _read(context, name, text):
    document = build_settings_document('127.0.3.1', 'vm-1', 7, {}, 7000)
    document[name] = json.loads(text)
    with tempfile.NamedTemporaryFile(suffix='.json') as file:
        file.write(json.dumps(document).encode())
        file.flush()
        context.is_rejected = False
        try:
            context.settings = read_settings(file.name)
        except SettingsFileError:
            context.is_rejected = True


@then('the VM has a capacity of {amount:d} requests per second')
def check_capacity(context, amount):
    share = context.settings.processor_share
    assert capacity(share, context.settings.link_megabits) == amount


@then('the settings are rejected')
def check_settings_rejected(context):
    assert context.is_rejected


@given('the gateway has a capacity of {requests:d} requests per second')
def size_gateway(context, requests):
    vms = context.gateway.vms
    vms.own = replace(vms.own, capacity=requests)


@given(
    'it hears {large:d} VMs with a capacity of {most:d} requests '
    'per second and {small:d} with {least:d}',
)
def hear_unequal(context, large, most, small, least):
    for number in range(large + small):
        record = build_record(
            f'other-{number}',
            number=number + 100,
            capacity=most if number < large else least,
        )
        hear(context.gateway.vms, record)


@when('a caller looks up where to connect')
def look_up(context):
    text = encode_lookup(HOST, 'dc-a')
    directory = context.gateway.settings.directory
    context.answer = context.loop.run_until_complete(
        send_request(directory, text)
    )


@then("it gets {count:d} addresses, the gateway's among them")
def check_addresses(context, count):
    addresses = json.loads(context.answer[2])['addresses']
    assert len(addresses) == len(set(addresses)) == count, addresses
    assert context.gateway.vms.own.front in addresses


@then(
    'the log has {lines:d} line about look-ups, with {count:d} VMs of {size:d} '
    'in all'
)
def check_lookup_lines(context, lines, count, size):
    rows = [
        row
        for row in context.gateway.event_log.rows
        if row['event'] == LogEvent.LOOKUPS_CHANGED
    ]
    assert len(rows) == lines, rows
    assert (rows[-1]['count'], rows[-1]['alive'] + 1) == (count, size)
    assert len(rows[-1]['others']) == count
