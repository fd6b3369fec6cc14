"""Decodes the operator's document of routes and pools into tables."""

__all__ = ('decode_document',)

from typing import Annotated, Any

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.fleet.exceptions import BadDocumentError
from zinniaturn.fleet.tables import (
    FleetPool,
    FleetRoute,
    FleetTables,
    PoolShare,
)
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.platform.column_tables import (
    ColumnTable,
    Priority,
    Rate,
    decode_rows,
)
from zinniaturn.platform.tenant_rows import build_tenants

# The kinds of routes whose requests may run more than once.
_IDEMPOTENT_KINDS = frozenset(('idempotent', 'download'))
_MILLISECONDS_PER_SECOND = 1000
# Versions are written in hexadecimal digits.
_VERSION_BASE = 16

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=10**9)]
Bytes = Annotated[int, msgspec.Meta(ge=0, le=2**31)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=10**9)]
Attempts = Annotated[int, msgspec.Meta(ge=0, le=1000)]


class _Share(msgspec.Struct):
    """A pool's weight among the pools that share a route's requests."""

    service: str
    weight: Weight


class _Route(msgspec.Struct):
    """One route."""

    name: str
    host: str
    prefix: str
    # Says only whether the requests are idempotent, see `_IDEMPOTENT_KINDS`.
    kind: str
    # The longest time from a request's arrival to its response.
    timeout_ms: Milliseconds
    # The route's latency objective; 0 means none.
    target_latency_ms: Milliseconds = 0
    priority: Priority = 0
    # The name of the pool; not used where ``traffic_split`` names several.
    service: str | None = None
    max_attempts: Attempts = 1
    traffic_split: list[_Share] | None = None
    # Whether requests need no key, where tenants are configured.
    public: bool = False


class _Service(msgspec.Struct):
    """A pool, which the platform calls a service."""

    name: str
    health_path: str = '/'
    # How long a server is cold, and the requests a second that it takes then.
    # Earlier builds ignored both, so that no text in them refuses a document.
    warmup_s: Any = 0
    warmup_per_s: Any = 0


class _Limits(msgspec.Struct):
    """Limits on callers' requests and connections."""

    max_header_bytes: Bytes = 16_384
    max_body_bytes: Bytes = 16 * 1024 * 1024
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000


class _Document(msgspec.Struct):
    version: str
    routes: ColumnTable
    services: ColumnTable
    tenants: ColumnTable | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


_document_decoder = msgspec.json.Decoder(_Document)


def decode_document(document: TablesDocument) -> FleetTables:
    """Return the tables of a document; raises `BadDocumentError`."""
    try:
        decoded = _document_decoder.decode(document.raw)
        version = int(decoded.version, _VERSION_BASE)
        routes = [
            _build_route(row) for row in decode_rows(decoded.routes, _Route)
        ]
        pools = [
            _build_pool(row) for row in decode_rows(decoded.services, _Service)
        ]
        tenants = build_tenants(decoded.tenants)
    except (ValueError, RecursionError, OverflowError) as error:
        raise BadDocumentError(cause_of(error)) from error
    return FleetTables(
        document.revision,
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
        _build_limits(decoded.limits),
        version,
        tenants,
    )


def _build_route(row: _Route) -> FleetRoute:
    shares = tuple(
        PoolShare(share.service, share.weight)
        for share in row.traffic_split or ()
    )
    if not (shares or row.service):
        raise ValueError(f'route "{row.name}" names no service')
    return FleetRoute(
        name=row.name,
        pool=row.service or '',
        host=row.host.lower(),
        path_prefix=row.prefix,
        idempotent=row.kind in _IDEMPOTENT_KINDS,
        deadline_seconds=row.timeout_ms / _MILLISECONDS_PER_SECOND,
        shares=shares,
        objective_seconds=row.target_latency_ms / _MILLISECONDS_PER_SECOND,
        priority=row.priority,
        max_attempts=row.max_attempts,
        public=row.public,
    )


def _build_pool(row: _Service) -> FleetPool:
    return FleetPool(
        row.name,
        (),
        health_path=row.health_path,
        warm_up_seconds=_rate_or_zero(row.warmup_s),
        warm_up_per_second=_rate_or_zero(row.warmup_per_s),
    )


def _rate_or_zero(cell: Any) -> float:
    """Return a figure that is not negative, 0 for a cell that holds none."""
    try:
        return float(msgspec.convert(cell, Rate))
    except msgspec.ValidationError:
        return 0


def _build_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / _MILLISECONDS_PER_SECOND,
        limits.idle_timeout_ms / _MILLISECONDS_PER_SECOND,
    )
