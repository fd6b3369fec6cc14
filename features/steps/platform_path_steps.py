"""Steps for gateway processes on the platform, end to end."""

import asyncio
import itertools
import json
import signal
import tempfile
from pathlib import Path

from behave import given, then, when

from features.support.gateway import (
    HOST,
    build_config,
    build_request_bytes,
    build_route_row,
    read_response,
    send_request,
    wait_until,
)
from zinniaturn.experiments.loopback import loopback_host
from zinniaturn.experiments.soak.vms import (
    VM_PORTS,
    VmProcess,
    build_settings,
    make_vms,
)
from zinniaturn.platform.standins import (
    ServerStandIn,
    StoreFault,
    StoreStandIn,
)

_LOOKUP = (
    f'GET /resolve?name={HOST}&region=region&zone=dc-a HTTP/1.1\r\n'
    f'Host: directory\r\n\r\n'
).encode()
_READY = b'GET /readyz HTTP/1.1\r\nHost: readiness\r\n\r\n'
_ADDED_ROUTE = build_route_row('added', '/added/', 'idempotent')
_USUAL_ROUTES = (
    build_route_row('reads', '/reads/', 'idempotent', timeout_ms=4000),
    build_route_row('posts', '/posts/', 'non_idempotent', timeout_ms=4000),
)
_RANGE_PATH = '/kv-range'
_TIMEOUT_SECONDS = 20
_SIGHUP_EVERY_SECONDS = 0.02
_STARTED = 700


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _vm(context, number):
    return context.vms[number - 1]


async def _status(address, payload):
    try:
        response = await send_request(address, payload)
    except (OSError, EOFError):
        return 0
    return response[0]


async def _wait_for_result(expected, condition, *arguments):
    """Wait until a coroutine function returns the expected value."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _TIMEOUT_SECONDS
    while True:
        value = await condition(*arguments)
        if value == expected:
            return
        assert loop.time() < deadline, (value, expected)
        await asyncio.sleep(0.05)


async def _lookup_size(vm):
    status, _, body = await send_request(vm.directory, _LOOKUP)
    return len(json.loads(body)['addresses']) if status == 200 else 0


@given('a store and servers "{first}" and "{second}"')
def start_store(context, first, second):
    async def start():
        context.store = StoreStandIn()
        await context.store.start()
        context.closers.append(context.store.stop)
        context.store.write('op/config', build_config(_USUAL_ROUTES))
        context.servers = {}
        for name in (first, second):
            server = ServerStandIn(name=name)
            await server.start()
            context.closers.append(server.stop)
            context.servers[name] = server
            context.store.write(f'servers/{name}', server.entry())

    _run(context, start())


@given('gateway processes on VMs 1, 2 and 3')
def start_gateways(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    context.vms = make_vms(3, context.store.port, Path(folder.name))
    for vm in context.vms:
        context.add_cleanup(vm.kill)
        vm.start()
    _run(context, _wait_for_all(context))


async def _wait_for_all(context):
    for vm in context.vms:
        await _wait_for_result(200, _status, vm.readiness, _READY)
        await _wait_for_result(len(context.vms), _lookup_size, vm)


@given('the servers take {seconds:g} s')
def set_work(context, seconds):
    for server in context.servers.values():
        server.work_seconds = seconds


@when('VM {number:d} is killed')
def kill_vm(context, number):
    _vm(context, number).kill()


@when('VM {number:d} is started again')
def restart_vm(context, number):
    _vm(context, number).start()


@when('the VM that reads the store is killed')
def kill_reader(context):
    context.store.reads_by_host.clear()
    _run(context, wait_until(lambda: context.store.reads_by_host.total() > 4))
    host, _ = context.store.reads_by_host.most_common(1)[0]
    reader = next(vm for vm in context.vms if vm.host == host)
    reader.kill()
    context.vms.remove(reader)


@when('VM {number:d} gets SIGTERM while it serves a request')
def stop_vm(context, number):
    _signal_during(context, number, signal.SIGTERM)


@when('VM {number:d} gets SIGHUP while it serves a request')
def send_sighup(context, number):
    _signal_during(context, number, signal.SIGHUP)


def _signal_during(context, number, kind):
    vm = _vm(context, number)

    async def send():
        reader, writer = await asyncio.open_connection(*vm.address)
        writer.write(build_request_bytes('POST', '/posts/1', wait_ms=4000))
        await wait_until(
            lambda: any(server.running for server in context.servers.values()),
        )
        vm.signal(kind)
        context.response = await read_response(reader)
        if kind == signal.SIGTERM:
            context.bytes_after = await asyncio.wait_for(reader.read(), 10)
        writer.transport.abort()

    _run(context, send())


@when(
    'VM {number:d} is suspended for {seconds:g} s while "{name}" starts leaving'
)
def suspend_vm(context, number, seconds, name):
    _vm(context, number).signal(signal.SIGSTOP)
    start_leaving(context, name)
    _run(context, asyncio.sleep(seconds))
    _vm(context, number).signal(signal.SIGCONT)


@when('the operator adds the route "{prefix}"')
def add_route(context, prefix):
    rows = [*_USUAL_ROUTES, _ADDED_ROUTE]
    context.store.write('op/config', build_config(rows, version='00000002'))


@when('the operator removes the route "{prefix}"')
def remove_route(context, prefix):
    config = build_config(_USUAL_ROUTES, version='00000003')
    context.store.write('op/config', config)


@when("the operator's document is unreadable")
def write_unreadable(context):
    context.store.write('op/config', b'{"version": "00000009", "rou')
    _run(context, asyncio.sleep(2))


@when('"{name}" starts leaving')
def start_leaving(context, name):
    entry = context.servers[name].entry('draining')
    context.store.write(f'servers/{name}', entry)


@when('the store recovers and "{name}" starts leaving')
def repair_store(context, name):
    context.store.faults.clear()
    start_leaving(context, name)


@when('the store has the fault {fault} for all VMs')
def break_store(context, fault):
    context.store.faults[''] = StoreFault[fault]


@when('the store has the fault {fault} for VM {number:d}')
def break_store_for(context, fault, number):
    host = _vm(context, number).host
    context.store.faults[host] = StoreFault[fault]


@when('VMs {one:d} and {two:d} no longer read the store')
def silence_store_for(context, one, two):
    for number in (one, two):
        break_store_for(context, 'SILENT', number)


@when('VMs {one:d} and {two:d} read the store again')
def repair_store_for(context, one, two):
    for number in (one, two):
        context.store.faults.pop(_vm(context, number).host)


@when('{seconds:g} s pass')
def pass_seconds(context, seconds):
    context.calls_before = dict(context.store.calls)
    context.passed_seconds = seconds
    _run(context, asyncio.sleep(seconds))


@when('the store contains malformed server entries')
def write_malformed_entries(context):
    good = context.servers['s-1'].entry()
    entries = [
        b'',
        b'\xff\xfe',
        b'null',
        b'[]',
        b'{}',
        {**good, 'address': 'nowhere'},
        {**good, 'address': 7},
        {**good, 'address': '127.0.0.1:99999999'},
        {**good, 'state': 'asleep'},
        {**good, 'capacity': 0},
        {**good, 'capacity': 'many'},
        {**good, 'service': None},
        {**good, 'born': 'long ago'},
    ]
    for number, entry in enumerate(entries):
        context.store.write(f'servers/odd-{number}', entry)


@when('a gateway is started with {kind} settings')
def start_with_bad_settings(context, kind):
    folder = Path(context.folder)
    vm = VmProcess('vm-9', loopback_host(9), VM_PORTS, folder)
    settings = build_settings(vm.host, vm.name, context.store.port, VM_PORTS)
    contents = {
        'cut short': json.dumps(settings)[:80],
        'incomplete': json.dumps({**settings, 'ip': None}),
        'wrong': json.dumps({**settings, 'port_range': 'none'}),
    }
    if kind != 'missing':
        vm.settings_path.write_text(contents[kind])
    vm.start()
    context.failed_vm = vm
    context.exit_status = vm.process.wait(_TIMEOUT_SECONDS)


@when('the settings of VM {number:d} are cut short')
def cut_settings(context, number):
    path = _vm(context, number).settings_path
    path.write_text(path.read_text()[:50])


@then('a look-up at each VM returns {count:d} addresses')
def check_lookups(context, count):
    for vm in context.vms:
        _run(context, _wait_for_result(count, _lookup_size, vm))


@then('a look-up at VM {number:d} returns {count:d} addresses')
def check_lookup(context, number, count):
    vm = _vm(context, number)
    _run(context, _wait_for_result(count, _lookup_size, vm))


@then('a request through each VM gets {status:d}')
def check_requests(context, status):
    for vm in context.vms:
        assert (
            _run(context, _status(vm.address, build_request_bytes())) == status
        )


@then('the request gets {status:d} and its connection is closed after it')
def check_last_answer(context, status):
    assert context.response[0] == status
    assert context.response[1]['connection'] == 'close'
    assert context.bytes_after == b''


@then('the request gets {status:d}')
def check_answer(context, status):
    assert context.response[0] == status


@then(
    'VM {number:d} is not ready, and look-ups at VM {other:d} return '
    '{count:d} addresses'
)
def check_leaving(context, number, other, count):
    vm = _vm(context, number)
    assert _run(context, _status(vm.readiness, _READY)) == 503
    check_lookup(context, other, count)


@then('a late request to VM {number:d} gets {status:d}')
def check_late_request(context, number, status):
    vm = _vm(context, number)
    payload = build_request_bytes(wait_ms=4000)
    assert _run(context, _status(vm.address, payload)) == status


@then('VM {number:d} exits with status {status:d}')
def check_end(context, number, status):
    process = _vm(context, number).process
    assert process.wait(_TIMEOUT_SECONDS) == status
    stopped = [
        row for row in _vm(context, number).log_rows() if row['event'] == 703
    ]
    assert stopped[0]['in_flight'] == 0


@then(
    'a request for "{target}" gets {status:d} through each VM within '
    '{seconds:g} s'
)
def check_in_force(context, target, status, seconds):
    async def check():
        await asyncio.sleep(seconds)
        for vm in context.vms:
            payload = build_request_bytes(target=target)
            assert await _status(vm.address, payload) == status

    _run(context, check())


def _arrivals(context):
    return {name: server.arrivals for name, server in context.servers.items()}


def _check_all_go_to(context, vms, count, name):
    before = _arrivals(context)
    for vm in itertools.islice(itertools.cycle(vms), count):
        status = _run(context, _status(vm.address, build_request_bytes()))
        assert status == 200, status
    after = _arrivals(context)
    received = {key: after[key] - before[key] for key in after}
    assert received[name] >= count
    assert sum(received.values()) == received[name], received


@then('{count:d} requests through the VMs all go to "{name}"')
def check_drained(context, count, name):
    _check_all_go_to(context, context.vms, count, name)


@then('{count:d} requests through VM {number:d} all go to "{name}"')
def check_drained_at(context, count, number, name):
    _check_all_go_to(context, [_vm(context, number)], count, name)


@then('the store was read at most {rate:d} times a second')
def check_reads(context, rate):
    before = context.calls_before.get(_RANGE_PATH, 0)
    reads = context.store.calls[_RANGE_PATH] - before
    assert 0 < reads <= rate * context.passed_seconds, reads


@then('the log of VM {number:d} has event {event:d}')
def check_event(context, number, event):
    assert event in {row['event'] for row in _vm(context, number).log_rows()}


@then('the log of VM {number:d} or another VM has event {event:d}')
def check_some_event(context, number, event):
    events = {row['event'] for vm in context.vms for row in vm.log_rows()}
    assert event in events


@then(
    'it exits with status {status:d} and logs the reason with event {event:d}'
)
def check_bad_start(context, status, event):
    assert context.exit_status == status
    rows = context.failed_vm.log_rows()
    assert [row['event'] for row in rows] == [event]
    assert rows[0]['reason']


@when(
    'VM {number:d} is started again, and gets SIGHUP from its first module on '
    'until it listens, as its settings change'
)
def restart_with_sighup(context, number):
    vm = _vm(context, number)
    settings = json.loads(vm.settings_path.read_text())
    starts = len(_start_rows(vm))

    async def run():
        vm.start()
        await wait_until(lambda: _survives_sighup(vm.process.pid))
        settings.setdefault('bounds', {})['probes_per_s'] = 59
        vm.settings_path.write_text(json.dumps(settings))
        while vm.is_running() and len(_start_rows(vm)) == starts:
            vm.signal(signal.SIGHUP)
            await asyncio.sleep(_SIGHUP_EVERY_SECONDS)

    _run(context, run())


def _survives_sighup(pid):
    """Return whether a process ignores the signal, or handles it."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    masks = dict(line.split(':', 1) for line in lines)
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(masks[name], 16) & bit for name in ('SigIgn', 'SigCgt'))


def _start_rows(vm):
    return [row for row in vm.log_rows() if row['event'] == _STARTED]


@then('VM {number:d} soon uses the changed settings')
def check_settings_used(context, number):
    vm = _vm(context, number)

    def has_started_or_reloaded():
        rows = vm.log_rows()
        last_start = max(
            index for index, row in enumerate(rows) if row['event'] == _STARTED
        )
        events = {row['event'] for row in rows[last_start:]}
        return 704 in events or _started_with_change(vm, rows[last_start])

    _run(context, wait_until(has_started_or_reloaded))


def _started_with_change(vm, started_row):
    """Return whether a process had begun to listen after the change."""
    changed_at = vm.settings_path.stat().st_mtime
    return started_row['time'] > changed_at
