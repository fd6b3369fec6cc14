"""
The graceful stop of an entry.

An entry that is told to stop goes on serving until no caller that follows the
caller guide uses its address any more. Then it closes connections as they fall
idle, and waits for the last request, however long it takes.
"""

__all__ = ('drain_connections', 'serve_until_addresses_expire')

import asyncio

from zinniaturn.entry.protocol import CallerServer
from zinniaturn.entry.state import EntryState

_POLL_SECONDS = 0.02


async def serve_until_addresses_expire(state: EntryState) -> None:
    """
    Tell the others and serve while callers may still have the address.

    Another entry may name this one until it has heard, which is bounded by the
    lag; an answer that names it is used for its lifetime from then on.
    """
    if state.control is not None:
        state.control.exchange.announce()
    settings = state.settings
    await asyncio.sleep(
        settings.address_lag_seconds + settings.address_lifetime_seconds,
    )


async def drain_connections(state: EntryState, server: CallerServer) -> None:
    """
    Close callers' connections as they fall idle; return after the last.

    A connection counts until its last byte has gone to the caller.
    """
    state.is_closing = True
    while server.connections or state.requests_in_flight:
        for connection in server.protocols():
            connection.close_if_idle()
        await asyncio.sleep(_POLL_SECONDS)
