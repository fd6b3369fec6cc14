"""
Backend servers of one service in one process, with a control address.

``POST /faults`` sets the faults of servers by name, ``GET /counts`` returns
what they counted. While the oracle is on, a request goes to the server that
is best by the true state at the instant of its arrival, whichever it was sent
to: the limit that no policy of an entry can see beyond.
"""

__all__ = ('BackendGroup', 'GroupCounts', 'GroupOrder')

import random
from collections import Counter

import msgspec
from aiohttp import web

from zinniaturn.standins.backend import BackendStandIn
from zinniaturn.standins.backend_faults import BackendFaults
from zinniaturn.standins.listening import Listening


class GroupOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Faults by server name, and whether the oracle is on."""

    faults: dict[str, BackendFaults] = {}
    oracle: bool = False


class GroupCounts(msgspec.Struct):
    """
    Counts over the servers of a group.

    ``executions`` are by request id, ``requests`` by server name.
    """

    executions: dict[str, int]
    cancelled: dict[str, int]
    requests: dict[str, int]
    measuring_total: dict[str, int]
    measuring_peak: dict[str, int]
    shed: int
    failed: int


class OracleBackend(BackendStandIn):
    """A server that hands its requests to the truly best of its group."""

    group: 'BackendGroup | None' = None

    async def run_queued(
        self,
        request: web.Request,
        body_bytes: int,
    ) -> web.Response:
        """Run the request at the server that the group names."""
        group = self.group
        server = self if group is None else group.best(self)
        return await BackendStandIn.run_queued(server, request, body_bytes)


class BackendGroup:
    """Servers by name; `start`, then the servers have their ports."""

    def __init__(self, servers: list[OracleBackend], seed: int) -> None:
        self.servers = {server.name: server for server in servers}
        self.source = random.Random(seed)
        self.oracle = False
        for server in servers:
            server.group = self
        application = web.Application()
        application.router.add_get('/servers', self.answer_servers)
        application.router.add_post('/faults', self.answer_order)
        application.router.add_get('/counts', self.answer_counts)
        self.listening = Listening(application)

    async def start(self, port: int = 0) -> None:
        """Listen with every server and with the control address."""
        for server in self.servers.values():
            await server.start()
        await self.listening.start(port)

    async def stop(self) -> None:
        """Stop at once."""
        for server in self.servers.values():
            await server.stop()
        await self.listening.stop()

    def best(self, asked: OracleBackend) -> OracleBackend:
        """Return the server with the least true load for its speed."""
        if not self.oracle:
            return asked
        usable = [
            server
            for server in self.servers.values()
            if not _is_unusable(server.faults)
        ]
        return min(usable or [asked], key=self._true_load)

    async def answer_servers(self, request: web.Request) -> web.Response:
        """Answer with the ports by server name."""
        ports = {name: server.port for name, server in self.servers.items()}
        return web.json_response(ports)

    async def answer_order(self, request: web.Request) -> web.Response:
        """Put faults into force."""
        order = msgspec.json.decode(await request.read(), type=GroupOrder)
        self.oracle = order.oracle
        for name, faults in order.faults.items():
            self.servers[name].apply(faults)
        return web.json_response({})

    async def answer_counts(self, request: web.Request) -> web.Response:
        """Answer with what the servers counted."""
        return web.Response(body=msgspec.json.encode(self.counts()))

    def counts(self) -> GroupCounts:
        """Return the counts of all servers together."""
        servers = self.servers.values()
        executions: Counter[str] = Counter()
        cancelled: Counter[str] = Counter()
        for server in servers:
            executions.update(server.executions)
            cancelled.update(server.cancelled)
        return GroupCounts(
            executions=dict(executions),
            cancelled=dict(cancelled),
            requests={each.name: each.executions.total() for each in servers},
            measuring_total={
                each.name: each.counts.measuring.total for each in servers
            },
            measuring_peak={
                each.name: each.counts.measuring.peak for each in servers
            },
            shed=sum(each.counts.shed for each in servers),
            failed=sum(each.counts.failed for each in servers),
        )

    def _true_load(self, server: OracleBackend) -> tuple[float, float]:
        waiting = max(0, server.busy + server.queued + 1 - server.slots)
        wait = (1 + waiting / server.slots) * server.faults.slowdown
        return wait, server.busy + self.source.random()


def _is_unusable(faults: BackendFaults) -> bool:
    return faults.fail_fast or faults.shed or faults.draining or faults.is_lost
