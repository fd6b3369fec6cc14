"""
Plan of a server choice experiment: workloads, policies, load and faults.

A run is divided into time slices, in each of which one policy serves the load.
The slices of all policies alternate within one run and have the same arrivals
and service times, so that the policies are compared under the same conditions.
"""

__all__ = (
    'BASELINE_POLICIES',
    'ORACLE_POLICY',
    'Plan',
    'Slice',
    'TimedFaults',
    'Workload',
    'city_workloads',
    'interleave_policies',
)

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from zinniaturn.experiments.cities import City
from zinniaturn.standins.backend_faults import BackendFaults

ORACLE_POLICY = 'oracle'
BASELINE_POLICIES = (
    'random',
    'round-robin',
    'least-in-flight',
    'power-of-two',
    'hot-cold',
)

_MEAN_SERVICE_SECONDS: Mapping[str, float] = MappingProxyType(
    {
        'card': 0.06,
        'ledger': 0.08,
        'extract': 0.4,
        'depreciation': 0.4,
        'chart': 0.06,
        'payment': 0.08,
        'export': 0.4,
        'booking': 0.12,
    }
)
_SERVICE_TIME_SIGMA = 0.5
# Mean over median of a lognormal distribution: exp(sigma ** 2 / 2).
_MEAN_TO_MEDIAN_RATIO = 1.1331


@dataclass(frozen=True, slots=True)
class Workload:
    """
    A service's servers and the distribution of its requests.

    ``mean_seconds`` is the mean service time and ``sigma`` the parameter of
    its lognormal distribution. A share ``long_share`` of the requests takes
    ``long_factor`` times as long. ``post_share`` is the share of requests that
    are not idempotent.
    """

    service: str
    servers: int
    slots: int
    mean_seconds: float
    sigma: float = _SERVICE_TIME_SIGMA
    post_share: float = 0.1
    long_share: float = 0
    long_factor: float = 10

    @property
    def capacity(self) -> float:
        """Return the requests per second at which all slots are busy."""
        mean_factor = 1 + self.long_share * (self.long_factor - 1)
        slots = self.servers * self.slots
        return slots / (self.mean_seconds * mean_factor)

    def draw_service_seconds(self, random_source: random.Random) -> float:
        """Draw the service time of one request in seconds."""
        median = self.mean_seconds / _MEAN_TO_MEDIAN_RATIO
        seconds = median * random_source.lognormvariate(0, self.sigma)
        if random_source.random() < self.long_share:
            return seconds * self.long_factor
        return seconds


@dataclass(frozen=True, slots=True)
class TimedFaults:
    """Faults by server name that start ``after_seconds`` into a slice."""

    after_seconds: float
    service: str
    faults: Mapping[str, BackendFaults]


@dataclass(frozen=True, slots=True)
class Slice:
    """A time slice in which one policy serves the load."""

    policy: str
    round_number: int


@dataclass(frozen=True, slots=True)
class Plan:
    """
    Everything that one run of an experiment needs.

    ``loads`` are pairs of an offset in the slice in seconds and the load from
    then on, as a share of capacity. Requests scheduled before
    ``warmup_seconds`` do not count in the figures by policy.
    ``deadline_seconds`` limits each attempt and ``patience_seconds`` a request
    with all its retries. Only the pools of ``budget_policies`` have a
    measuring budget; it is ``measuring_budget`` requests per second.
    """

    name: str
    city: City
    workloads: tuple[Workload, ...]
    policies: tuple[str, ...]
    loads: tuple[tuple[float, float], ...]
    seed: int
    slice_seconds: float
    warmup_seconds: float = 0.5
    rounds: int = 2
    faults: tuple[TimedFaults, ...] = ()
    measuring_budget: float = 4
    measuring_lease_seconds: float = 5
    deadline_seconds: float = 5
    patience_seconds: float = 10
    budget_policies: tuple[str, ...] = ('hot-cold',)

    @property
    def main_workload(self) -> Workload:
        """Return the workload whose latencies are reported first."""
        return self.workloads[0]


def city_workloads(city: City, count: int = 4) -> tuple[Workload, ...]:
    """Return workloads for the first ``count`` services of a city."""
    return tuple(
        Workload(
            service=service.name,
            servers=service.servers,
            slots=city.slots,
            mean_seconds=_MEAN_SERVICE_SECONDS[service.name],
        )
        for service in city.services[:count]
    )


def interleave_policies(
    policies: Sequence[str],
    rounds: int,
    seed: int,
) -> list[Slice]:
    """Return a slice per policy and round, shuffled within each round."""
    random_source = random.Random(seed)
    slices: list[Slice] = []
    for number in range(rounds):
        order = list(policies)
        random_source.shuffle(order)
        slices.extend(Slice(policy, number) for policy in order)
    return slices
