"""
Data classes of the two tables.

They are immutable and already checked; `zinniaturn.tables.models` does the
checking.
"""

__all__ = ('Pool', 'Route', 'Server', 'Tables')

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Server:
    """
    A backend server of a pool.

    ``slots`` is how many requests it runs at once. ``leaving`` asks that it
    gets no new work.
    """

    name: str
    host: str
    port: int
    slots: int
    data_center: str = ''
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """
    A named set of backend servers and its agreed limits.

    ``measuring_budget`` is in measuring requests per second per server, over
    all entries together. ``retry_share`` is the retries allowed as a share of
    successes. ``queue_limit`` is requests that wait at one entry.
    """

    name: str
    servers: tuple[Server, ...]
    measuring_budget: float = 0
    retry_share: float = 0.1
    queue_limit: int = 64


@dataclass(frozen=True, slots=True)
class Route:
    """
    A named rule that sends requests to a pool.

    An empty ``host`` matches every host and empty ``methods`` every method.
    ``idempotent`` is ``None`` where the method decides. ``deadline_seconds``
    applies to a caller that sends none.
    """

    name: str
    pool: str
    host: str = ''
    path_prefix: str = '/'
    methods: frozenset[str] = frozenset()
    idempotent: bool | None = None
    deadline_seconds: float = 30


def _empty() -> Mapping[str, object]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Tables:
    """Both tables at one revision; revision 0 is the empty start."""

    revision: int = 0
    routes: Mapping[str, Route] = field(default_factory=_empty)  # type: ignore
    pools: Mapping[str, Pool] = field(default_factory=_empty)  # type: ignore
