"""Gateway processes on loopback addresses of their own."""

__all__ = (
    'OTHER_BUILD_VARIABLE',
    'VM_PORTS',
    'VmPorts',
    'VmProcess',
    'build_settings',
    'make_vms',
)

import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from zinniaturn.experiments.loopback import loopback_host
from zinniaturn.http1.connections import Address
from zinniaturn.platform.settings_file import SETTINGS_VARIABLE
from zinniaturn.platform.standins.wire import build_settings_document

_KILL_WAIT_SECONDS = 10
OTHER_BUILD_VARIABLE = 'ZINNIATURN_SOAK_OTHER_BUILD'


@dataclass(frozen=True, slots=True)
class VmPorts:
    """
    The ports of a VM, the same on all VMs.

    ``range_start`` is the first port of the range in the VM's settings.
    """

    front: int
    readiness: int
    directory: int
    range_start: int


# Every VM has an address of its own, so that all use the same ports. They lie
# below the ports that the kernel gives to outgoing connections.
VM_PORTS = VmPorts(front=8641, readiness=8640, directory=8644, range_start=7620)


@dataclass(slots=True)
class VmProcess:
    """
    A VM, played by a gateway process.

    ``disturbed_until`` is the event loop's time until which an injected fault
    may keep the VM from meeting its time bounds. ``stopping_since`` and
    ``killed_at`` tell whether a planned stop or a kill closed a connection.
    ``starts`` counts the processes. If the variable `OTHER_BUILD_VARIABLE`
    names the folder of another build, it runs each second one. With a
    ``metrics_port`` it serves its metrics there.
    """

    name: str
    host: str
    ports: VmPorts
    folder: Path
    process: 'subprocess.Popen[bytes] | None' = None
    disturbed_until: float = 0
    stopping_since: float | None = None
    killed_at: list[float] = field(default_factory=list)
    starts: int = 0
    metrics_port: int = 0

    @property
    def address(self) -> Address:
        """Return the address for callers' requests."""
        return self.host, self.ports.front

    @property
    def readiness(self) -> Address:
        """Return the address for readiness checks."""
        return self.host, self.ports.readiness

    @property
    def directory(self) -> Address:
        """Return the address for look-ups."""
        return self.host, self.ports.directory

    def start(self) -> None:
        """Start the process; its output is appended to the VM's log."""
        process_environment = dict(os.environ)
        process_environment[SETTINGS_VARIABLE] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'zinniaturn.platform',
                    str(self.metrics_port),
                ],
                env=process_environment,
                cwd=self._build_folder(),
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self.stopping_since = None

    def _build_folder(self) -> str | None:
        """Return the folder of the build to start, ``None`` for this one."""
        other = os.environ.get(OTHER_BUILD_VARIABLE)
        is_others_turn = (self.starts + sum(self.name.encode())) % 2
        return other if other and is_others_turn else None

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f'{self.name}.json'

    @property
    def log_path(self) -> Path:
        """Return the path of the log."""
        return self.folder / f'{self.name}.log'

    def log_rows(self) -> list[dict[str, Any]]:
        """Return the decoded JSON lines of the log."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also a paused one."""
        if self.process is not None and self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(_KILL_WAIT_SECONDS)


def make_vms(count: int, store_port: int, folder: Path) -> list[VmProcess]:
    """Write the settings of VMs and return the VMs, not started yet."""
    vms = []
    for number in range(1, count + 1):
        host = loopback_host(number)
        vm = VmProcess(f'vm-{number}', host, VM_PORTS, folder)
        settings = build_settings(host, vm.name, store_port, VM_PORTS)
        settings['zone'] = f'dc-{number % 3}'
        vm.settings_path.write_text(json.dumps(settings))
        vms.append(vm)
    return vms


def build_settings(
    host: str,
    name: str,
    store_port: int,
    ports: VmPorts,
) -> dict[str, Any]:
    """Return the settings of a VM as the platform renders them."""
    listen = {
        'front': ports.front,
        'readiness': ports.readiness,
        'directory': ports.directory,
    }
    return build_settings_document(
        host, name, store_port, listen, ports.range_start
    )
