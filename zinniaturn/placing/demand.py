"""
Request rates of the fleet and the capacity of a VM.

VMs differ in size: the link and processor of a small one carry a fraction of
what a large one does, so VMs are weighted by their capacity. The fleet's probe
budget is shared mostly by request rate, since probes help most on the VMs that
receive the requests.
"""

__all__ = (
    'capacity',
    'fleet_demand',
    'load_of_data_center',
    'probe_share',
    'share_of_capacity',
    'share_of_data_center',
    'share_of_fleet',
)

import math

from zinniaturn.fleet.vms import VmTable

_PROCESSOR_SECONDS_PER_REQUEST = 0.003
_MEGABITS_PER_REQUEST = 0.2
# Part of the probe budget that is shared equally among the VMs.
_EQUALLY_SHARED_PART = 0.25


def capacity(processor_share: float, link_megabits: float) -> int:
    """
    Return how many requests per second a VM can carry, 0 if not known.

    ``processor_share`` is the share of a core that one thread gets.

    >>> capacity(0.6, 200), capacity(0.6, 10), capacity(0, 10)
    (200, 50, 0)
    """
    by_processor = processor_share / _PROCESSOR_SECONDS_PER_REQUEST
    by_link = link_megabits / _MEGABITS_PER_REQUEST
    return round(min(by_processor, by_link))


def fleet_demand(vms: VmTable, own: float) -> float:
    """Return the fleet's requests per second, infinite if not known."""
    others = vms.peer_load()
    return math.inf if others is None else own + others


def load_of_data_center(vms: VmTable, data_center: str, own: float) -> float:
    """Return the requests per second to the VMs of a data centre."""
    total = own if vms.own.data_center == data_center else 0
    return total + sum(
        peer.load
        for peer in vms.alive_vms()
        if peer.record.data_center == data_center
    )


def probe_share(vms: VmTable, own: float) -> float:
    """
    Return a VM's share of the fleet's probes.

    While the loads of the others are not known, it is the VM's share of the
    fleet's capacity, since callers are sent to the largest VMs.
    """
    others = vms.peer_load()
    if others is None or not own + others:
        return share_of_capacity(vms)
    return share_of_fleet(own, others, vms.max_size())


def share_of_capacity(vms: VmTable) -> float:
    """
    Return a VM's share of the fleet's capacity, or an equal share.

    VMs that are not known yet are taken to be like those that are.
    """
    capacities = [vms.own.capacity]
    capacities.extend(peer.record.capacity for peer in vms.vms.values())
    if not all(capacities):
        return 1 / vms.max_size()
    mean = sum(capacities) / len(capacities)
    return min(1, vms.own.capacity / mean / vms.max_size())


def share_of_data_center(vms: VmTable, own: float) -> float:
    """
    Return a VM's share of the requests to the VMs of its data centre.

    It is an equal share while the loads of the others are not known. It is
    computed over all VMs that are alive.
    """
    loads = [
        peer.load
        for peer in vms.alive_vms()
        if peer.record.data_center == vms.own.data_center
    ]
    total = own + sum(loads)
    if not vms.has_quorum() or not total:
        return 1 / (len(loads) + 1)
    # A VM that callers begin to use has some probes from the start.
    equal = _EQUALLY_SHARED_PART / (len(loads) + 1)
    return equal + (1 - _EQUALLY_SHARED_PART) * own / total


def share_of_fleet(own: float, others: float, vms: int) -> float:
    """
    Return a VM's share of the fleet's probe budget.

    A part is shared equally, so that a VM that callers begin to use has some
    budget from the start; the rest is shared by request rate. ``own`` and
    ``others`` are requests per second, ``vms`` is the highest number of VMs
    that may be alive.

    >>> share_of_fleet(0, 0, 4), share_of_fleet(30, 10, 4)
    (0.25, 0.625)
    """
    total = own + others
    if not total:
        return 1 / vms
    return _EQUALLY_SHARED_PART / vms + (1 - _EQUALLY_SHARED_PART) * own / total
