"""
Marks backend servers as leaving, from the VM list and from peers.

Three other sources are handled where they occur: the table, a server's reply
header and refused connections. This component adds the platform's VM list and
gossip between entries. An entry reports the servers that it knows directly to
be leaving, so that its peers also learn of servers to which they have sent no
request.
"""

__all__ = ('LEAVING_TOPIC', 'LeavingServerTracker')

import asyncio
from collections.abc import Iterator

import msgspec

from zinniaturn.choosing.server_state import ServerState
from zinniaturn.entry.state import EntryState

LEAVING_TOPIC = 'leaving-servers'

_CHECK_INTERVAL_SECONDS = 0.25
_MAX_SERVERS_PER_NOTE = 256

ServerKey = tuple[str, str]


class LeavingServerTracker:
    """Marks servers as leaving, repeatedly while a source reports them."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.reported_by_peers: set[ServerKey] = set()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def make_note(self) -> bytes:
        """Return the gossip payload: leaving servers not learned from peers."""
        known_directly = [
            key
            for key, server in self._servers()
            if server.leaving and key not in self.reported_by_peers
        ]
        return msgspec.json.encode(known_directly[:_MAX_SERVERS_PER_NOTE])

    def receive_note(self, sender: str, payload: bytes) -> None:
        """Apply the gossip payload of a peer; ignore a malformed one."""
        try:
            reported = msgspec.json.decode(payload, type=list[ServerKey])
        except msgspec.DecodeError:
            return
        for pool, name in reported[:_MAX_SERVERS_PER_NOTE]:
            self._mark_reported(pool, name)

    def mark_from_vm_list(self) -> None:
        """Mark the servers whose VMs are leaving according to the VM list."""
        control = self.state.control
        if control is None:
            return
        for (_, name), server in self._servers():
            if control.is_leaving_vm(name):
                self._mark(server)

    def _mark_reported(self, pool: str, name: str) -> None:
        pool_state = self.state.pools.get(pool)
        if pool_state is None or name not in pool_state.servers:
            return
        server = pool_state.servers[name]
        if not server.leaving:
            self.reported_by_peers.add((pool, name))
        if (pool, name) in self.reported_by_peers:
            self._mark(server)

    def _mark(self, server: ServerState) -> None:
        """Mark a server; a passed health check clears the mark."""
        server.leaving = True

    def _servers(self) -> Iterator[tuple[ServerKey, ServerState]]:
        for pool in self.state.pools.values():
            for name, server in pool.servers.items():
                yield (pool.pool.name, name), server

    async def _run(self) -> None:
        while True:
            self.mark_from_vm_list()
            self._forget_available()
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    def _forget_available(self) -> None:
        available = {
            key for key, server in self._servers() if not server.leaving
        }
        self.reported_by_peers -= available
