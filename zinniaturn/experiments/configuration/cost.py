"""
What the control plane costs an entry.

Bytes are those that TCP carried for the entries' connections, without the ones
to the admin address, as the system's socket statistics count them.
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
_BYTES_IN_MB = 1_000_000
_PID = re.compile(r'pid=(\d+)')
_SENT = re.compile(r'bytes_sent:(\d+)')
_RECEIVED = re.compile(r'bytes_received:(\d+)')
_ADDRESSES = re.compile(r'(\S+:\d+)\s+(\S+:\d+)\s+users')


@dataclass(frozen=True, slots=True)
class Cost:
    """
    Cost per entry.

    Bytes a second in both directions, the share of a core, and the greatest
    resident memory in MB.
    """

    bytes_per_s: float
    core_share: float
    rss_mb: float


@dataclass
class CostMeter:
    """Samples the entries' processes until told to stop."""

    fleet: ConfigurationFleet
    seen: dict[str, int] = field(default_factory=dict)
    total_bytes: int = 0
    cpu: dict[int, tuple[float, float]] = field(default_factory=dict)
    rss: int = 0
    began_at: float = 0
    entries: int = 0

    async def run(self) -> None:
        """Sample for ever."""
        self.began_at = time.monotonic()
        await self._sample_bytes(counts=False)
        while True:
            self._sample_processes()
            await asyncio.sleep(_PERIOD_SECONDS)
            await self._sample_bytes(counts=True)

    def cost(self) -> Cost:
        """Return the cost since the start."""
        self._sample_processes()
        seconds = time.monotonic() - self.began_at
        spent = sum(last - first for first, last in self.cpu.values())
        entries = max(self.entries, 1)
        return Cost(
            self.total_bytes / seconds / entries,
            spent / seconds / entries,
            self.rss / _BYTES_IN_MB,
        )

    def _sample_processes(self) -> None:
        running = [
            entry for entry in self.fleet.entries.values() if entry.is_running
        ]
        self.entries = len(running)
        for entry in running:
            try:
                process = self.fleet.process_of(entry)
                spent = sum(process.cpu_times()[:2])
                self.rss = max(self.rss, process.memory_info().rss)
            except psutil.NoSuchProcess:
                continue
            first = self.cpu.get(process.pid, (spent, spent))[0]
            self.cpu[process.pid] = (first, spent)

    async def _sample_bytes(self, counts: bool) -> None:
        process = await asyncio.create_subprocess_exec(
            'ss',
            '-tinpHO',
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(10):
                output, _ = await process.communicate()
        except TimeoutError as error:
            raise ExperimentError('no socket statistics') from error
        processes = self.fleet.group.processes
        pids = {
            str(processes[entry.name].pid)
            for entry in self.fleet.entries.values()
            if entry.is_running
        }
        admins = {entry.admin for entry in self.fleet.entries.values()}
        for line in output.decode().splitlines():
            self._count(line, pids, admins, counts)

    def _count(
        self,
        line: str,
        pids: set[str],
        admins: set[str],
        counts: bool,
    ) -> None:
        pid = _PID.search(line)
        pair = _ADDRESSES.search(line)
        if pid is None or pair is None or pid.group(1) not in pids:
            return
        if pair.group(1) in admins:
            return
        carried = sum(
            int(number)
            for pattern in (_SENT, _RECEIVED)
            for number in pattern.findall(line)
        )
        key = f'{pid.group(1)} {pair.group(1)} {pair.group(2)}'
        if counts:
            self.total_bytes += carried - self.seen.get(key, 0)
        self.seen[key] = carried
