"""
Stand-ins of the platform's store and of backend servers, and a few helpers.

They follow the users' pages and need nothing but Python's library, so that
there is nothing to build.
"""

import asyncio
import base64
import json
import os
import random
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
METRICS_PORT = 9464
# The deploy file's command.
COMMAND = ['python3', '-S', '-m', 'zinniaturn.platform', str(METRICS_PORT)]


async def read_message(reader):
    """Return the first line, the fields and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.split(b'\r\n')
    fields = {}
    for line in lines:
        name, separator, text = line.partition(b':')
        if separator:
            fields[name.lower().decode()] = text.strip().decode('latin-1')
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return first.decode('latin-1').split(' '), fields, body


def encode_response(status, fields, body=b''):
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {text}' for name, text in fields]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Service:
    """A loopback service that answers one request at a time on a connection."""

    def __init__(self):
        self.server = None

    async def start(self, host='127.0.0.1', port=0):
        """Listen; port 0 picks a free one."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=2**24
        )

    @property
    def address(self):
        """Return the address as HOST:PORT."""
        return '{}:{}'.format(*self.server.sockets[0].getsockname())

    def stop(self):
        """Stop listening."""
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self.respond(reader, writer, *message))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


class Store(Service):
    """The platform's key-value store, which is never disturbed."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 1

    def write(self, key, document):
        """Write as the operator or a server does."""
        text = json.dumps(document).encode()
        self._put(key, base64.b64encode(text).decode())

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1

    async def respond(self, reader, writer, first, fields, body):
        """Return the response to a call."""
        path, _, query = first[1].partition('?')
        figures = {key: row[0] for key, row in parse_qs(query).items()}
        if path == '/kv-range':
            return self._answer(200, self._range(figures))
        if path == '/kv-key':
            item = self.items.get(figures['key'])
            answer = {**(item or {}), 'current_rev': self.revision}
            return self._answer(200 if item else 404, answer)
        if path == '/kv-txn':
            return self._transact(json.loads(body))
        return self._answer(404, {})

    def _range(self, figures):
        prefix, after = figures.get('prefix', ''), figures.get('after', '')
        keys = [key for key in sorted(self.items) if key > after]
        keys = [key for key in keys if key.startswith(prefix)]
        return {
            'items': [self.items[key] for key in keys[:500]],
            'more_pages': len(keys) > 500,
            'current_rev': self.revision,
        }

    def _transact(self, call):
        changed = [row['key'] for row in call['puts']] + call['remove']
        if any(key.startswith(('op/', 'servers/')) for key in changed):
            return self._answer(403, {})
        for row in call['expected_revision']:
            known = self.items.get(row['key'], {}).get('revision', 0)
            if known != row['revision']:
                return self._answer(412, {'items': []})
        for row in call['puts']:
            self._put(row['key'], row['value'])
        for key in call['remove']:
            self.remove(key)
        return self._answer(200, {'revision': self.revision})

    def _put(self, key, value):
        self.revision += 1
        created = self.items.get(key, {}).get('created_rev', self.revision)
        self.items[key] = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created_rev': created,
            'lease': 0,
        }

    def _answer(self, status, document):
        body = json.dumps(document).encode()
        return encode_response(
            status, [('Content-Type', 'application/json')], body
        )


class Server(Service):
    """A sound backend server; ``runs`` counts its runs by request id."""

    def __init__(self, name, service, slots=4, work_seconds=0.02):
        super().__init__()
        self.name = name
        self.service = service
        self.slots = slots
        self.work_seconds = work_seconds
        self.runs = Counter()
        self.running = 0

    def entry(self, state='ready', born=1):
        """Return the server's entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'capacity': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': 1,
            'born': born,
        }

    async def respond(self, reader, writer, first, fields, body):
        """Return the response to a request or a status check."""
        load = ('X-Upstream-Load', f'{self.running},0,{self.slots},100')
        if first[1] == '/healthz':
            return encode_response(200, [('X-Instance-Id', self.name), load])
        name = fields.get('x-attempt-id', '')
        echo = ('X-Attempt-Id', name)
        if fields.get('x-expect-instance', self.name) != self.name:
            return encode_response(421, [echo])
        if self.running >= self.slots + 8:
            return encode_response(
                503, [echo, load, ('X-Not-Executed', '1')]
            )
        self.runs[name] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        signature = ('X-Upstream-Signature', f'{self.name}.{name}')
        text = f'{name} by {self.name}'.encode()
        return encode_response(200, [echo, signature, load], text)


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self.file = (Path(folder) / 'record.txt').open('w')

    def write(self, text):
        """Write one line."""
        seconds = time.monotonic() - self.began_at
        self.file.write(f'{seconds:7.3f} {text}\n')
        self.file.flush()


def free_address():
    """Return a loopback address and the first of 20 ports free on it."""
    while True:
        host = f'127.{random.randrange(1, 250)}.{random.randrange(250)}.7'
        first = random.randrange(12000, 28000)
        sockets = []
        try:
            for port in (*range(first, first + 20), METRICS_PORT):
                sockets.append(socket.socket())
                sockets[-1].bind((host, port))
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
        return host, first


def build_settings(host, first, store, memory_mb):
    """Return the settings of a process, as the template renders them."""
    return {
        'node_name': 'front-a-1',
        'role': 'gateway',
        'ip': host,
        'zone': 'zone-a',
        'region': 'region',
        'first_start': True,
        'listen': {
            'front': f'{host}:{first}',
            'readiness': f'{host}:{first + 1}',
            'directory': f'{host}:{first + 2}',
            'control': None,
        },
        'port_range': [first + 3, first + 18],
        'seeds': [],
        'limits': {
            'cpu_share': 0.86,
            'cores': 1,
            'memory_mb': memory_mb,
            'max_fds': 4100,
            'link_mbps': 1000.0,
        },
        'bounds': {
            'drain_ms': 2000,
            'config_apply_ms': 2000,
            'grace_s': 6,
            'ttl_max_s': 5,
            'retry_budget_ratio': 0.2,
            'budget_min_retries': 56,
            'budget_window_s': 10,
            'probes_per_s': 60,
        },
        'platform': {'address': store, 'form': 'kv'},
    }


def start_gateway(settings_path, log_path):
    """Start a gateway process with the deploy file's command."""
    with Path(log_path).open('w') as log:
        return subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': 'target/deps',
                'ZINNIATURN_SETTINGS': str(settings_path),
            },
            stdout=log,
            stderr=log,
        )


async def wait_until_ready(host, port):
    """Ask until the process says that it is ready; raises `TimeoutError`."""
    async with asyncio.timeout(15):
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                first, _, _ = await read_message(reader)
                writer.close()
                if first[1] == '200':
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)


def most_memory_mb(process_id):
    """Return the most memory that a process has had."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) * 1024 / 1e6
    return 0


def run_case(folder, play):
    """Play a case; return the exit status, 2 if it could not run."""
    record = Record(folder)
    try:
        status = asyncio.run(play(record))
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        status = 2
    record.write(f'exit status {status}')
    return status


if __name__ == '__main__':
    sys.exit('this module is used by the cases')
