"""
Data classes of the two tables.

They are immutable and contain validated data; `zinniaturn.tables.models` does
the validation.
"""

__all__ = ('Pool', 'Route', 'Server', 'Tables')

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class Server:
    """
    A backend server of a pool.

    ``slots`` is the number of requests that it runs at once. A server with
    ``leaving`` set gets no new requests.
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
    A named set of backend servers and its limits.

    ``measuring_budget`` limits the measuring requests (probes) per second to
    each server, from all entries together. ``retry_share`` limits retries to
    this share of the successful requests. ``queue_limit`` is the maximum number
    of requests that wait at one entry.
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
    If ``idempotent`` is ``None``, the request's method decides.
    ``deadline_seconds`` is the time limit of requests that state no deadline.
    """

    name: str
    pool: str
    host: str = ''
    path_prefix: str = '/'
    methods: frozenset[str] = frozenset()
    idempotent: bool | None = None
    deadline_seconds: float = 30


def _empty_mapping() -> Mapping[str, object]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Tables:
    """Both tables at one revision; revision 0 is the initial, empty state."""

    revision: int = 0
    routes: Mapping[str, Route] = field(default_factory=_empty_mapping)  # type: ignore
    pools: Mapping[str, Pool] = field(default_factory=_empty_mapping)  # type: ignore
