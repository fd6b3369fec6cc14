"""
Measurement of the control plane's cost per entry.

Bytes are those that TCP carried on the entries' connections, as the system's
socket statistics count them. Connections to the admin address don't count.
"""

__all__ = ('Cost', 'CostMeter')

import asyncio
import re
import time
from dataclasses import dataclass, field

import psutil

from zinniaturn.experiments.configuration.fleet import ConfigurationFleet
from zinniaturn.experiments.exceptions import ExperimentError

_PERIOD_SECONDS = 1.0
_BYTES_PER_MB = 1_000_000
_PID = re.compile(r'pid=(\d+)')
_SENT = re.compile(r'bytes_sent:(\d+)')
_RECEIVED = re.compile(r'bytes_received:(\d+)')
_ADDRESSES = re.compile(r'(\S+:\d+)\s+(\S+:\d+)\s+users')


@dataclass(frozen=True, slots=True)
class Cost:
    """
    Cost per entry.

    Bytes per second in both directions, the share of a CPU core, and the
    greatest resident memory of any entry in MB.
    """

    bytes_per_s: float
    core_share: float
    rss_mb: float


@dataclass
class CostMeter:
    """Samples the entries' processes and connections until cancelled."""

    fleet: ConfigurationFleet
    bytes_by_connection: dict[str, int] = field(default_factory=dict)
    total_bytes: int = 0
    cpu_seconds: dict[int, tuple[float, float]] = field(default_factory=dict)
    max_rss_bytes: int = 0
    started_at: float = 0
    entries: int = 0

    async def run(self) -> None:
        """Sample once a period until cancelled."""
        self.started_at = time.monotonic()
        await self._sample_bytes(is_counted=False)
        while True:
            self._sample_processes()
            await asyncio.sleep(_PERIOD_SECONDS)
            await self._sample_bytes(is_counted=True)

    def cost(self) -> Cost:
        """Return the cost per entry since the start."""
        self._sample_processes()
        seconds = time.monotonic() - self.started_at
        used_seconds = sum(
            last - first for first, last in self.cpu_seconds.values()
        )
        entries = max(self.entries, 1)
        return Cost(
            self.total_bytes / seconds / entries,
            used_seconds / seconds / entries,
            self.max_rss_bytes / _BYTES_PER_MB,
        )

    def _sample_processes(self) -> None:
        running = [
            entry for entry in self.fleet.entries.values() if entry.is_running
        ]
        self.entries = len(running)
        for entry in running:
            try:
                process = self.fleet.system_process(entry)
                used_seconds = sum(process.cpu_times()[:2])
                self.max_rss_bytes = max(
                    self.max_rss_bytes, process.memory_info().rss
                )
            except psutil.NoSuchProcess:
                continue
            first = self.cpu_seconds.get(
                process.pid, (used_seconds, used_seconds)
            )[0]
            self.cpu_seconds[process.pid] = (first, used_seconds)

    async def _sample_bytes(self, is_counted: bool) -> None:
        process = await asyncio.create_subprocess_exec(
            'ss',
            '-tinpHO',
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(10):
                output, _ = await process.communicate()
        except TimeoutError as error:
            raise ExperimentError(
                'ss did not return the socket statistics in time'
            ) from error
        processes = self.fleet.process_group.processes
        pids = {
            str(processes[entry.name].pid)
            for entry in self.fleet.entries.values()
            if entry.is_running
        }
        admin_addresses = {entry.admin for entry in self.fleet.entries.values()}
        for line in output.decode().splitlines():
            self._count_connection(line, pids, admin_addresses, is_counted)

    def _count_connection(
        self,
        line: str,
        pids: set[str],
        admin_addresses: set[str],
        is_counted: bool,
    ) -> None:
        pid = _PID.search(line)
        addresses = _ADDRESSES.search(line)
        if pid is None or addresses is None or pid.group(1) not in pids:
            return
        if addresses.group(1) in admin_addresses:
            return
        byte_count = sum(
            int(number)
            for pattern in (_SENT, _RECEIVED)
            for number in pattern.findall(line)
        )
        key = f'{pid.group(1)} {addresses.group(1)} {addresses.group(2)}'
        if is_counted:
            self.total_bytes += byte_count - self.bytes_by_connection.get(
                key, 0
            )
        self.bytes_by_connection[key] = byte_count
