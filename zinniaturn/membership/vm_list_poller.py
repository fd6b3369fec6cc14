"""
What the VM list says of entries and backend servers.

Its silence means nothing, since it lags. Its word that a VM is leaving counts,
unless it says so of more than half of the VMs at once.
"""

__all__ = ('VmListPoller', 'believed_leaving')

import asyncio
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.events import LogEvent, log_event
from zinniaturn.membership.table import MemberTable
from zinniaturn.vmlist import ListedVm, VmList, VmListError, VmState

PERIOD_SECONDS = 1.0
MAX_LEAVING_SHARE = 0.5
_SMALL_LIST = 4


def believed_leaving(vms: Iterable[ListedVm]) -> frozenset[str] | None:
    """
    Return the names of the leaving VMs, or ``None`` if too many are.

    >>> vms = [ListedVm(str(n), '', VmState.LEAVING) for n in range(5)]
    >>> believed_leaving(vms) is None
    True
    """
    known = tuple(vms)
    leaving = frozenset(vm.name for vm in known if vm.state is VmState.LEAVING)
    is_mass = len(leaving) > len(known) * MAX_LEAVING_SHARE
    if is_mass and len(known) >= _SMALL_LIST:
        return None
    return leaving


@dataclass
class VmListPoller:
    """Reads the VM list for ever; ``states`` holds what is believed."""

    vm_list: VmList
    random_source: random.Random
    table: MemberTable | None = None
    states: Mapping[str, VmState] = field(default_factory=dict)
    is_out: bool = False
    is_doubted: bool = False

    def is_leaving(self, name: str) -> bool:
        """Return whether the VM of this name is leaving."""
        return self.states.get(name) is VmState.LEAVING

    async def run(self) -> None:
        """Read for ever."""
        while True:
            await self.step()
            await asyncio.sleep(
                PERIOD_SECONDS * (0.75 + self.random_source.random() / 2)
            )

    async def step(self) -> None:
        """Read the list once; an outage leaves what is known as it is."""
        try:
            vms = await self.vm_list.read()
        except VmListError as error:
            if not self.is_out:
                log_event(LogEvent.VM_LIST_UNAVAILABLE, reason=str(error))
            self.is_out = True
            return
        self.is_out = False
        self._take(vms)

    def _take(self, vms: tuple[ListedVm, ...]) -> None:
        leaving = believed_leaving(vms)
        if leaving is None:
            if not self.is_doubted:
                log_event(LogEvent.VM_LIST_DOUBTED, vms=len(vms))
            self.is_doubted = True
            return
        self.is_doubted = False
        self.states = {
            vm.name: VmState.LEAVING if vm.name in leaving else VmState.LIVE
            for vm in vms
        }
        if self.table is not None:
            self.table.vm_states = self.states
