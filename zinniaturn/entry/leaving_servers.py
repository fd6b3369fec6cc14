"""
Backend servers that are leaving, from all who know of it.

The table, a server's own reply header and refused connections act where they
are met. This part adds the platform's VM list and the word of peers: what one
entry has learnt at first hand it tells the others, so that each learns of a
server to which it has sent nothing.
"""

__all__ = ('LEAVING_TOPIC', 'LeavingServerTracker')

import asyncio
from collections.abc import Iterator

import msgspec

from zinniaturn.choosing.server_state import ServerState
from zinniaturn.entry.state import EntryState

LEAVING_TOPIC = 'leaving-servers'

_PERIOD_SECONDS = 0.25
_MAX_TOLD = 256

Key = tuple[str, str]


class LeavingServerTracker:
    """Marks servers as leaving, again and again while their source says so."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.told: set[Key] = set()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the looking."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def make_note(self) -> bytes:
        """Return the note for peers: what is known at first hand."""
        known = [
            key
            for key, server in self._servers()
            if server.leaving and key not in self.told
        ]
        return msgspec.json.encode(known[:_MAX_TOLD])

    def receive_note(self, sender: str, payload: bytes) -> None:
        """Take in a peer's note; one that cannot be read says nothing."""
        try:
            told = msgspec.json.decode(payload, type=list[Key])
        except msgspec.DecodeError:
            return
        for pool, name in told[:_MAX_TOLD]:
            self._mark_told(pool, name)

    def look(self) -> None:
        """Mark the servers whose VMs are leaving by the VM list."""
        control = self.state.control
        if control is None:
            return
        for (_, name), server in self._servers():
            if control.is_leaving_vm(name):
                self._mark(server)

    def _mark_told(self, pool: str, name: str) -> None:
        known = self.state.pools.get(pool)
        if known is None or name not in known.servers:
            return
        server = known.servers[name]
        if not server.leaving:
            self.told.add((pool, name))
        if (pool, name) in self.told:
            self._mark(server)

    def _mark(self, server: ServerState) -> None:
        """Mark a server until its health says that it is back."""
        server.leaving = True

    def _servers(self) -> Iterator[tuple[Key, ServerState]]:
        for pool in self.state.pools.values():
            for name, server in pool.servers.items():
                yield (pool.pool.name, name), server

    async def _run(self) -> None:
        while True:
            self.look()
            self._forget_returned()
            await asyncio.sleep(_PERIOD_SECONDS)

    def _forget_returned(self) -> None:
        returned = {
            key for key, server in self._servers() if not server.leaving
        }
        self.told -= returned
