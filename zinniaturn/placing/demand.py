"""
How many requests callers send, and what a VM is good for.

It answers fleets of unlike VMs: what a small one's link and processor can carry
is a fraction of what a large one can, while what the fleet may spend on probes
is best spent where the requests are.
"""

__all__ = (
    'ArrivalRate',
    'capacity',
    'fleet_demand',
    'probe_share',
    'share_of_fleet',
)

import math
from collections import deque
from dataclasses import dataclass, field

from zinniaturn.fleet.vms import VmTable

_PROCESSOR_SECONDS_A_REQUEST = 0.003
_MEGABITS_A_REQUEST = 0.2
_WINDOW_SECONDS = 2.0
_EQUAL_PART = 0.25


@dataclass(slots=True)
class ArrivalRate:
    """
    The requests a second that came in the last seconds.

    >>> rate = ArrivalRate()
    >>> for moment in (1.0, 2.0, 3.0, 3.5):
    ...     rate.note(moment)
    >>> rate.a_second(3.5)
    1.5
    """

    arrivals: deque[float] = field(default_factory=deque)

    def note(self, now: float) -> None:
        """Count a request."""
        self.arrivals.append(now)
        self._forget(now)

    def a_second(self, now: float) -> float:
        """Return the mean rate."""
        self._forget(now)
        return len(self.arrivals) / _WINDOW_SECONDS

    def _forget(self, now: float) -> None:
        oldest = now - _WINDOW_SECONDS
        while self.arrivals and self.arrivals[0] <= oldest:
            self.arrivals.popleft()


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
    return own + vms.load_of_others() if vms.hears_most() else math.inf


def probe_share(vms: VmTable, own: float) -> float:
    """Return a VM's share of the probes, an equal one if it hears few."""
    if not vms.hears_most():
        return 1 / vms.most()
    return share_of_fleet(own, vms.load_of_others(), vms.most())


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
