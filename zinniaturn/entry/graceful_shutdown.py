"""
Graceful shutdown of an entry.

A stopping entry keeps serving until its address has expired at every caller
that follows the caller guide. It then closes connections as they become idle,
and waits for the last request without a time limit.
"""

__all__ = ('drain_connections', 'serve_until_addresses_expire')

import asyncio

from zinniaturn.entry.protocol import CallerServer
from zinniaturn.entry.state import EntryState

_POLL_INTERVAL_SECONDS = 0.02


async def serve_until_addresses_expire(state: EntryState) -> None:
    """
    Announce the shutdown and wait until no caller has the address any more.

    Another entry may return this address to callers until it has received the
    announcement, at most the address lag. Callers then use that response for
    its lifetime.
    """
    if state.control is not None:
        state.control.gossip.gossip_now()
    settings = state.settings
    await asyncio.sleep(
        settings.address_lag_seconds + settings.address_lifetime_seconds,
    )


async def drain_connections(state: EntryState, server: CallerServer) -> None:
    """
    Close callers' connections as they become idle; return after the last.

    A connection counts as open until its last byte was sent to the caller.
    """
    state.is_closing = True
    while server.connections or state.requests_in_flight:
        for connection in server.protocols():
            connection.close_if_idle()
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
