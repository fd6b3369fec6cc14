"""What a VM keeps of all pools for deciding when requests leave."""

__all__ = ('LocalityTable',)

from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.locality.activation import Activation
from zinniaturn.locality.departures import Departures
from zinniaturn.locality.pool_locality import PoolLocality
from zinniaturn.locality.response_sizes import ResponseSizes
from zinniaturn.locality.weights import LocalityWeights


@dataclass(slots=True)
class LocalityTable:
    """
    Each pool's decisions, what left, and the usual sizes of responses.

    While ``activation`` is off, servers and VMs are chosen as if all were in
    one data centre, and nothing is kept of them.
    """

    data_center: str
    weights: LocalityWeights = field(default_factory=LocalityWeights)
    pools: dict[str, PoolLocality] = field(default_factory=dict)
    sizes: ResponseSizes = field(default_factory=ResponseSizes)
    departures: Departures = field(default_factory=Departures)
    activation: Activation = field(default_factory=Activation)

    def pool(self, name: str) -> PoolLocality:
        """Return the decisions of a pool."""
        known = self.pools.get(name)
        if known is None:
            known = PoolLocality(
                self.data_center, self.weights, self.activation
            )
            self.pools[name] = known
        return known

    def set_servers(self, counts: Mapping[str, Mapping[str, int]]) -> None:
        """Set how many servers each pool has in each data centre."""
        for gone in self.pools.keys() - counts.keys():
            self.pools.pop(gone)
        self.departures.retain(set(counts))
        for name, pool_counts in counts.items():
            self.pool(name).set_servers(pool_counts)

    def set_weights(self, weights: LocalityWeights) -> None:
        """Apply changed settings."""
        self.weights = weights
        for pool in self.pools.values():
            pool.weights = weights
