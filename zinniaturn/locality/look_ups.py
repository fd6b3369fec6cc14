"""
Which of the VMs a look-up returns to a caller of a certain data centre.

A caller that connects to a VM of its own data centre saves the way between data
centres twice. It gets these VMs only, as long as they have the capacity for the
callers that they get. What they lack is made up by a mix with others.
"""

__all__ = ('LocalShare', 'LocalVms')

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import VmRecord

# VMs should carry twice what they get, as callers come in bursts.
_USUAL_LOAD = 0.5
# The share changes only outside of these loads, so that it doesn't swing.
_LIGHT_LOAD = 0.4
_HEAVY_LOAD = 0.6
# Callers look up every two seconds, and loads are means over two more.
_REVIEW_SECONDS = 4.0
_MOST_GROWTH = 1.3
_LEAST_SHARE = 0.05
# A caller needs a second address where one VM fails.
_FEWEST_OWN = 2
_SHARE_OF_FEW = 0.5


@dataclass(slots=True)
class LocalShare:
    """
    The share of own VMs in the answers to callers of one data centre.

    >>> share = LocalShare.for_demand(capacity=100, demand=50)
    >>> share.share
    1.0
    >>> share.review(load=80, capacity=100, now=4)
    >>> share.share
    0.625
    >>> share.is_due(5), share.is_due(8)
    (False, True)
    """

    share: float
    reviewed_at: float = 0

    @classmethod
    def for_demand(cls, capacity: float, demand: float) -> 'LocalShare':
        """Return the first share, by the requests per second to expect."""
        if capacity >= demand / _USUAL_LOAD:
            return cls(1.0)
        return cls(max(_LEAST_SHARE, _USUAL_LOAD * capacity / demand))

    def is_due(self, now: float) -> bool:
        """Return whether the last change has shown in the loads by now."""
        return now - self.reviewed_at >= _REVIEW_SECONDS

    def review(self, load: float, capacity: float, now: float) -> None:
        """
        Correct the share by the load that it has led to.

        ``load`` is in requests per second. Call it only where `is_due`.
        """
        self.reviewed_at = now
        used = load / capacity if capacity else 1
        if used > _HEAVY_LOAD:
            self.share = max(_LEAST_SHARE, self.share * _USUAL_LOAD / used)
        elif used < _LIGHT_LOAD:
            growth = min(_MOST_GROWTH, _USUAL_LOAD / max(used, 0.001))
            self.share = min(1.0, self.share * growth)


@dataclass(slots=True)
class LocalVms:
    """
    The VMs to return to callers, by data centre.

    Work: they are sorted into data centres when they change; a look-up costs
    what its answer of at most ``most`` addresses does.
    """

    random_source: random.Random
    most: int
    selected: Sequence[VmRecord] = ()
    by_data_center: dict[str, list[VmRecord]] = field(default_factory=dict)
    shares: dict[str, LocalShare] = field(default_factory=dict)

    def set_selected(self, selected: Sequence[VmRecord]) -> None:
        """Set the VMs to choose from; the shares of data centres stay."""
        self.selected = selected
        self.by_data_center = {}
        for vm in selected:
            self.by_data_center.setdefault(vm.data_center, []).append(vm)
        for gone in self.shares.keys() - self.by_data_center.keys():
            self.shares.pop(gone)

    def capacity(self, data_center: str) -> int:
        """Return the requests per second that a data centre's VMs carry."""
        return sum(
            vm.capacity for vm in self.by_data_center.get(data_center, ())
        )

    def is_mixed(self, data_center: str) -> bool:
        """Return whether some but not all VMs are of a data centre."""
        own = self.by_data_center.get(data_center)
        return own is not None and len(own) < len(self.selected)

    def choose(self, data_center: str) -> list[VmRecord]:
        """Return VMs for a caller of a data centre, in random order."""
        own = self.by_data_center[data_center]
        share = self.shares[data_center].share
        if len(own) < _FEWEST_OWN:
            share = min(share, _SHARE_OF_FEW)
        own_count = min(len(own), max(1, round(self.most * share)))
        if share >= 1:
            return self.random_source.sample(own, own_count)
        others = [vm for vm in self.selected if vm.data_center != data_center]
        wanted = self._round(own_count * (1 - share) / share)
        if wanted > len(others):
            wanted = len(others)
            own_count = max(1, self._round(wanted * share / (1 - share)))
        chosen = self.random_source.sample(own, min(own_count, len(own)))
        chosen.extend(self.random_source.sample(others, wanted))
        self.random_source.shuffle(chosen)
        return chosen[: self.most]

    def _round(self, number: float) -> int:
        """Round up or down at random, so that the mean is exact."""
        return int(number + self.random_source.random())
