"""Decodes the entries that backend servers keep in the store."""

__all__ = ('decode_server',)

from types import MappingProxyType

import msgspec

from zinniaturn.fleet.checks import check_server
from zinniaturn.fleet.domain import RegisteredServer
from zinniaturn.http1.connections import parse_address
from zinniaturn.tables.domain import Server

_LEAVING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})
_MILLISECONDS_PER_SECOND = 1000


class _Entry(msgspec.Struct):
    """A server's entry; the server's name is part of the entry's key."""

    # The name of the pool.
    service: str
    address: str
    # The data centre.
    zone: str
    # The number of slots: requests that the server runs at once.
    capacity: int
    state: str
    warmup_left_ms: float = 0
    # The Unix time of the server's start, in milliseconds.
    born: int = 0


_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_server(name: str, raw: bytes) -> RegisteredServer:
    """Return the server of an entry; raises `ValueError`."""
    entry = _entry_decoder.decode(raw)
    if entry.state not in _LEAVING_BY_STATE:
        raise ValueError(f'state "{entry.state[:40]}" is unknown')
    host, port = parse_address(entry.address)
    registered = RegisteredServer(
        Server(
            name,
            host,
            port,
            entry.capacity,
            entry.zone,
            _LEAVING_BY_STATE[entry.state],
        ),
        entry.service,
        entry.born,
        entry.warmup_left_ms / _MILLISECONDS_PER_SECOND,
    )
    check_server(registered)
    return registered
