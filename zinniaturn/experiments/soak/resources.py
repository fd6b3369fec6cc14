"""Watches that the VMs' processes live and keep to their resources."""

__all__ = ('DESCRIPTORS', 'MEMORY_MEGABYTES', 'VmResources', 'watch_resources')

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from zinniaturn.experiments.soak.vms import VmProcess

# What each VM has by its settings.
MEMORY_MEGABYTES = 120
DESCRIPTORS = 1000

_SAMPLE_SECONDS = 0.1
_BYTES_PER_KILOBYTE = 1024
# A VM that is killed is started again within this time.
_RESTART_SECONDS = 1.5


@dataclass(slots=True)
class VmResources:
    """
    The most that the processes of each VM have taken, by the VM's name.

    ``ended`` are the VMs of which a process ended without a kill or a stop.
    """

    memory_bytes: dict[str, int] = field(default_factory=dict)
    descriptors: dict[str, int] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)

    def note(self, vm: VmProcess, now: float) -> None:
        """Record what a VM's process takes now."""
        if vm.process is None:
            return
        if not vm.is_running():
            was_killed = any(now - at < _RESTART_SECONDS for at in vm.killed_at)
            if vm.stopping_since is None and not was_killed:
                self.ended.add(vm.name)
            return
        folder = Path('/proc') / str(vm.process.pid)
        try:
            status = (folder / 'status').read_text()
            descriptors = len(list((folder / 'fd').iterdir()))
        except OSError:
            # It is ending.
            return
        peak = status.partition('VmHWM:')[2].split()[:1]
        memory = int(peak[0]) * _BYTES_PER_KILOBYTE if peak else 0
        self.memory_bytes[vm.name] = max(
            memory, self.memory_bytes.get(vm.name, 0)
        )
        self.descriptors[vm.name] = max(
            descriptors, self.descriptors.get(vm.name, 0)
        )


async def watch_resources(
    vms: Sequence[VmProcess], resources: VmResources
) -> None:
    """Record what the VMs take until it is cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        for vm in vms:
            resources.note(vm, loop.time())
        await asyncio.sleep(_SAMPLE_SECONDS)
