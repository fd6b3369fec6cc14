"""Steps for the soak test and its checks."""

import asyncio
import dataclasses
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from zinniaturn.experiments.soak.callers import Call
from zinniaturn.experiments.soak.checking import check_guarantees
from zinniaturn.experiments.soak.fleet import (
    LinkCut,
    SoakFleet,
    SoakServer,
)
from zinniaturn.experiments.soak.plan import make_plan
from zinniaturn.experiments.soak.resources import DESCRIPTORS, MEMORY_MEGABYTES
from zinniaturn.experiments.soak.run import run_seed
from zinniaturn.experiments.soak.vms import (
    VM_PORTS,
    VmPorts,
    VmProcess,
    make_vms,
)
from zinniaturn.platform.standins import ServerStandIn

_PLAN_SECONDS = 20
_PORTS = VmPorts(1, 2, 3, 4)
_CALLS_IN_CUT = 20
_EPHEMERAL_PORTS = Path('/proc/sys/net/ipv4/ip_local_port_range')
_PRINT_HOSTS = (
    'from zinniaturn.experiments.loopback import loopback_host as host;'
    'print(host(1), host(2), host(3))'
)


@given('the VMs of a test run in this process and of one in another process')
def make_two_runs(context):
    with tempfile.TemporaryDirectory() as folder:
        own_hosts = [vm.host for vm in make_vms(3, 1, Path(folder))]
    printed = subprocess.check_output([sys.executable, '-c', _PRINT_HOSTS])
    context.hosts = [*own_hosts, *printed.decode().split()]


@then('no two of them have the same address')
def check_hosts_differ(context):
    assert len(context.hosts) == 6
    assert len(set(context.hosts)) == 6, context.hosts


@then('their ports are none that the kernel gives to outgoing connections')
def check_ports(context):
    first_ephemeral_port = int(_EPHEMERAL_PORTS.read_text().split()[0])
    ports = dataclasses.astuple(VM_PORTS)
    assert max(ports) + 1 < first_ephemeral_port, ports


@then(
    'seed {seed:d} gives the same plan twice and seed {other:d} a different one'
)
def check_plans(context, seed, other):
    first = make_plan(seed, _PLAN_SECONDS)
    assert first == make_plan(seed, _PLAN_SECONDS)
    assert first != make_plan(other, _PLAN_SECONDS)
    assert len(first) > 5


@when('the soak runs seed {seed:d} for {seconds:g} s')
def run_soak_seed(context, seed, seconds):
    context.report = asyncio.run(run_seed(seed, seconds))


@then('at least {count:d} requests succeeded and no guarantee was violated')
def check_report(context, count):
    assert not context.report.violations, context.report.violations
    assert context.report.answered >= count, context.report


def _call(context, request_id, route='reads', **fields):
    call = Call(request_id, route, context.vm, 100, 100.1, 200)
    for attribute, setting in fields.items():
        setattr(call, attribute, setting)
    context.calls.append(call)
    return call


@given('a soak in which a POST ran twice and was answered with 503')
def add_post_run_twice(context):
    server = ServerStandIn(name='s-1')
    context.fleet = SoakFleet(1, Path())
    context.server = SoakServer(server, None, None)
    context.fleet.servers.append(context.server)
    context.vm = VmProcess('vm-1', '127.0.0.1', _PORTS, Path())
    context.calls = []
    _call(context, 'twice', 'posts', status=503)
    server.runs[b'twice'] = 2


@given("a read that got another request's body")
def add_foreign_read(context):
    _call(context, 'foreign', signature='by-s-1', body=b'other answer')


@given('a read that succeeded on a removed route')
def add_read_of_removed_route(context):
    context.fleet.removed_routes['gone'] = 90
    _call(
        context, 'removed', 'gone', signature='by-s-1', body=b'removed answer'
    )


@given('a request that reached a server long after it began to drain')
def add_late_request(context):
    server = ServerStandIn(name='s-2')
    left = SoakServer(server, None, None, left_at=97)
    context.fleet.servers_that_left.append(left)
    server.arrived_at[b'late'] = 100
    _call(context, 'late', signature='by-s-2', body=b'late answer')


@given('a request that was answered too late')
def add_delayed_request(context):
    _call(context, 'held', status=504, ended_at=103)


@given('a running request whose connection a planned stop closed')
def add_cut_off_request(context):
    stopping = VmProcess('vm-2', '127.0.0.2', _PORTS, Path())
    stopping.stopping_since = 99.5
    call = _call(context, 'cut', status=0, was_cut_off=True)
    call.vm = stopping
    context.server.server.runs[b'cut'] = 1


@given('callers that were served everywhere but at a VM without links')
def add_cut_calls(context):
    cut = VmProcess('vm-3', '127.0.0.3', _PORTS, Path())
    context.fleet.cuts.append(LinkCut(frozenset((cut.host,)), 90, 105))
    for number in range(_CALLS_IN_CUT):
        call = _call(context, f'unserved-{number}', status=503)
        call.vm = cut
        _call(
            context,
            f'served-{number}',
            signature='by-s-1',
            body=b'served-%d answer' % number,
        )


@given('VMs of which one has ended by itself, and one has taken too much')
def add_resources(context):
    resources = context.fleet.resources
    ended = VmProcess('vm-4', '127.0.0.4', _PORTS, Path())
    ended.process = subprocess.Popen([sys.executable, '-c', ''])
    ended.process.wait()
    resources.note(ended, 100)
    resources.memory_bytes['vm-5'] = (MEMORY_MEGABYTES + 1) * 10**6
    resources.descriptors['vm-5'] = DESCRIPTORS + 1


@then('each of these is reported as a violation')
def check_violations(context):
    violations = check_guarantees(context.fleet, context.calls, [])
    reported = sorted(
        (violation.request_id, violation.promise) for violation in violations
    )
    assert reported == [
        ('', 'processes stay alive'),
        ('', 'within descriptors'),
        ('', 'within memory'),
        ('cut', 'a stop cuts nothing off'),
        ('foreign', 'whole answer of its own'),
        ('held', 'answered in time'),
        ('late', 'no new work'),
        ('removed', 'tables in force'),
        ('twice', 'at most once'),
        ('twice', 'not run is true'),
        ('unserved-0', 'served while cut off'),
    ], reported
    violations_outside_stall = check_guarantees(
        context.fleet, context.calls, [99.9]
    )
    assert len(violations_outside_stall) < len(violations)


@given('a soak whose gateways ended at their start')
def build_empty_soak(context):
    context.fleet = SoakFleet(1, Path())
    context.calls = []


@then('"{promise}" is reported as a violation')
def check_violation(context, promise):
    violations = check_guarantees(context.fleet, context.calls, [])
    assert [violation.promise for violation in violations] == [promise]
