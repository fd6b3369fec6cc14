"""Servers for large bodies, and what a process takes of its VM meanwhile."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

from features.support.untrusted_crowd import BODY_BYTES
from zinniaturn.http1.messages import find_field
from zinniaturn.platform.standins import ServerStandIn

LARGEST_BODY = 64 * 1024 * 1024

_BYTES_PER_KILOBYTE = 1024
_SAMPLE_SECONDS = 0.1
_SIZED_BODIES = MappingProxyType(
    {b'big': b'x' * BODY_BYTES, b'largest': b'x' * LARGEST_BODY}
)


class SizedServer(ServerStandIn):
    """
    A server whose answers are as large as the request asks for.

    It never answers a client at the address ``silent_to``.
    """

    silent_to = ''

    def handle(self, exchange):
        if exchange.peer_host == self.silent_to:
            return asyncio.Event().wait()
        return ServerStandIn.handle(self, exchange)

    def _run_request(self, exchange, fault):
        asked = find_field(exchange.request.fields, b'x-body')
        return self._run_sized(exchange, fault, asked)

    async def _run_sized(self, exchange, fault, asked):
        response = await ServerStandIn._run_request(self, exchange, fault)
        response.body = _SIZED_BODIES.get(asked, response.body)
        return response


@dataclass
class Peaks:
    """What the process and its sockets have taken at most, in samples."""

    descriptors: int = 0
    unread_bytes: int = 0
    memory_bytes: int = 0
    is_alive: bool = True


@dataclass
class Watch:
    """Samples a process until the scenario's end."""

    vm: object
    peaks: Peaks = field(default_factory=Peaks)

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_SECONDS)

    def sample(self):
        peaks = self.peaks
        if not self.vm.is_running():
            peaks.is_alive = False
            return
        folder = Path('/proc') / str(self.vm.process.pid)
        peaks.descriptors = max(
            peaks.descriptors, len(list((folder / 'fd').iterdir()))
        )
        peaks.unread_bytes = max(peaks.unread_bytes, _unread(self.vm.host))
        status = (folder / 'status').read_text()
        kilobytes = int(status.partition('VmHWM:')[2].split()[0])
        peaks.memory_bytes = kilobytes * _BYTES_PER_KILOBYTE


def _unread(host):
    """Return the bytes that the kernel has received for sockets at a host."""
    wanted = ''.join(f'{int(part):02X}' for part in reversed(host.split('.')))
    lines = Path('/proc/net/tcp').read_text().splitlines()[1:]
    rows = [line.split() for line in lines]
    return sum(
        int(row[4].partition(':')[2], 16)
        for row in rows
        # State 0A: a listening socket, which counts connections, not bytes.
        if row[1].startswith(wanted) and row[3] != '0A'
    )
