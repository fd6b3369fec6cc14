"""
Polls the platform's VM list for the VMs that are leaving.

The list lags, so a VM that is missing there proves nothing. A VM that is listed
as leaving counts as leaving, unless more than half of the VMs are listed so at
once: such a list is not trusted and changes nothing.
"""

__all__ = ('VmListPoller', 'plausible_leaving_vms')

import asyncio
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.events import LogEvent, log_event
from zinniaturn.membership.table import MemberTable
from zinniaturn.vmlist import ListedVm, VmList, VmListError, VmState

POLL_INTERVAL_SECONDS = 1.0
MAX_LEAVING_SHARE = 0.5
_MIN_VMS_TO_CHECK = 4


def plausible_leaving_vms(vms: Iterable[ListedVm]) -> frozenset[str] | None:
    """
    Return the names of the leaving VMs, or ``None`` if there are too many.

    A list of fewer than four VMs is always accepted.

    >>> vms = [ListedVm(str(n), '', VmState.LEAVING) for n in range(5)]
    >>> plausible_leaving_vms(vms) is None
    True
    """
    listed = tuple(vms)
    leaving = frozenset(vm.name for vm in listed if vm.state is VmState.LEAVING)
    exceeds_share = len(leaving) > len(listed) * MAX_LEAVING_SHARE
    if exceeds_share and len(listed) >= _MIN_VMS_TO_CHECK:
        return None
    return leaving


@dataclass
class VmListPoller:
    """
    Polls the VM list; ``states`` holds the last plausible list by VM name.

    ``is_out`` says that the last read failed, and ``is_doubted`` that the last
    list had too many leaving VMs.
    """

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
        """Poll the list; never returns."""
        while True:
            await self.step()
            await asyncio.sleep(
                POLL_INTERVAL_SECONDS * (0.75 + self.random_source.random() / 2)
            )

    async def step(self) -> None:
        """Read the list once; if that fails, ``states`` stays as it is."""
        try:
            vms = await self.vm_list.read()
        except VmListError as error:
            if not self.is_out:
                log_event(LogEvent.VM_LIST_UNAVAILABLE, reason=str(error))
            self.is_out = True
            return
        self.is_out = False
        self._apply(vms)

    def _apply(self, vms: tuple[ListedVm, ...]) -> None:
        leaving = plausible_leaving_vms(vms)
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
