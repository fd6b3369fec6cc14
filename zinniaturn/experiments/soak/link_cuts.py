"""Cuts of VMs from all backend servers."""

__all__ = ('cut_links',)

import asyncio

from zinniaturn.experiments.soak.fleet import LinkCut, SoakFleet
from zinniaturn.experiments.soak.plan import Fault
from zinniaturn.experiments.soak.vms import VmProcess
from zinniaturn.standins.vm_links import CutShape

# Cuts last longer than other faults, as the rule on them begins after 3 s.
_CUT_FACTOR = 3.0


async def cut_links(fleet: SoakFleet, fault: Fault) -> None:
    """Cut one, half, all but one, or at times all VMs off from the servers."""
    shapes = tuple(CutShape)
    shape = shapes[fault.target_index % len(shapes)]
    hosts = frozenset(vm.host for vm in _choose(fleet.vms, fault.target_index))
    loop = asyncio.get_running_loop()
    cut = LinkCut(hosts, loop.time())
    fleet.cuts.append(cut)
    for host in hosts:
        fleet.links.cut(host, shape)
    await asyncio.sleep(fault.duration_seconds * _CUT_FACTOR)
    for restored in hosts:
        fleet.links.restore(restored)
    cut.ended_at = loop.time()


def _choose(vms: list[VmProcess], index: int) -> list[VmProcess]:
    some = (1, len(vms) // 2, len(vms) - 1)
    counts = (*some, *some, len(vms))
    first = index % len(vms)
    return (vms[first:] + vms[:first])[: counts[index % len(counts)]]
