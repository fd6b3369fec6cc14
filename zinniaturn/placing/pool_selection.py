"""Weighted round-robin over the pools that share a route's requests."""

__all__ = ('PoolSelector',)

import random
from dataclasses import dataclass, field

from zinniaturn.fleet.tables import FleetRoute


@dataclass(slots=True)
class PoolSelector:
    """
    Selects pools by smooth weighted round-robin.

    With each request every pool's credit grows by its share of the weights;
    the pool with the highest credit is selected and its credit reduced by 1.
    The credits start at random values, so that many VMs with few requests each
    do not all select the same pool first.
    """

    random_source: random.Random
    credits: dict[str, dict[str, float]] = field(default_factory=dict)

    def select(self, route: FleetRoute) -> str:
        """Return the pool for the next request of a route."""
        if not route.shares:
            return route.pool
        total = sum(share.weight for share in route.shares)
        if total <= 0:
            return route.shares[0].pool
        credits = self.credits.get(route.name)
        names = [share.pool for share in route.shares]
        if credits is None or list(credits) != names:
            credits = {
                share.pool: self.random_source.uniform(0, 1)
                for share in route.shares
            }
            self.credits[route.name] = credits
        for share in route.shares:
            credits[share.pool] += share.weight / total
        selected = max(credits, key=lambda name: credits[name])
        credits[selected] -= 1
        return selected
