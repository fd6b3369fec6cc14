"""Builds gateways, stand-ins and documents of the platform for tests."""

import asyncio
import random
from dataclasses import replace

from features.support.time_limits import time_limit
from zinniaturn.admission.admission import Admission, ServerNotice
from zinniaturn.choosing.reports import LoadReport
from zinniaturn.clock import BootClock, ManualClock
from zinniaturn.experiments.loopback import loopback_host
from zinniaturn.experiments.soak.vms import VM_PORTS
from zinniaturn.fleet.domain import (
    FleetSnapshot,
    RegisteredServer,
    TablesDocument,
    VmRecord,
    VmStage,
    VmStatus,
)
from zinniaturn.fleet.fleet_state import FleetState
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.gateway.event_log import EventLog
from zinniaturn.gateway.process import Gateway
from zinniaturn.gateway.settings import FleetBounds, GatewaySettings
from zinniaturn.http1.messages import Request
from zinniaturn.placing.candidates import Candidate
from zinniaturn.placing.server_stats import ServerStats
from zinniaturn.platform.standins import StoreStandIn
from zinniaturn.platform.standins.wire import ROUTE_COLUMNS
from zinniaturn.platform.store import PlatformStore
from zinniaturn.platform.wire_format import PlatformWireFormat
from zinniaturn.standins.vm_links import LinkProxy, VmLinks
from zinniaturn.tables.domain import Server

HOST = 'shop.example'
_TIMEOUT_SECONDS = 10
_POLL_SECONDS = 0.01
_CLOSED_OUTPUT = -1


class ListedEventLog(EventLog):
    """An event log that keeps its rows in a list instead of writing them."""

    def __init__(self):
        super().__init__('vm-1', _CLOSED_OUTPUT)
        self.rows = []

    def _write_row(self, row):
        self.rows.append(row)


def build_registered(
    name='s-1', pool='pool', started_ms=1, host='127.0.0.1', **fields
):
    """Return a registered server with default fields."""
    server = Server(name, host, 9000, fields.pop('slots', 4), **fields)
    return RegisteredServer(server, pool, started_ms)


def build_snapshot(revision=1, servers=(), document=None):
    """Return a snapshot of the store with these servers."""
    return FleetSnapshot(revision, document, tuple(servers))


def build_record(
    name='vm-1', data_center='dc-a', number=1, capacity=0, fleet_size=0
):
    """Return a VM record."""
    front = f'127.0.0.{number}:8000'
    address = (f'127.0.0.{number}', 7000)
    return VmRecord(name, data_center, front, address, capacity, fleet_size)


def hear(vms, record, stage=VmStage.READY, load=0, version=1):
    """Let a VM table receive a message of the VM with this record."""
    vms.apply(VmStatus(record.name, version, stage, load, record))
    vms.note_heard(record.name, version)


def build_fleet_state(clock=None, decode=None):
    """Return a fleet state without data."""
    return FleetState(
        clock or ManualClock(100),
        decode or (lambda document: FleetTables(document.revision)),
    )


def build_document(revision=1, raw=b'{}'):
    """Return a tables document."""
    return TablesDocument(revision, raw)


def build_candidate(name='s-1', **fields):
    """Return a candidate server without statistics."""
    registered = build_registered(name, **fields)
    notice = ServerNotice(name, registered.started_ms)
    return Candidate(registered, ServerStats(), Admission(BootClock(), notice))


def build_report(busy=0, queued=0, slots=4, slowness=1.0):
    """Return a load report."""
    return LoadReport(busy, queued, slots, slowness)


def build_config(
    routes=None,
    services=('pool',),
    version='00000001',
    warm_up_per_second=None,
    **limits,
):
    """Return the operator's document with two default routes."""
    rows = routes or [
        build_route_row('reads', '/reads/', 'idempotent'),
        build_route_row('posts', '/posts/', 'non_idempotent'),
    ]
    document = {
        'version': version,
        'routes': {
            'columns': [*ROUTE_COLUMNS, 'traffic_split'],
            'rows': rows,
        },
        'services': {
            'columns': ['name', 'health_path', 'max_conns', 'warmup_per_s'],
            'rows': [
                [name, '/healthz', 220, warm_up_per_second] for name in services
            ],
        },
    }
    if limits:
        document['limits'] = limits
    return document


def build_route_row(
    name,
    prefix,
    kind,
    service='pool',
    timeout_ms=1000,
    max_attempts=2,
    split=None,
    target_ms=400,
):
    """Return a route as a row of the operator's document."""
    return [
        name,
        HOST,
        prefix,
        kind,
        timeout_ms,
        target_ms,
        1,
        service,
        max_attempts,
        split,
    ]


def build_request(method=b'GET', target=b'/reads/1', body=b'', **fields):
    """Return a caller's request."""
    rows = [(b'Host', HOST.encode())]
    rows.extend(
        (name.replace('_', '-').encode(), text) for name, text in fields.items()
    )
    return Request(method, target, rows, body, True, 0)


def build_request_bytes(
    method='GET',
    target='/reads/1',
    request_id='id-1',
    wait_ms=1000,
    body=b'',
    extra='',
):
    """Return a caller's request as bytes."""
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Attempt-Id: {request_id}\r\n'
        f'X-Request-Deadline-Ms: {wait_ms}\r\n'
        f'Content-Length: {len(body)}\r\n{extra}\r\n'
    )
    return head.encode() + body


class SmallPlatform:
    """
    A store, servers and gateways on loopback addresses in this process.

    With `add_proxied_server` a server stands behind a proxy, so that ``links``
    can cut single VMs off from it.
    """

    def __init__(self, context):
        self.context = context
        self.store = StoreStandIn()
        self.servers = []
        self.gateways = []
        self.links = VmLinks()
        self.proxies = {}

    async def start(self, servers, config=None):
        await self.store.start()
        self.context.closers.append(self.store.stop)
        self.store.write('op/config', config or build_config())
        for server in servers:
            await self.add_server(server)

    async def add_server(self, server):
        await server.start()
        self.context.closers.append(server.stop)
        self.servers.append(server)
        self.store.write(f'servers/{server.name}', server.entry())

    async def add_proxied_server(self, server):
        await server.start()
        self.context.closers.append(server.stop)
        proxy = LinkProxy(('127.0.0.1', server.port), self.links)
        await proxy.start()
        self.context.closers.append(proxy.stop)
        self.servers.append(server)
        self.proxies[server.name] = proxy
        self.store.write(f'servers/{server.name}', self.entry_of(server))

    def entry_of(self, server):
        """Return a server's entry, with the address of its proxy if any."""
        entry = server.entry()
        proxy = self.proxies.get(server.name)
        if proxy is not None:
            entry['address'] = f'127.0.0.1:{proxy.port}'
        return entry

    async def add_gateway(
        self,
        name='vm-1',
        data_center='dc-a',
        is_first_start=False,
        before_start=None,
        **bounds,
    ):
        host = loopback_host(len(self.gateways) + 1)
        settings = GatewaySettings(
            name=name,
            host=host,
            data_center=data_center,
            store=('127.0.0.1', self.store.port),
            front=(host, VM_PORTS.front),
            readiness=(host, VM_PORTS.readiness),
            directory=(host, VM_PORTS.directory),
            first_port=VM_PORTS.range_start,
            is_first_start=is_first_start,
            bounds=FleetBounds(**bounds),
        )
        gateway = Gateway(
            settings,
            PlatformStore(settings.store, host),
            PlatformWireFormat(),
            ListedEventLog(),
        )
        if before_start is not None:
            before_start(gateway)
        await gateway.start()
        self.gateways.append(gateway)
        self.context.closers.append(lambda: close_gateway(gateway))
        return gateway


async def close_gateway(gateway):
    """Close a gateway without a graceful shutdown."""
    for task in gateway.tasks:
        task.cancel()
    gateway.peers.close()
    for listener in gateway.listeners:
        listener.close()
        for connection in list(listener.connections):
            connection.transport.abort()
    gateway.state.connections.close()
    gateway.store.connections.close()
    await asyncio.sleep(0)


async def replace_gateway(context, name):
    """Go on with a new gateway of the same bounds as the scenario's one."""
    bounds = context.gateway.settings.bounds
    context.gateway = await context.platform.add_gateway(name)
    gateway = context.gateway
    gateway.settings = replace(gateway.settings, bounds=bounds)
    context.front = gateway.settings.front
    await wait_until(lambda: gateway.state.pools)


async def wait_until(condition, seconds=_TIMEOUT_SECONDS):
    """
    Wait until a condition holds; raises `TimeoutError`.

    Time in which the test process was stopped doesn't count.
    """
    for _ in range(round(seconds / _POLL_SECONDS)):
        if condition():
            return
        await asyncio.sleep(_POLL_SECONDS)
    raise TimeoutError(f'not within {seconds} s')


async def send_request(address, text, seconds=_TIMEOUT_SECONDS):
    """Send a request on a new connection and return the complete response."""
    async with time_limit(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(text)
            return await read_response(reader)
        finally:
            writer.transport.abort()


async def read_response(reader):
    """Return a response's status, fields by lower-case name, and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.lower()] = text.strip()
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return int(first.split()[1]), fields, body


def seeded_random(seed=1):
    """Return a random generator with a fixed seed."""
    return random.Random(seed)
