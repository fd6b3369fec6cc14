"""Spreading a route's requests over the pools that share them."""

__all__ = ('PoolSelector',)

import random
from dataclasses import dataclass, field

from zinniaturn.fleet.tables import FleetRoute


@dataclass(slots=True)
class PoolSelector:
    """
    Gives each pool its weight's share of every few requests.

    Each pool's credit grows by its weight, and the richest is taken; the
    credits begin at random, so that many VMs with few requests each are not
    all at the same point of their turn.
    """

    source: random.Random
    credits: dict[str, dict[str, float]] = field(default_factory=dict)

    def select(self, route: FleetRoute) -> str:
        """Return the pool that a request of the route goes to."""
        if not route.shares:
            return route.pool
        total = sum(share.weight for share in route.shares)
        if total <= 0:
            return route.shares[0].pool
        credits = self.credits.get(route.name)
        names = [share.pool for share in route.shares]
        if credits is None or list(credits) != names:
            credits = {
                share.pool: self.source.uniform(0, 1) for share in route.shares
            }
            self.credits[route.name] = credits
        for share in route.shares:
            credits[share.pool] += share.weight / total
        richest = max(credits, key=lambda name: credits[name])
        credits[richest] -= 1
        return richest
