"""
Routes and pools as the gateway serves them.

They extend the rows of the product's own tables by what the platform's
operators may say besides: requests that are spread over pools, objectives,
priorities and limits on callers.
"""

__all__ = ('FleetPool', 'FleetRoute', 'FleetTables', 'PoolShare')

from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.http1.limits import CallerLimits
from zinniaturn.tables.domain import Pool, Route


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool's weight among those that share a route's requests."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class FleetRoute(Route):
    """
    A route with what the gateway decides by.

    With ``shares`` the requests are spread over several pools.
    ``objective_seconds`` is the time within which an answer is worth most, 0
    where nothing is known; a lower ``priority`` goes first. ``max_attempts``
    bounds the servers that one request is sent to.
    """

    shares: tuple[PoolShare, ...] = ()
    objective_seconds: float = 0
    priority: int = 0
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class FleetPool(Pool):
    """
    A pool whose servers register themselves.

    ``health_path`` is where they say how loaded they are.
    """

    health_path: str = ''


@dataclass(frozen=True, slots=True)
class FleetTables:
    """Routes, pools and limits as of one revision of the document."""

    revision: int = 0
    routes: Mapping[str, FleetRoute] = field(default_factory=dict)
    pools: Mapping[str, FleetPool] = field(default_factory=dict)
    caller_limits: CallerLimits = field(default_factory=CallerLimits)
