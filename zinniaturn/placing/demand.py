"""
How many requests callers send, and what a VM is good for.

It answers fleets of unlike VMs: what a small one's link and processor can carry
is a fraction of what a large one can, while what the fleet may spend on probes
is best spent where the requests are.
"""

__all__ = (
    'capacity',
    'fleet_demand',
    'probe_share',
    'share_of_fleet',
)

import math

from zinniaturn.fleet.vms import VmTable

_PROCESSOR_SECONDS_A_REQUEST = 0.003
_MEGABITS_A_REQUEST = 0.2
_EQUAL_PART = 0.25


def capacity(processor_share: float, link_megabits: float) -> int:
    """
    Return how many requests a second a VM is good for, 0 if not known.

    ``processor_share`` is what one thread gets of a core.

    >>> capacity(0.6, 200), capacity(0.6, 10), capacity(0, 10)
    (200, 50, 0)
    """
    by_processor = processor_share / _PROCESSOR_SECONDS_A_REQUEST
    by_link = link_megabits / _MEGABITS_A_REQUEST
    return round(min(by_processor, by_link))


def fleet_demand(vms: VmTable, own: float) -> float:
    """Return the fleet's requests a second, infinite if not known."""
    others = vms.peer_load()
    return math.inf if others is None else own + others


def probe_share(vms: VmTable, own: float) -> float:
    """Return a VM's share of the probes, an equal one if it hears few."""
    others = vms.peer_load()
    if others is None:
        return 1 / vms.max_size()
    return share_of_fleet(own, others, vms.max_size())


def share_of_fleet(own: float, others: float, vms: int) -> float:
    """
    Return a VM's share of what the fleet may spend.

    A part is shared equally, so that a VM that callers turn to has something
    to begin with; the rest goes where the requests are. ``own`` and
    ``others`` are requests a second, ``vms`` is how many there may be.

    >>> share_of_fleet(0, 0, 4), share_of_fleet(30, 10, 4)
    (0.25, 0.625)
    """
    total = own + others
    if not total:
        return 1 / vms
    return _EQUAL_PART / vms + (1 - _EQUAL_PART) * own / total
