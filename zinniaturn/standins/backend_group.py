"""
Simulated backend servers of one service in one process, with a control port.

``POST /faults`` sets faults by server name, ``GET /counts`` returns the
counters. While the oracle is on, a request runs on the server that is best by
the true state at the time of its arrival, whichever server it was sent to.
No policy of an entry can do better, as an entry never sees the true state.
"""

__all__ = ('BackendGroup', 'GroupCounts', 'GroupFaults')

import random
from collections import Counter

import msgspec
from aiohttp import web

from zinniaturn.standins.backend import BackendStandIn
from zinniaturn.standins.backend_faults import BackendFaults
from zinniaturn.standins.loopback import LoopbackService


class GroupFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Control request: faults by server name, and whether the oracle is on."""

    faults: dict[str, BackendFaults] = {}
    oracle: bool = False


class GroupCounts(msgspec.Struct):
    """
    Counters of all servers of a group.

    ``executions`` and ``cancelled`` are by request id, ``requests`` and the
    counters of measuring requests by server name.
    """

    executions: dict[str, int]
    cancelled: dict[str, int]
    requests: dict[str, int]
    measuring_total: dict[str, int]
    measuring_peak: dict[str, int]
    shed: int
    failed: int


class OracleBackend(BackendStandIn):
    """A server that runs its requests on the best server of its group."""

    group: 'BackendGroup | None' = None

    async def run_queued(
        self,
        request: web.Request,
        body_bytes: int,
    ) -> web.Response:
        """Run the request on the server that the group chooses."""
        group = self.group
        server = self if group is None else group.choose_server(self)
        return await BackendStandIn.run_queued(server, request, body_bytes)


class BackendGroup:
    """Servers by name with a control port; `start` assigns the ports."""

    def __init__(self, servers: list[OracleBackend], seed: int) -> None:
        self.servers = {server.name: server for server in servers}
        self.random_source = random.Random(seed)
        self.oracle_enabled = False
        for server in servers:
            server.group = self
        application = web.Application()
        application.router.add_get('/servers', self.handle_servers)
        application.router.add_post('/faults', self.handle_faults)
        application.router.add_get('/counts', self.handle_counts)
        self.loopback_service = LoopbackService(application)

    async def start(self, port: int = 0) -> None:
        """Start every server, then the control port."""
        for server in self.servers.values():
            await server.start()
        await self.loopback_service.start(port)

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        for server in self.servers.values():
            await server.stop()
        await self.loopback_service.stop()

    def choose_server(self, addressed_server: OracleBackend) -> OracleBackend:
        """
        Return the server that the request runs on.

        With the oracle on it is the usable server with the shortest expected
        wait, otherwise the one that the request was sent to.
        """
        if not self.oracle_enabled:
            return addressed_server
        usable_servers = [
            server
            for server in self.servers.values()
            if not _is_unusable(server.faults)
        ]
        return min(
            usable_servers or [addressed_server], key=self._expected_wait
        )

    async def handle_servers(self, request: web.Request) -> web.Response:
        """Return the ports by server name."""
        ports = {name: server.port for name, server in self.servers.items()}
        return web.json_response(ports)

    async def handle_faults(self, request: web.Request) -> web.Response:
        """Apply the faults and the oracle setting of the request."""
        group_faults = msgspec.json.decode(
            await request.read(), type=GroupFaults
        )
        self.oracle_enabled = group_faults.oracle
        for name, faults in group_faults.faults.items():
            self.servers[name].apply_faults(faults)
        return web.json_response({})

    async def handle_counts(self, request: web.Request) -> web.Response:
        """Return the counters of all servers."""
        return web.Response(body=msgspec.json.encode(self.counts()))

    def counts(self) -> GroupCounts:
        """Collect the counters of all servers."""
        servers = self.servers.values()
        executions: Counter[str] = Counter()
        cancelled: Counter[str] = Counter()
        for stand_in in servers:
            executions.update(stand_in.executions)
            cancelled.update(stand_in.cancelled)
        return GroupCounts(
            executions=dict(executions),
            cancelled=dict(cancelled),
            requests={
                server.name: server.executions.total() for server in servers
            },
            measuring_total={
                server.name: server.counts.measuring.total for server in servers
            },
            measuring_peak={
                server.name: server.counts.measuring.peak for server in servers
            },
            shed=sum(server.counts.shed for server in servers),
            failed=sum(server.counts.failed for server in servers),
        )

    def _expected_wait(self, server: OracleBackend) -> tuple[float, float]:
        excess_requests = max(0, server.busy + server.queued + 1 - server.slots)
        relative_wait = (
            1 + excess_requests / server.slots
        ) * server.faults.slowdown
        return relative_wait, server.busy + self.random_source.random()


def _is_unusable(faults: BackendFaults) -> bool:
    return faults.fail_fast or faults.shed or faults.draining or faults.is_lost
