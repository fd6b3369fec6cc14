"""Wire formats for stand-ins of callers, operators and the platform."""

__all__ = (
    'CONFIG_KEY',
    'ROUTE_COLUMNS',
    'build_config_document',
    'build_route_row',
    'build_settings_document',
    'decode_addresses',
    'encode_lookup',
    'encode_request',
    'server_key',
    'signature_of',
)

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

CONFIG_KEY = 'op/config'

ROUTE_COLUMNS = (
    'name',
    'host',
    'prefix',
    'kind',
    'timeout_ms',
    'target_latency_ms',
    'priority',
    'service',
    'max_attempts',
)
_ROUTE_TIMEOUT_MS = 800
_ROUTE_TARGET_MS = 300
_MAX_ATTEMPTS = 2


def server_key(name: str) -> str:
    """Return the store's key of a server's entry."""
    return f'servers/{name}'


def encode_request(
    method: str,
    path: str,
    host: str,
    request_id: str,
    wait_ms: int,
) -> bytes:
    """Return a caller's request without a body, as bytes."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'X-Attempt-Id: {request_id}\r\n'
        f'X-Request-Deadline-Ms: {wait_ms}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def signature_of(fields: Mapping[str, str]) -> str:
    """Return the server's signature from a response's lower-case fields."""
    return fields.get('x-upstream-signature', '')


def encode_lookup(host: str, data_center: str) -> bytes:
    """Return a caller's request to look up addresses, as bytes."""
    return (
        f'GET /resolve?name={host}&zone={data_center} HTTP/1.1\r\n'
        f'Host: directory\r\n\r\n'
    ).encode()


def decode_addresses(body: bytes) -> list[str]:
    """Return the addresses in a look-up's response; raises `ValueError`."""
    return list(msgspec.json.decode(body)['addresses'])


def build_route_row(
    name: str, host: str, pool: str, is_idempotent: bool
) -> list[Any]:
    """Return a route as a row of the operator's document."""
    kind = 'idempotent' if is_idempotent else 'non_idempotent'
    path = f'/{name}/'
    limits_ms = (_ROUTE_TIMEOUT_MS, _ROUTE_TARGET_MS)
    return [name, host, path, kind, *limits_ms, 1, pool, _MAX_ATTEMPTS]


def build_config_document(
    version: int,
    rows: Iterable[list[Any]],
    pool: str,
) -> dict[str, Any]:
    """Return the operator's document."""
    return {
        'version': f'{version:08x}',
        'routes': {'columns': list(ROUTE_COLUMNS), 'rows': list(rows)},
        'services': {
            'columns': ['name', 'health_path'],
            'rows': [[pool, '/healthz']],
        },
    }


def build_settings_document(
    host: str,
    name: str,
    store_port: int,
    listen: Mapping[str, int],
    first_port: int,
) -> dict[str, Any]:
    """Return a VM's settings as the platform renders them."""
    return {
        'node_name': name,
        'role': 'gateway',
        'ip': host,
        'zone': 'dc-0',
        'listen': {
            'control': None,
            **{listener: f'{host}:{port}' for listener, port in listen.items()},
        },
        'port_range': [first_port, first_port + 5],
        'bounds': {'grace_s': 6, 'budget_min_retries': 56},
        'platform': {'address': f'127.0.0.1:{store_port}', 'form': 'kv'},
    }
