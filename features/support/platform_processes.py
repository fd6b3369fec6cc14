"""Gateway processes on loopback addresses."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_PATIENCE_SECONDS = 20
_FIRST_PORT = 7620


def build_settings(host, name, store_port, ports, data_center='dc-a'):
    """Return the settings of a VM as the platform renders them."""
    front, readiness, directory, first = ports
    return {
        'node_name': name,
        'role': 'gateway',
        'serves': ['front', 'directory'],
        'ip': host,
        'zone': data_center,
        'region': 'region',
        'listen': {
            'front': f'{host}:{front}',
            'readiness': f'{host}:{readiness}',
            'control': None,
            'directory': f'{host}:{directory}',
        },
        'port_range': [first, first + 5],
        'bounds': {
            'drain_ms': 2000,
            'config_apply_ms': 2000,
            'grace_s': 6,
            'ttl_max_s': 5,
            'retry_budget_ratio': 0.2,
            'budget_window_s': 10,
            'budget_min_retries': 56,
            'probes_per_s': 60,
        },
        'platform': {'address': f'127.0.0.1:{store_port}', 'form': 'kv'},
    }


class GatewayProcess:
    """One VM's process; its output is kept in a file."""

    def __init__(self, folder, number, store_port, ports):
        self.name = f'vm-{number}'
        self.host = f'127.0.2.{number}'
        self.ports = ports
        self.settings_path = Path(folder) / f'{self.name}.json'
        self.log_path = Path(folder) / f'{self.name}.log'
        self.settings_path.write_text(
            json.dumps(
                build_settings(self.host, self.name, store_port, ports),
            ),
        )
        self.process = None

    @property
    def front(self):
        return self.host, self.ports[0]

    @property
    def readiness(self):
        return self.host, self.ports[1]

    @property
    def directory(self):
        return self.host, self.ports[2]

    def start(self):
        environment = dict(os.environ)
        environment['ZINNIATURN_SETTINGS'] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'zinniaturn.platform'],
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(_PATIENCE_SECONDS)

    def rows(self):
        """Return the lines of the log."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]


def free_ports(count):
    """Return ports that are free on all loopback addresses now."""
    sockets = []
    try:
        while len(sockets) < count:
            probe = socket.socket()
            probe.bind(('127.0.0.1', 0))
            sockets.append(probe)
        return [each.getsockname()[1] for each in sockets]
    finally:
        for probe in sockets:
            probe.close()
