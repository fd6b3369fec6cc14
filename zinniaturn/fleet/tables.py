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
from zinniaturn.tenants import TenantTable


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
    limits the number of servers that one request is sent to. Requests on a
    ``public`` route need no key, where tenants are configured.
    """

    shares: tuple[PoolShare, ...] = ()
    objective_seconds: float = 0
    priority: int = 0
    max_attempts: int = 3
    public: bool = False


@dataclass(frozen=True, slots=True)
class FleetPool(Pool):
    """
    A pool whose servers register themselves.

    The servers report their load at ``health_path``. A server is cold for
    ``warm_up_seconds`` after its start and then takes ``warm_up_per_second``
    requests a second; 0 means that it isn't known.
    """

    health_path: str = ''
    warm_up_seconds: float = 0
    warm_up_per_second: float = 0


@dataclass(frozen=True, slots=True)
class FleetTables:
    """
    Routes, pools and caller limits of one revision of the document.

    ``version`` is the operators' own number of their document. It grows with
    each one that they write, also across the eras of the store. ``tenants`` is
    ``None`` where the document names none.
    """

    revision: int = 0
    routes: Mapping[str, FleetRoute] = field(default_factory=dict)
    pools: Mapping[str, FleetPool] = field(default_factory=dict)
    caller_limits: CallerLimits = field(default_factory=CallerLimits)
    version: int = 0
    tenants: TenantTable | None = None
