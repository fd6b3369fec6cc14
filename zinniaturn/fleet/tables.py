"""
Routes and pools as the gateway serves them.

They extend the rows of the entry's tables by the platform's further settings:
traffic split between pools, latency objectives, priorities and limits on
callers.
"""

__all__ = ('FleetPool', 'FleetRoute', 'FleetTables', 'PoolShare')

from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.http1.limits import CallerLimits
from zinniaturn.tables.domain import Pool, Route


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool and its weight in a route's traffic split."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class FleetRoute(Route):
    """
    A route with the settings for scheduling its requests.

    ``shares`` splits the requests over several pools. ``objective_seconds`` is
    the latency objective, within which a response is worth most, or 0 if none
    is known. Requests with a lower ``priority`` go first. ``max_attempts``
    limits the number of servers that one request is sent to.
    """

    shares: tuple[PoolShare, ...] = ()
    objective_seconds: float = 0
    priority: int = 0
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class FleetPool(Pool):
    """
    A pool whose servers register themselves.

    The servers report their load at ``health_path``.
    """

    health_path: str = ''


@dataclass(frozen=True, slots=True)
class FleetTables:
    """
    Routes, pools and caller limits of one revision of the document.

    ``version`` is the operators' own number of their document. It grows with
    each one that they write, also across the eras of the store.
    """

    revision: int = 0
    routes: Mapping[str, FleetRoute] = field(default_factory=dict)
    pools: Mapping[str, FleetPool] = field(default_factory=dict)
    caller_limits: CallerLimits = field(default_factory=CallerLimits)
    version: int = 0
