"""Sets the limits of cold servers by their pools and the fleet's bounds."""

__all__ = ('set_warm_up_limits',)

from collections.abc import Mapping

from zinniaturn.admission.warm_up import warm_up_limit
from zinniaturn.fleet.tables import FleetTables
from zinniaturn.gateway.settings import FleetBounds
from zinniaturn.placing.candidates import Candidate


def set_warm_up_limits(
    pools: Mapping[str, Mapping[str, Candidate]],
    tables: FleetTables | None,
    bounds: FleetBounds,
) -> None:
    """
    Set the limit that each server has while it is cold.

    Work: an assignment for each server, on changes of the tables, the servers
    or the settings.
    """
    known = {} if tables is None else tables.pools
    for name, candidates in pools.items():
        pool = known.get(name)
        limit = warm_up_limit(
            0 if pool is None else pool.warm_up_per_second,
            bounds.warm_up_overage,
            bounds.warm_up_slack,
        )
        for candidate in candidates.values():
            candidate.admission.warm_up = limit
