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
        if not _is_split(route):
            return _only_pool(route)
        if not self._has_credits(route):
            self.credits[route.name] = {
                share.pool: self.random_source.uniform(0, 1)
                for share in route.shares
            }
        grown = self._grown_credits(route)
        selected = max(grown, key=grown.__getitem__)
        grown[selected] -= 1
        self.credits[route.name] = grown
        return selected

    def peek(self, route: FleetRoute) -> str | None:
        """
        Return the pool that `select` returns next, and change nothing.

        Returns ``None`` before the first request of a route with several
        pools, which draws its pool at random.
        """
        if not _is_split(route):
            return _only_pool(route)
        if not self._has_credits(route):
            return None
        grown = self._grown_credits(route)
        return max(grown, key=grown.__getitem__)

    def _has_credits(self, route: FleetRoute) -> bool:
        names = [share.pool for share in route.shares]
        return list(self.credits.get(route.name, ())) == names

    def _grown_credits(self, route: FleetRoute) -> dict[str, float]:
        total = sum(share.weight for share in route.shares)
        credits = dict(self.credits[route.name])
        for share in route.shares:
            credits[share.pool] += share.weight / total
        return credits


def _is_split(route: FleetRoute) -> bool:
    return sum(share.weight for share in route.shares) > 0


def _only_pool(route: FleetRoute) -> str:
    return route.shares[0].pool if route.shares else route.pool
