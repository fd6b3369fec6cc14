"""Decodes the entries that backend servers keep in the store."""

__all__ = ('decode_server',)

from types import MappingProxyType
from typing import Annotated

import msgspec

from zinniaturn.fleet.domain import RegisteredServer
from zinniaturn.http1.connections import parse_address
from zinniaturn.tables.domain import Server

_LEAVING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})
_MILLISECONDS_PER_SECOND = 1000

# VMs tell each other these figures, in messages that hold no larger ones.
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**15)]
Slots = Annotated[int, msgspec.Meta(le=10**9)]


class _Entry(msgspec.Struct):
    """A server's entry; the server's name is part of the entry's key."""

    # The name of the pool.
    service: str
    address: str
    # The data centre.
    zone: str
    # The number of slots: requests that the server runs at once.
    capacity: Slots
    state: str
    warmup_left_ms: float = 0
    # The Unix time of the server's start, in milliseconds.
    born: UnixMilliseconds = 0


_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_server(name: str, raw: bytes) -> RegisteredServer:
    """Return the server of an entry; raises `ValueError`."""
    entry = _entry_decoder.decode(raw)
    if entry.state not in _LEAVING_BY_STATE:
        raise ValueError(f'state "{entry.state}" is unknown')
    if entry.capacity < 1:
        raise ValueError(f'capacity {entry.capacity} is too small')
    host, port = parse_address(entry.address)
    return RegisteredServer(
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
