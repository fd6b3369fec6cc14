"""
Stand-ins and helpers for the scripts of the second review.

Everything runs on loopback addresses with the standard library alone: a store
and backend servers by the users' pages, clients, and gateway processes that are
started with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'shop.example'
HEARTBEAT_SECONDS = 1.5
LAG_SECONDS = 0.05
BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'rollback_slack_ms': 250, 'skew_max_ms': 5000,
    'retry_budget_ratio': 0.2, 'budget_window_s': 10,
    'budget_min_retries': 56, 'recovery_s': 15, 'ttl_max_s': 5,
    'probes_per_s': 60,
}  # fmt: skip
LIMITS = {
    'cpu_share': 0.86, 'cores': 1, 'memory_mb': 300, 'max_fds': 4100,
    'link_mbps': 1000.0, 'disk_mb': 0,
}  # fmt: skip
ROUTE_COLUMNS = (
    'name', 'host', 'prefix', 'kind', 'timeout_ms', 'target_latency_ms',
    'priority', 'service', 'max_attempts', 'traffic_split',
)  # fmt: skip


def has_trouble():
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def route(name, prefix, kind, service, timeout_ms=2000, attempts=2, split=None):
    """Return a row of the operator's route table."""
    return [
        name, HOST, prefix, kind, timeout_ms, timeout_ms // 4, 1, service,
        attempts, split,
    ]  # fmt: skip


def document(version, routes, services, limits=None):
    """Return the operator's document."""
    return {
        'version': f'{version:08x}',
        'routes': {'columns': list(ROUTE_COLUMNS), 'rows': routes},
        'services': {
            'columns': ['name', 'health_path', 'max_conns', 'protocol', 'tls'],
            'rows': [[name, '/healthz', 220, 'h1', False] for name in services],
        },
        'limits': limits
        or {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w')
        self.started_at = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self.started_at
        self.file.write(f'{seconds:8.3f} {text}\n')
        self.file.flush()

    def say(self, text):
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


async def read_head(reader):
    """Return the first line and the fields of a message, names in lower case."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw[:-4].decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:])
    return lines[0], {name.lower(): text.strip() for name, _, text in pairs}


async def read_body(reader, fields):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', ''):
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readline()
        return b''.join(parts)
    return await reader.readexactly(int(fields.get('content-length', 0)))


class Server:
    """The base of the stand-ins: HTTP/1.1 with kept connections."""

    def __init__(self, host='127.0.0.1'):
        self.host = host
        self.port = 0
        self.writers = set()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, limit=2**17
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, fields)
                if not await self.respond(method, target, fields, body, writer):
                    break
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The end of the play.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, method, target, fields, body, writer):
        """Send a response; return whether the connection is kept."""
        raise NotImplementedError

    async def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


def encode(status, fields, body=b''):
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Store(Server):
    """The platform's store."""

    def __init__(self, host='127.0.0.1', era=None):
        super().__init__(host)
        self.items = {}
        self.revision = 1
        self.leases = itertools.count(1)
        self.era = era
        self.refused = set()
        self.is_silent = False

    def put(self, key, value):
        """Write a value, which is encoded as JSON unless it is bytes."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(key, base64.b64encode(raw).decode(), 0)

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created_rev', self.revision)
        self.items[key] = {
            'key': key, 'value': value, 'revision': self.revision,
            'created_rev': created, 'lease': lease,
        }  # fmt: skip

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None):
            self.revision += 1

    async def respond(self, method, target, fields, body, writer):
        peer = writer.get_extra_info('peername')[0]
        if self.is_silent or peer in self.refused:
            if self.is_silent:
                await asyncio.sleep(3600)
            writer.write(encode(503, {}))
            return True
        status, content = self._handle(method, target, body)
        raw = json.dumps(content).encode()
        extra = {'Content-Type': 'application/json'}
        if self.era is not None:
            extra['Store-Era'] = str(self.era)
        writer.write(encode(status, extra, raw))
        await writer.drain()
        return True

    def _handle(self, method, target, body):
        path, _, query = target.partition('?')
        values = {name: texts[0] for name, texts in parse_qs(query).items()}
        match method, path.split('/')[1]:
            case 'GET', 'kv-range':
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(values.get('prefix', ''))
                    and key > values.get('after', '')
                )
                return 200, {
                    'items': [self.items[key] for key in keys[:500]],
                    'more_pages': len(keys) > 500,
                    'current_rev': self.revision,
                }
            case 'GET', 'kv-key':
                item = self.items.get(values['key'])
                status = 200 if item else 404
                return status, {**(item or {}), 'current_rev': self.revision}
            case 'POST', 'kv-txn':
                return self._transact(json.loads(body))
            case 'POST', 'kv-lease':
                ttl = json.loads(body)['ttl_ms']
                return 200, {'lease': next(self.leases), 'ttl_ms': ttl}
            case 'POST', 'kv-keep':
                return 200, {'ttl_ms': 1000}
        return 404, {}

    def _transact(self, call):
        for row in call['expected_revision']:
            item = self.items.get(row['key'], {'revision': 0})
            if item['revision'] != row['revision']:
                return 412, {'items': []}
        for row in call['puts']:
            self._put(row['key'], row['value'], row['lease'])
        for key in call['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Upstream(Server):
    """
    A backend server; ``runs`` lists the ids of the requests that it ran.

    ``on_run`` is called with the stand-in, a request's id, its target and the
    writer in place of the usual work and response, if it is set; it returns
    whether the connection is kept.
    """

    def __init__(self, name, service, record, host='127.0.0.1', work=0.02):
        super().__init__(host)
        self.name, self.service, self.work = name, service, work
        self.record = record
        self.zone = 'a'
        self.slots = 4
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []
        self.on_run = None
        self.extra = {}
        self.is_leaving = False

    def entry(self, state='ready'):
        """Return the server's entry in the store."""
        return {
            'service': self.service, 'address': f'{self.host}:{self.port}',
            'zone': self.zone, 'version': 'v1', 'capacity': self.slots,
            'state': state, 'warmup_left_ms': 0, 'sequence': self.sequence,
            'born': self.born,
        }  # fmt: skip

    def says(self):
        """Return what all responses say of the server."""
        fields = {'X-Upstream-Load': f'{self.running},0,{self.slots},100'}
        if self.is_leaving:
            fields['Server-Leaving'] = '1'
        return {**fields, **self.extra}

    async def respond(self, method, target, fields, body, writer):
        if target == '/healthz':
            status = 503 if self.is_leaving else 200
            named = {'X-Instance-Id': self.name, **self.says()}
            writer.write(encode(status, named))
            return True
        request_id = fields.get('x-attempt-id', '')
        expected = fields.get('x-expect-instance', self.name)
        if expected != self.name:
            self.record(f'{self.name} answers 421 to {request_id}')
            named = {'X-Instance-Id': self.name, 'X-Attempt-Id': request_id}
            writer.write(encode(421, named))
            return True
        self.runs.append(request_id)
        self.record(f'{self.name} runs {request_id} {method} {target}')
        self.running += 1
        try:
            if self.on_run is not None:
                return await self.on_run(self, request_id, target, writer)
            await asyncio.sleep(self.work)
            writer.write(self.answer(request_id))
            await writer.drain()
        finally:
            self.running -= 1
        return True

    def answer(self, request_id, body=None):
        """Return the response to a request that ran."""
        fields = {
            'X-Attempt-Id': request_id,
            'X-Upstream-Signature': f'{self.name}.{request_id}',
            **self.says(),
        }
        body = f'{request_id} by {self.name}'.encode() if body is None else body
        return encode(200, fields, body)


def free_port(host):
    """Return a free port that no outgoing connection takes meanwhile."""
    for port in random.sample(range(10_000, 20_000), 100):
        with socket.socket() as endpoint:
            try:
                endpoint.bind((host, port))
            except OSError:
                continue
            return port
    raise OSError(f'no free port on {host}')


def free_port_pair(host):
    """Return a port that is free for datagrams, with a free next port."""
    for first in random.sample(range(20_000, 30_000), 100):
        with (
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
            socket.socket() as endpoint,
        ):
            try:
                datagrams.bind((host, first))
                endpoint.bind((host, first + 1))
            except OSError:
                continue
            return first
    raise OSError(f'no free ports on {host}')


class Gateway:
    """A gateway process of the deploy file on a loopback address."""

    def __init__(self, name, host, store, folder, record, first_start=False,
                 zone='a', bounds=None, limits=None):  # fmt: skip
        self.name, self.host, self.record = name, host, record
        self.folder = Path(folder)
        self.front = (host, free_port(host))
        self.readiness = (host, free_port(host))
        self.directory = (host, free_port(host))
        self.first_port = free_port_pair(host)
        self.process = None
        self.settings = {
            'node_name': name, 'role': 'gateway', 'machine_class': 'front',
            'serves': ['front', 'directory'], 'ip': host, 'zone': zone,
            'region': 'r', 'zones': {'a': 'r', 'b': 'r', 'c': 'r'},
            'listen': {
                'front': '{}:{}'.format(*self.front),
                'readiness': '{}:{}'.format(*self.readiness),
                'directory': '{}:{}'.format(*self.directory),
            },
            'port_range': [self.first_port, self.first_port + 1],
            'seeds': [],
            'first_start': first_start, 'loss_counted': False,
            'limits': limits or LIMITS, 'data_dir': None,
            'discovery': 'platform', 'entry': 'directory',
            'heartbeat_ms': 1500, 'contracts': ['base', 'drain', 'config',
            'cost', 'retry', 'recover', 'health', 'platform'],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': bounds or BOUNDS,
            'platform': {
                'address': f'{store.host}:{store.port}', 'form': 'kv',
                'writes_per_s': 400, 'reads_per_s': 2000, 'history_s': 20,
                'value_bytes': 1048576, 'ttl_min_ms': 1000,
            },
        }  # fmt: skip

    @property
    def settings_path(self):
        return self.folder / f'{self.name}.json'

    def write_settings(self):
        """Put the settings file in its place, as the platform does."""
        partial = self.settings_path.with_suffix('.new')
        partial.write_text(json.dumps(self.settings))
        partial.replace(self.settings_path)

    async def start(self):
        self.write_settings()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        command[-1] = str(free_port(self.host))
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
                'ZINNIATURN_SETTINGS': str(self.settings_path),
            },
        )
        self.record(f'{self.name} starts as process {self.process.pid}')

    async def wait_until_ready(self, seconds=12):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reply = await call(self.readiness, 'GET', '/readyz', timeout=1)
                if reply.status == 200:
                    return True
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def memory_mb(self):
        """Return the resident memory, 0 once the process has ended."""
        try:
            pages = Path(f'/proc/{self.process.pid}/statm').read_text().split()
        except OSError:
            return 0
        return int(pages[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


class Reply:
    """What a client got; ``is_whole`` is unset for an answer cut short."""

    def __init__(self, status=0, fields=None, body=b'', is_whole=False):
        self.status, self.fields = status, fields or {}
        self.body, self.is_whole = body, is_whole

    def __repr__(self):
        return f'{self.status} {self.body[:60]!r} whole={self.is_whole}'


def request_bytes(method, target, request_id, left_ms, body=b'', extra=None):
    """Return a client's request."""
    lines = [
        f'{method} {target} HTTP/1.1', f'Host: {HOST}',
        f'X-Attempt-Id: {request_id}', f'X-Request-Deadline-Ms: {left_ms}',
    ]  # fmt: skip
    lines += [f'{name}: {text}' for name, text in (extra or {}).items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def read_reply(reader):
    """Return a response, which may be cut short."""
    try:
        line, fields = await read_head(reader)
    except (OSError, EOFError):
        return Reply()
    status = int(line.split(' ')[1])
    try:
        body = await read_body(reader, fields)
    except (OSError, EOFError):
        return Reply(status, fields)
    return Reply(status, fields, body, True)


async def call(address, method, target, request_id='', left_ms=2000, body=b'',
               timeout=None, extra=None, local=None):  # fmt: skip
    """Send one request on a new connection and return the reply."""
    async with asyncio.timeout(timeout or left_ms / 1000):
        reader, writer = await asyncio.open_connection(
            *address, local_addr=local
        )
        try:
            writer.write(
                request_bytes(method, target, request_id, left_ms, body, extra)
            )
            return await read_reply(reader)
        finally:
            writer.close()


class Site:
    """One store with servers and gateways, and the end of them all."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp()
        self.servers = []
        self.gateways = []
        self.tasks = []
        self.most_lag = 0.0
        # Plays that run at the same time have addresses of their own.
        self.network = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}'

    async def add(self, server):
        await server.start()
        self.servers.append(server)
        return server

    def watch_lag(self):
        """Note how far this process itself lags behind its timers."""
        self.tasks.append(asyncio.ensure_future(self._watch_lag()))

    async def _watch_lag(self):
        while True:
            asked_at = time.monotonic()
            await asyncio.sleep(LAG_SECONDS)
            lag = time.monotonic() - asked_at - LAG_SECONDS
            self.most_lag = max(self.most_lag, lag)

    async def add_upstreams(self, store, service, count, **options):
        """Start servers of a service and keep them registered."""
        made = [
            Upstream(f'{service}-{number}', service, self.record, **options)
            for number in range(1, count + 1)
        ]
        for server in made:
            await self.add(server)
            store.put(f'servers/{server.name}', server.entry())
            task = asyncio.ensure_future(self._beat(store, server))
            self.tasks.append(task)
        return made

    async def _beat(self, store, server):
        """Write a server's entry each heartbeat interval."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            server.sequence += 1
            if f'servers/{server.name}' in store.items:
                store.put(f'servers/{server.name}', server.entry())

    def gateway(self, name, store, **options):
        host = f'{self.network}.{len(self.gateways) + 1}'
        made = Gateway(name, host, store, self.folder, self.record, **options)
        self.gateways.append(made)
        return made

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.is_running:
                try:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                except ProcessLookupError:
                    pass
                await gateway.process.wait()
        for server in self.servers:
            await server.stop()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def main(play):
    """Play a case; exit with 0 if the rule held, 1 if not, 2 if it can't run."""
    case_folder = Path(sys.argv[0]).resolve().parent

    async def run():
        site = Site(case_folder)
        try:
            async with asyncio.timeout(110):
                return await play(site)
        except Exception as error:  # noqa: BLE001
            site.record.say(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            await site.close()

    sys.exit(asyncio.run(run()))
