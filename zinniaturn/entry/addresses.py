"""
Responds to the callers' query for the addresses of entries.

The response lists the entries that are live, ready and not overloaded according
to gossip between entries. It does not depend on the store, and a lagging VM
list has an effect only through entries that it lists as leaving.
"""

__all__ = (
    'AddressesResponse',
    'exclude_overloaded',
    'handle_addresses',
    'select_addresses',
)

import random
from collections.abc import Iterable
from itertools import chain, zip_longest

import msgspec
from aiohttp import web

from zinniaturn.entry.overload import OverloadTracker
from zinniaturn.entry.state import EntryState
from zinniaturn.membership.domain import Member
from zinniaturn.membership.failure_detector import MemberState

MAX_ADDRESSES = 16


class EntryAddress(msgspec.Struct, frozen=True):
    """The address of an entry that callers may use."""

    host: str
    port: int
    data_center: str


class AddressesResponse(msgspec.Struct):
    """Addresses of entries, and for how many seconds callers may use them."""

    entries: list[EntryAddress]
    lifetime_seconds: float


def handle_addresses(state: EntryState) -> web.Response:
    """Return the response that lists the addresses as JSON."""
    addresses_response = AddressesResponse(
        entries=select_addresses(_usable_addresses(state), state.random_source),
        lifetime_seconds=state.settings.address_lifetime_seconds,
    )
    return web.Response(
        body=msgspec.json.encode(addresses_response),
        content_type='application/json',
    )


def select_addresses(
    addresses: Iterable[EntryAddress],
    random_source: random.Random,
) -> list[EntryAddress]:
    """
    Return up to `MAX_ADDRESSES` addresses, balanced over the data centres.

    >>> entries = [EntryAddress('', n, str(n % 2)) for n in range(40)]
    >>> picked = select_addresses(entries, random.Random(1))
    >>> sorted(entry.data_center for entry in picked).count('0')
    8
    """
    by_data_center: dict[str, list[EntryAddress]] = {}
    for address in addresses:
        by_data_center.setdefault(address.data_center, []).append(address)
    groups = list(by_data_center.values())
    random_source.shuffle(groups)
    for group in groups:
        random_source.shuffle(group)
    interleaved = chain.from_iterable(zip_longest(*groups))
    return list(filter(None, interleaved))[:MAX_ADDRESSES]


def exclude_overloaded(
    candidates: Iterable[tuple[str, EntryAddress]],
    tracker: OverloadTracker,
) -> list[EntryAddress]:
    """
    Return the addresses of the entries that are not overloaded.

    If more than half are overloaded, all addresses are returned.
    """
    entries = list(candidates)
    not_overloaded = [
        address for name, address in entries if not tracker.is_overloaded(name)
    ]
    if len(not_overloaded) * 2 >= len(entries):
        return not_overloaded
    return [address for _, address in entries]


def _usable_addresses(state: EntryState) -> list[EntryAddress]:
    """
    Return the live entries, else the suspect ones, else this entry.

    This entry is returned as the last resort whatever its state, since it
    still serves the requests that it gets.
    """
    candidates = [
        *_peer_addresses(state, MemberState.LIVE),
        *_own_address_if_ready(state),
    ]
    if candidates:
        return exclude_overloaded(candidates, state.overload)
    suspects = _peer_addresses(state, MemberState.SUSPECT)
    return [address for _, address in suspects] or [_own_address(state)]


def _peer_addresses(
    state: EntryState,
    wanted: MemberState,
) -> list[tuple[str, EntryAddress]]:
    if state.control is None:
        return []
    members = state.control.table.members_in(wanted)
    return [(member.name, _address_of(member)) for member in members]


def _own_address_if_ready(state: EntryState) -> list[tuple[str, EntryAddress]]:
    if state.lifecycle.state != 'ready':
        return []
    return [(state.settings.name, _own_address(state))]


def _own_address(state: EntryState) -> EntryAddress:
    settings = state.settings
    return EntryAddress(settings.host, state.port, settings.data_center)


def _address_of(member: Member) -> EntryAddress:
    callers = member.callers
    return EntryAddress(callers.host, callers.port, member.data_center)
