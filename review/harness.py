"""
Stand-ins and helpers that the cases of this review share.

It needs only Python's standard library. The store, the upstreams and the
requesters run in the case's own process and follow the users' pages. The
gateways are separate processes, started with the command of the deploy file.
All addresses are loopback addresses, drawn at random for each run.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = 'hulo84.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2

_HEAD_END = b'\r\n\r\n'
_READY_SECONDS = 20.0


class CaseError(Exception):
    """The case could not run."""


def is_trouble() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def random_host() -> str:
    """Return a random address of the loopback range."""
    numbers = [random.randint(2, 250) for _ in range(3)]
    return '127.{}.{}.{}'.format(*numbers)


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self.path = folder / 'record.txt'

    def seconds(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f'{self.seconds():8.3f} {text}')

    def save(self) -> None:
        """Write the file."""
        self.path.write_text('\n'.join(self.lines) + '\n')


class Message:
    """A parsed request or response."""

    def __init__(self, start: bytes, fields: list[tuple[bytes, bytes]]) -> None:
        self.start = start
        self.fields = fields
        self.body = b''

    def field(self, name: bytes) -> bytes | None:
        """Return the first value of a header field."""
        for key, text in self.fields:
            if key.lower() == name:
                return text
        return None


def parse_head(raw: bytes) -> Message:
    """Return the message whose head is given, without its body."""
    start, *lines = raw.split(b'\r\n')
    pairs = (line.partition(b':') for line in lines)
    return Message(start, [(key, text.strip()) for key, _, text in pairs])


class ServerConnection(asyncio.Protocol):
    """A connection of a stand-in server; serves one request at a time."""

    def __init__(self, service: 'LoopbackServer') -> None:
        self.service = service
        self.buffer = b''
        self.task: asyncio.Task | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.service.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self._next()

    def _next(self) -> None:
        if self.task is not None or _HEAD_END not in self.buffer:
            return
        head, _, rest = self.buffer.partition(_HEAD_END)
        message = parse_head(head)
        length = int(message.field(b'content-length') or 0)
        if len(rest) < length:
            return
        message.body, self.buffer = rest[:length], rest[length:]
        self.task = asyncio.ensure_future(self._serve(message))

    async def _serve(self, message: Message) -> None:
        try:
            await self.service.serve(self, message)
        finally:
            self.task = None
        if not self.transport.is_closing():
            self._next()

    def respond(
        self, status: int, fields: list[tuple[str, str]], body: bytes = b''
    ) -> bytes:
        """Write a response; return its bytes."""
        lines = [f'HTTP/1.1 {status} -']
        lines += [f'{key}: {text}' for key, text in fields]
        lines.append(f'Content-Length: {len(body)}')
        raw = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
        self.transport.write(raw)
        return raw


class LoopbackServer:
    """A stand-in server on a free port."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ServerConnection(self), self.host, port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'{self.host}:{self.port}'

    async def serve(self, connection: ServerConnection, message: Message):
        """Respond to one request."""
        raise NotImplementedError


class Store(LoopbackServer):
    """The platform's metadata store, as far as gateways call it."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.items: dict[str, dict] = {}
        self.revision = 1
        self.is_refusing = False
        # The era that the store tells in its answers, 0 for none.
        self.era = 0

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        self.revision += 1
        created = self.items.get(key, {}).get('created_rev', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_rev': created,
            'lease': lease,
        }

    def write_json(self, key: str, document: object) -> None:
        """Write an item whose value is JSON."""
        self.write(key, json.dumps(document).encode())

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1

    async def serve(self, connection: ServerConnection, message: Message):
        method, target, _ = message.start.split(b' ')
        path, _, query = target.decode().partition('?')
        await asyncio.sleep(0.004)
        if self.is_refusing:
            connection.respond(503, self._era_fields())
            return
        match method, path:
            case b'GET', '/kv-range':
                self._respond(connection, 200, self._range(parse_qs(query)))
            case b'GET', '/kv-key':
                key = parse_qs(query)['key'][0]
                item = self.items.get(key, {})
                self._respond(
                    connection,
                    200 if item else 404,
                    {**item, 'current_rev': self.revision},
                )
            case b'POST', '/kv-txn':
                self._respond(connection, *self._transact(message.body))
            case _:
                self._respond(connection, 404, {})

    def _respond(
        self, connection: ServerConnection, status: int, body: dict
    ) -> None:
        connection.respond(
            status,
            [('Content-Type', 'application/json'), *self._era_fields()],
            json.dumps(body).encode(),
        )

    def _era_fields(self) -> list[tuple[str, str]]:
        return [('Store-Era', str(self.era))] if self.era else []

    def _range(self, query: dict[str, list[str]]) -> dict:
        prefix = query.get('prefix', [''])[0]
        after = query.get('after', [''])[0]
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'more_pages': len(keys) > 500,
            'current_rev': self.revision,
        }

    def _transact(self, raw: bytes) -> tuple[int, dict]:
        call = json.loads(raw)
        for row in call['expected_revision']:
            item = self.items.get(row['key'], {})
            if item.get('revision', 0) != row['revision']:
                return 412, {'items': [item] if item else []}
        changed = [row['key'] for row in call['puts']] + call['remove']
        if any(key.startswith(('op/', 'servers/')) for key in changed):
            return 403, {}
        for row in call['puts']:
            self.write(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
        for key in call['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Upstream(LoopbackServer):
    """
    An upstream of one service.

    ``work`` returns the seconds that a request takes. A request counts as run
    when it begins to work; it ends if its channel closes meanwhile.
    """

    def __init__(
        self, host: str, name: str, service: str, record: Record, work
    ) -> None:
        super().__init__(host)
        self.name = name
        self.service = service
        self.record = record
        self.work = work
        self.slots = 4
        self.queue = 6
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.runs: dict[str, int] = {}
        self.finished: set[str] = set()
        self.free = asyncio.Condition()

    def entry(self, state: str = 'ready') -> dict:
        """Return the entry of the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'capacity': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    def load_field(self) -> tuple[str, str]:
        """Return the header of the load."""
        load = f'{self.running},{self.waiting},{self.slots},100'
        return 'X-Upstream-Load', load

    async def serve(self, connection: ServerConnection, message: Message):
        if message.start.split(b' ')[1] == b'/healthz':
            connection.respond(
                200, [('X-Instance-Id', self.name), self.load_field()]
            )
            return
        attempt = (message.field(b'x-attempt-id') or b'').decode()
        if (message.field(b'x-expect-instance') or b'').decode() != self.name:
            self.record.note(f'{self.name} misdirected {attempt}')
            connection.respond(
                421, [('X-Attempt-Id', attempt), ('X-Not-Executed', '1')]
            )
            return
        if self.running + self.waiting >= self.slots + self.queue:
            self.shed(connection, attempt)
            return
        await self.run(connection, message, attempt)

    def shed(self, connection: ServerConnection, attempt: str) -> bytes:
        """Turn a request away that has not run."""
        self.record.note(f'{self.name} shed {attempt}')
        return connection.respond(
            503,
            [
                ('X-Attempt-Id', attempt),
                ('X-Not-Executed', '1'),
                self.load_field(),
            ],
        )

    async def run(
        self, connection: ServerConnection, message: Message, attempt: str
    ) -> None:
        """Wait for a slot, work and answer."""
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.note(f'{self.name} run {attempt}')
        try:
            await asyncio.sleep(self.work(message))
        except asyncio.CancelledError:
            self.record.note(f'{self.name} channel closed during {attempt}')
            raise
        finally:
            self.running -= 1
            asyncio.ensure_future(self._notify())
        self.finished.add(attempt)
        self.record.note(f'{self.name} done {attempt}')
        self.answer(connection, message, attempt)

    async def _notify(self) -> None:
        async with self.free:
            self.free.notify()

    def answer(
        self, connection: ServerConnection, message: Message, attempt: str
    ) -> bytes:
        """Send the success of a request."""
        return connection.respond(
            200,
            [
                ('X-Attempt-Id', attempt),
                ('X-Upstream-Signature', f'{self.name}.{attempt}'),
                self.load_field(),
            ],
            f'body of {attempt}'.encode(),
        )


class Requester:
    """One channel of a requester to a gateway."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, host: str, port: int) -> None:
        """Open the channel."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0
        )

    def send(
        self,
        method: str,
        path: str,
        attempt: str,
        wait_ms: int,
        body: bytes = b'',
        more: tuple[str, ...] = (),
    ) -> None:
        """Send a request."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'X-Attempt-Id: {attempt}',
            f'X-Request-Deadline-Ms: {wait_ms}',
            *more,
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode() + _HEAD_END + body)

    async def receive(self, seconds: float) -> Message | None:
        """Return an answer, ``None`` if the channel ends before it is whole."""
        try:
            async with asyncio.timeout(seconds):
                head = await self.reader.readuntil(_HEAD_END)
                message = parse_head(head.removesuffix(_HEAD_END))
                length = int(message.field(b'content-length') or 0)
                message.body = await self.reader.readexactly(length)
        except (TimeoutError, asyncio.IncompleteReadError, OSError):
            return None
        return message

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


def status_of(message: Message | None) -> int:
    """Return the status of an answer, 0 where there is none."""
    return 0 if message is None else int(message.start.split(b' ')[1])


class GatewayProcess:
    """A gateway process, started as the deploy file says."""

    def __init__(
        self, name: str, store: Store, folder: str, record: Record, **bounds
    ) -> None:
        self.name = name
        self.record = record
        # The root of the build that runs.
        self.root = ROOT
        self.host = random_host()
        self.ports = _free_ports(self.host, 3)
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self.settings = {
            'node_name': name,
            'role': 'gateway',
            'machine_class': 'front',
            'serves': ['front', 'directory'],
            'ip': self.host,
            'zone': 'zone-a',
            'region': 'region-a',
            'zones': {'zone-a': 'region-a'},
            'listen': {
                'front': f'{self.host}:{self.ports[0]}',
                'readiness': f'{self.host}:{self.ports[1]}',
                'directory': f'{self.host}:{self.ports[2]}',
            },
            'port_range': _free_range(self.host),
            'seeds': [],
            'first_start': True,
            'loss_counted': False,
            'limits': {
                'cpu_share': 0.86,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeat_ms': 1500,
            'contracts': ['base', 'drain', 'config', 'retry', 'platform'],
            'bounds': {
                'addr_reuse_s': 2,
                'contact_ms': 3000,
                'drain_ms': 2000,
                'grace_s': 6,
                'loss_slack_ms': 200,
                'config_apply_ms': 2000,
                'rollback_slack_ms': 250,
                'retry_budget_ratio': 0.2,
                'budget_window_s': 10,
                'budget_min_retries': 56,
                'ttl_max_s': 5,
                'probes_per_s': 60,
                **bounds,
            },
            'platform': {
                'address': store.address,
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        deploy = tomllib.loads((self.root / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        path = Path(self.folder) / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['ZINNIATURN_SETTINGS'] = str(path)
        log = open(Path(self.folder) / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=self.root, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.note(f'{self.name} started')
        for _ in range(int(_READY_SECONDS / 0.1)):
            if await self.is_ready():
                self.record.note(f'{self.name} is ready')
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CaseError(f'{self.name} is not ready: {self.log()[-2000:]}')

    async def is_ready(self) -> bool:
        """Ask the readiness address."""
        requester = Requester()
        try:
            await requester.connect(self.host, self.ports[1])
            requester.send('GET', '/readyz', '-', 1000)
            return status_of(await requester.receive(1.0)) == 200
        except (OSError, TimeoutError):
            return False
        finally:
            requester.close()

    async def connect(self) -> Requester:
        """Return a new channel of a requester."""
        requester = Requester()
        await requester.connect(self.host, self.ports[0])
        return requester

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.note(f'{self.name} gets {number.name}')
        self.process.send_signal(number)

    def log(self) -> str:
        """Return what the process has logged."""
        return (Path(self.folder) / f'{self.name}.log').read_text()

    async def end(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def _free_ports(host: str, count: int) -> list[int]:
    """Return free TCP ports."""
    sockets = [socket.socket() for _ in range(count)]
    for endpoint in sockets:
        endpoint.bind((host, 0))
    ports = [endpoint.getsockname()[1] for endpoint in sockets]
    for endpoint in sockets:
        endpoint.close()
    return ports


def _free_range(host: str) -> list[int]:
    """Return the first and last of 16 ports that are free on the address."""
    for _ in range(50):
        first = random.randint(20_000, 30_000)
        try:
            for port in range(first, first + 16):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as endpoint:
                        endpoint.bind((host, port))
        except OSError:
            continue
        return [first, first + 15]
    raise CaseError('no free ports')


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return the operator's configuration."""
    columns = [
        'name', 'host', 'prefix', 'service', 'kind', 'timeout_ms',
        'target_latency_ms', 'max_attempts', 'priority',
    ]
    return {
        'version': f'{version:08x}',
        'routes': {
            'columns': columns,
            'rows': [[route.get(name) for name in columns] for route in routes],
        },
        'services': {
            'columns': ['name', 'health_path', 'max_conns', 'protocol'],
            'rows': [[name, '/healthz', 220, 'http1'] for name in services],
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def route(name: str, service: str, kind: str, **more) -> dict:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'service': service,
        'kind': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 600,
        'max_attempts': 2,
        'priority': 1,
        **more,
    }


def run_case(script: str, play) -> None:
    """
    Run a case's ``play(record, folder)`` and exit with its result.

    ``play`` returns the lines that say how the rule was broken.
    """
    record = Record(Path(script).resolve().parent)
    record.note(f'trouble: {is_trouble()}')
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(asyncio.wait_for(play(record, folder), 110))
    except Exception as error:
        # A fault of the script must not look like a broken rule.
        record.note(f'could not run: {error!r}')
        record.save()
        print(f'could not run: {error!r}')
        sys.exit(NOT_RUN)
    for line in broken:
        record.note(f'BROKEN: {line}')
    record.note('the rule was broken' if broken else 'the rule held')
    record.save()
    print(record.lines[-1].strip())
    sys.exit(BROKEN if broken else HELD)
