"""The answer to "which addresses?"."""

__all__ = ('AddressesAnswer', 'answer_addresses')

import msgspec
from aiohttp import web

from zinniaturn.entry.state import EntryState


class EntryAddress(msgspec.Struct):
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
    settings = state.settings
    answer = AddressesAnswer(
        entries=[
            EntryAddress(settings.host, state.port, settings.data_center),
        ],
        lifetime_seconds=settings.address_lifetime_seconds,
    )
    return web.Response(
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )
