"""
Checks of what other processes say of servers and VMs.

Whatever a VM takes in it passes on to the others, by messages with bounded
figures, and names go into header fields. So what does not fit there is refused
at each place where it may come in.
"""

__all__ = ('check_address', 'check_record', 'check_server')

import ipaddress
import re

from zinniaturn.fleet.domain import RegisteredServer, VmRecord
from zinniaturn.http1.connections import Address, parse_address

_LONGEST_NAME = 200
# Spaces and control characters would end a header field or a log line's word.
_NAME = re.compile(r'[!-~]+')
_HIGHEST_PORT = 65_535
_MOST_SLOTS = 10**9
_LATEST_MS = 10**15
_LONGEST_WARM_UP_SECONDS = 10**6
_HIGHEST_CAPACITY = 10**9
_LARGEST_FLEET = 10**6


def check_server(registered: RegisteredServer) -> None:
    """Raise `ValueError` if a server can't be used or told to other VMs."""
    server = registered.server
    _check_name('server name', server.name)
    _check_text('pool name', registered.pool)
    _check_text('data centre', server.data_center)
    check_address((server.host, server.port))
    _check_range('slots', server.slots, 1, _MOST_SLOTS)
    _check_range('start', registered.started_ms, 0, _LATEST_MS)
    _check_range(
        'warm-up', registered.warm_up_seconds, 0, _LONGEST_WARM_UP_SECONDS
    )


def check_record(record: VmRecord) -> None:
    """Raise `ValueError` if a VM can't be reached as its record says."""
    _check_name('VM name', record.name)
    _check_text('data centre', record.data_center)
    check_address(record.exchange)
    host, port = record.exchange
    check_address((host, port + 1))
    if record.front:
        _check_text('address', record.front)
        check_address(parse_address(record.front))
    _check_range('capacity', record.capacity, 0, _HIGHEST_CAPACITY)
    _check_range('fleet size', record.fleet_size, 0, _LARGEST_FLEET)


def check_address(address: Address) -> None:
    """Raise `ValueError` unless an address is an IPv4 address with a port."""
    host, port = address
    ipaddress.IPv4Address(host)
    _check_range('port', port, 1, _HIGHEST_PORT)


def _check_name(what: str, text: str) -> None:
    _check_text(what, text)
    if not _NAME.fullmatch(text):
        raise ValueError(f'the {what} has characters that no name has')


def _check_text(what: str, text: str) -> None:
    if len(text) > _LONGEST_NAME:
        raise ValueError(f'the {what} has {len(text)} characters')


def _check_range(what: str, figure: float, low: int, high: int) -> None:
    if not low <= figure <= high:
        raise ValueError(f'the {what} is not between {low} and {high}')
