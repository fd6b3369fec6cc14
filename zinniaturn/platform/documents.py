"""The operator's document: routes and pools as columns and rows."""

__all__ = ('decode_document',)

from typing import Any

import msgspec

from zinniaturn.fleet.domain import TablesDocument
from zinniaturn.fleet.exceptions import BadDocumentError
from zinniaturn.fleet.tables import (
    FleetPool,
    FleetRoute,
    FleetTables,
    PoolShare,
)
from zinniaturn.http1.limits import CallerLimits

# Kinds of routes whose requests may run more than once.
_REPEATABLE = frozenset(('idempotent', 'download'))
_MILLISECONDS = 1000


class _Table(msgspec.Struct):
    """Field names, and rows of values in their order."""

    columns: list[str]
    rows: list[list[Any]]


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """One route; ``service`` is the pool unless the requests are split."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str | None = None
    max_attempts: int = 1
    traffic_split: list[_Share] | None = None


class _Service(msgspec.Struct):
    name: str
    health_path: str = '/'


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Document(msgspec.Struct):
    version: str
    routes: _Table
    services: _Table
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = msgspec.json.Decoder(_Document)


def decode_document(document: TablesDocument) -> FleetTables:
    """Return the tables of a document; raises `BadDocumentError`."""
    try:
        decoded = _decoder.decode(document.raw)
        routes = [_route_of(row) for row in _rows(decoded.routes, _Route)]
        pools = [_pool_of(row) for row in _rows(decoded.services, _Service)]
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadDocumentError(str(error)) from error
    return FleetTables(
        document.revision,
        {route.name: route for route in routes},
        {pool.name: pool for pool in pools},
        _limits_of(decoded.limits),
    )


def _rows(table: _Table, row_type: type) -> list[Any]:
    """Return rows as structures; an absent value takes its default."""
    return [
        msgspec.convert(
            {
                name: each
                for name, each in zip(table.columns, row, strict=True)
                if each is not None
            },
            row_type,
        )
        for row in table.rows
    ]


def _route_of(row: _Route) -> FleetRoute:
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
        idempotent=row.kind in _REPEATABLE,
        deadline_seconds=row.timeout_ms / _MILLISECONDS,
        shares=shares,
        objective_seconds=row.target_latency_ms / _MILLISECONDS,
        priority=row.priority,
        max_attempts=row.max_attempts,
    )


def _pool_of(row: _Service) -> FleetPool:
    return FleetPool(row.name, (), health_path=row.health_path)


def _limits_of(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / _MILLISECONDS,
        limits.idle_timeout_ms / _MILLISECONDS,
    )
