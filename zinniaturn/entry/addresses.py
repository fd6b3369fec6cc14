"""
The answer to "which addresses?".

It names entries that are live, ready and not overloaded, as this entry knows
them from its peers. It needs no store, and a lagging VM list matters only where
it says that an entry is leaving.
"""

__all__ = (
    'AddressesAnswer',
    'answer_addresses',
    'exclude_overloaded',
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
from zinniaturn.membership.evidence import MemberState

MAX_ENTRIES = 16


class EntryAddress(msgspec.Struct, frozen=True):
    """An address that callers may use."""

    host: str
    port: int
    data_center: str


class AddressesAnswer(msgspec.Struct):
    """The addresses to use and for how many seconds."""

    entries: list[EntryAddress]
    lifetime_seconds: float


def answer_addresses(state: EntryState) -> web.Response:
    """Return the addresses as JSON."""
    answer = AddressesAnswer(
        entries=select_addresses(_usable(state), state.source),
        lifetime_seconds=state.settings.address_lifetime_seconds,
    )
    return web.Response(
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )


def select_addresses(
    addresses: Iterable[EntryAddress],
    source: random.Random,
) -> list[EntryAddress]:
    """
    Return some of the addresses, taken in turn from every data centre.

    >>> entries = [EntryAddress('', n, str(n % 2)) for n in range(40)]
    >>> picked = select_addresses(entries, random.Random(1))
    >>> sorted(entry.data_center for entry in picked).count('0')
    8
    """
    centers: dict[str, list[EntryAddress]] = {}
    for address in addresses:
        centers.setdefault(address.data_center, []).append(address)
    rows = list(centers.values())
    source.shuffle(rows)
    for row in rows:
        source.shuffle(row)
    turns = chain.from_iterable(zip_longest(*rows))
    return list(filter(None, turns))[:MAX_ENTRIES]


def exclude_overloaded(
    live: Iterable[tuple[str, EntryAddress]],
    notes: OverloadTracker,
) -> list[EntryAddress]:
    """Return the addresses without the overloaded ones, unless most are."""
    known = list(live)
    calm = [address for name, address in known if not notes.is_overloaded(name)]
    if len(calm) * 2 >= len(known):
        return calm
    return [address for _, address in known]


def _usable(state: EntryState) -> list[EntryAddress]:
    """
    Return the best entries there are.

    Where no other is known this one is named, whatever its state: it serves
    what it gets.
    """
    live = [*_others(state, MemberState.LIVE), *_own(state)]
    if live:
        return exclude_overloaded(live, state.overload)
    last = _others(state, MemberState.SUSPECT)
    return [address for _, address in last] or [_own_address(state)]


def _others(
    state: EntryState,
    wanted: MemberState,
) -> list[tuple[str, EntryAddress]]:
    if state.control is None:
        return []
    members = state.control.table.members_in(wanted)
    return [(member.name, _address_of(member)) for member in members]


def _own(state: EntryState) -> list[tuple[str, EntryAddress]]:
    if state.lifecycle.state != 'ready':
        return []
    return [(state.settings.name, _own_address(state))]


def _own_address(state: EntryState) -> EntryAddress:
    settings = state.settings
    return EntryAddress(settings.host, state.port, settings.data_center)


def _address_of(member: Member) -> EntryAddress:
    callers = member.callers
    return EntryAddress(callers.host, callers.port, member.data_center)
