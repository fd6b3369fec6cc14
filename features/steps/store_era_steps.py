"""Steps of a store that comes back from an older copy."""

import asyncio
import copy

from behave import given, then, when

from features.support.gateway import (
    SmallPlatform,
    build_config,
    build_fleet_state,
    build_registered,
    build_request_bytes,
    build_route_row,
    build_snapshot,
    send_request,
    wait_until,
)
from zinniaturn.clock import ManualClock
from zinniaturn.events.catalogue import LogEvent
from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.fleet.exceptions import FleetStoreError
from zinniaturn.fleet.revisions import join_revision
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.platform.standins import ServerStandIn
from zinniaturn.platform.store import PlatformStore

_OK = 200
_SETTLE_SECONDS = 1.5


def _decode(document):
    return FleetTables(document.revision, version=int(document.raw))


class _Reader:
    """A VM's state, and what it reads of the store."""

    def __init__(self):
        self.clock = ManualClock(100)
        self.fleet_state = build_fleet_state(self.clock, _decode)
        self.documents = {}

    def read(self, era, number, version, servers, is_rewritten=False):
        revision = join_revision(era, number)
        if is_rewritten or (era, version) not in self.documents:
            self.documents[era, version] = TablesDocument(
                revision, str(version).encode()
            )
        document = self.documents[era, version]
        return self.fleet_state.install(
            build_snapshot(revision, servers, document),
            self.clock.monotonic(),
        )


def _servers(names):
    return [build_registered(name) for name in names.split()]


@given(
    'a VM with tables of version {version:d} and server "{name}" at era '
    '{era:d}, revision {number:d}'
)
def build_reader(context, version, name, era, number):
    context.reader = _Reader()
    context.reader.read(era, number, version, _servers(name))


def _read(context, era, number, version, servers, is_rewritten=False):
    context.reader.clock.advance(0.5)
    context.change = context.reader.read(
        era, number, version, servers, is_rewritten
    )


@when(
    'it reads era {era:d}, revision {number:d} with tables of version '
    '{version:d} and server "{name}"'
)
@when(
    'it reads era {era:d}, revision {number:d} with tables of version '
    '{version:d} and servers "{name}"'
)
def read_ready(context, era, number, version, name):
    _read(context, era, number, version, _servers(name))


@when(
    '{seconds:g} s later it reads era {era:d}, revision {number:d} with tables '
    'of version {version:d} and server "{name}"'
)
@when(
    '{seconds:g} s later it reads era {era:d}, revision {number:d} with tables '
    'of version {version:d} and servers "{name}"'
)
def read_later(context, seconds, era, number, version, name):
    context.reader.clock.advance(seconds)
    context.reader.fleet_state.drop_expired_servers()
    _read(context, era, number, version, _servers(name))


@when(
    'it reads era {era:d}, revision {number:d} with tables of version '
    '{version:d} written again and server "{name}"'
)
def read_rewritten(context, era, number, version, name):
    _read(context, era, number, version, _servers(name), is_rewritten=True)


@when(
    'it reads era {era:d}, revision {number:d} with tables of version '
    '{version:d} and server "{name}" leaving'
)
def read_leaving(context, era, number, version, name):
    servers = [build_registered(name, leaving=True)]
    _read(context, era, number, version, servers)


@when(
    'it reads era {era:d}, revision {number:d} with tables of version '
    '{version:d} and a restarted server "{name}"'
)
def read_restarted(context, era, number, version, name):
    _read(context, era, number, version, [build_registered(name, started_ms=2)])


@then('server "{name}" is leaving at the VM')
def check_leaving(context, name):
    servers = context.reader.fleet_state.servers
    assert servers[name].server.leaving


@then('it reports that the store went back')
def check_reported(context):
    assert context.change.store_went_back


@then('the tables of version {version:d} are in force at the VM')
def check_version(context, version):
    assert context.reader.fleet_state.tables.version == version


@then('it uses the servers "{names}"')
def check_used(context, names):
    used = sorted(context.reader.fleet_state.servers)
    assert used == names.split(), used


def _fresh_digest(context, era, number, version, name):
    fresh = _Reader()
    fresh.documents = context.reader.documents
    fresh.read(era, number, version, _servers(name))
    return fresh.fleet_state.digest


@then(
    'a VM that starts with era {era:d}, revision {number:d}, tables of version '
    '{version:d} and server "{name}" has the same digest'
)
def check_same_digest(context, era, number, version, name):
    digest = _fresh_digest(context, era, number, version, name)
    assert digest == context.reader.fleet_state.digest


@then(
    'a VM that starts with era {era:d}, revision {number:d}, tables of version '
    '{version:d} and server "{name}" has another digest'
)
def check_other_digest(context, era, number, version, name):
    digest = _fresh_digest(context, era, number, version, name)
    assert digest != context.reader.fleet_state.digest


def _config(version, *names):
    rows = [
        build_route_row(name, f'/{name}/', 'idempotent')
        for name in ('reads', *names)
    ]
    return build_config(rows, version=f'{version:08x}')


@given('a platform whose store is copied, with {count:d} gateways')
def start_platform(context, count):
    async def start():
        context.platform = SmallPlatform(context)
        servers = [ServerStandIn(name=name) for name in ('s-1', 's-2')]
        await context.platform.start(servers, _config(1))
        for number in range(count):
            await context.platform.add_gateway(f'vm-{number}')
        gateways = context.platform.gateways
        await wait_until(
            lambda: all(gateway.state.pools for gateway in gateways)
        )
        await asyncio.sleep(_SETTLE_SECONDS)

    context.loop.run_until_complete(start())
    context.copy = copy.deepcopy(context.platform.store.keys)
    context.copied_revision = context.platform.store.revision


def _all(context, condition):
    async def wait():
        await wait_until(
            lambda: all(
                condition(gateway) for gateway in context.platform.gateways
            )
        )

    context.loop.run_until_complete(wait())


@when('the operator adds a route, and a server leaves and is gone')
def change_and_leave(context):
    store = context.platform.store
    store.write('op/config', _config(2, 'added'))
    store.remove('servers/s-1')
    _all(
        context,
        lambda gateway: (
            'added' in gateway.fleet_state.tables.routes
            and 's-1' not in gateway.fleet_state.servers
        ),
    )


@when('the store comes back from its copy')
def go_back(context):
    context.platform.store.go_back(context.copy, context.copied_revision)
    _all(
        context,
        lambda gateway: any(
            row['event'] == LogEvent.STORE_WENT_BACK
            for row in gateway.event_log.rows
        ),
    )
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_SECONDS))


def _status(context, gateway, path):
    response = send_request(
        gateway.settings.front, build_request_bytes(target=path)
    )
    status, _, _ = context.loop.run_until_complete(response)
    return status


@then('the added route stays in force on every gateway')
def check_route_kept(context):
    for gateway in context.platform.gateways:
        assert _status(context, gateway, '/added/1') == _OK, gateway.vms.own


@then('no gateway uses the server that had left')
def check_server_gone(context):
    for gateway in context.platform.gateways:
        assert 's-1' not in gateway.fleet_state.servers, gateway.vms.own


@when('the operator writes the tables again and adds another route')
def write_again(context):
    store = context.platform.store
    store.write('op/config', _config(2, 'added'))
    store.write('op/config', _config(3, 'added', 'other'))
    _all(context, lambda gateway: gateway.fleet_state.tables.version == 3)


@then('both routes are in force on every gateway')
def check_both_routes(context):
    for gateway in context.platform.gateways:
        for path in ('/added/1', '/other/1'):
            assert _status(context, gateway, path) == _OK, path


@then('every record of a gateway that the store had is there again')
def check_records(context):
    names = {key for key in context.copy if key.startswith('zinniaturn/vms/')}
    assert names <= set(context.platform.store.keys)


@when('the store goes back between two pages of one read')
def read_across_eras(context):
    store = context.platform.store
    store.page_items = 1
    client = PlatformStore(('127.0.0.1', store.port), '127.0.0.1')

    async def close():
        client.connections.close()

    context.closers.append(close)
    reads = store.calls['/kv-range']

    async def read():
        task = asyncio.ensure_future(client.read_snapshot())
        while store.calls['/kv-range'] == reads:
            await asyncio.sleep(0)
        store.go_back(context.copy, context.copied_revision)
        return await task

    try:
        context.loop.run_until_complete(read())
    except FleetStoreError as error:
        context.error = error
    else:
        context.error = None


@then('the read fails instead of returning a mixture')
def check_read_failed(context):
    assert context.error is not None
    assert 'era' in context.error.message, context.error.message
