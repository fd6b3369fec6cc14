"""
Watches the paths to the pools: tells when one is lost and when it is back.

A pool that doesn't respond gets a few probes a second, by which the VM learns
that the path is back. What it has learnt of the servers meanwhile is forgotten
then, since it was the path's fault. Other VMs that ask about a pool get an
answer from a response of the last second; a VM without one probes a server.
"""

__all__ = ('PathWatch',)

from dataclasses import dataclass, field

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.searching import ServerSearch
from zinniaturn.gateway.state import GatewayState
from zinniaturn.reach.path_probes import PathProbes

_MOST_REFRESHED_POOLS = 8
_MOST_LOGGED_VMS = 8
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class PathWatch:
    """
    Probes and logs the pools whose servers don't respond to a VM.

    ``silent_since`` and ``lost_since`` hold since when the pools that were last
    logged as silent and as lost are.

    Work: each tick, the pools with servers that have not responded yet and
    those that other VMs ask about; at most 16 probes. Where new connections are
    refused, also the servers of such a pool.
    """

    state: GatewayState
    search: ServerSearch
    silent_since: dict[str, float] = field(default_factory=dict)
    lost_since: dict[str, float] = field(default_factory=dict)
    probes: PathProbes = field(init=False)

    def __post_init__(self) -> None:
        """Begin without probes."""
        self.probes = PathProbes(self.state.random_source)

    def tick(self) -> None:
        """Update what is known and send probes; call it ten times a second."""
        reach = self.state.reach
        reach.update()
        self._log_silent_pools()
        self._log_lost_paths()
        for pool in self.probes.due(reach, self.state.vms.max_size()):
            self.search.probe_any(pool)
        for doubtful in list(reach.asking_since)[:_MOST_REFRESHED_POOLS]:
            if reach.own.refuses_connections(doubtful):
                self.search.refresh_connections(doubtful)

    def _log_silent_pools(self) -> None:
        own = self.state.reach.own
        now = own.clock.monotonic()
        silent = frozenset(own.silent_pools())
        for pool in sorted(silent - self.silent_since.keys()):
            observation = own.of(pool)
            self.silent_since[pool] = observation.silent_since
            self.state.counters.events['pool_silent'] += 1
            self.state.event_log.write(
                LogEvent.POOL_SILENT,
                pool=pool,
                servers=own.sizes.get(pool, 0),
                tried=sorted(observation.tried),
                failed=sorted(observation.failed),
                unconnected=sorted(observation.unconnected),
                silent_ms=_milliseconds(observation.silent_seconds(now)),
            )
        for pool in sorted(self.silent_since.keys() - silent):
            since = self.silent_since.pop(pool)
            self.state.event_log.write(
                LogEvent.POOL_RESPONDS,
                pool=pool,
                silent_ms=_milliseconds(now - since),
            )

    def _log_lost_paths(self) -> None:
        reach = self.state.reach
        now = reach.clock.monotonic()
        for pool in sorted(reach.cut_off - self.lost_since.keys()):
            self.lost_since[pool] = now
            self.state.counters.events['path_lost'] += 1
            path = reach.path(pool)
            observation = reach.own.of(pool)
            self.state.event_log.write(
                LogEvent.PATH_LOST,
                pool=pool,
                tried=sorted(observation.tried),
                silent_ms=_milliseconds(observation.silent_seconds(now)),
                responds_to=path.witnesses[:_MOST_LOGGED_VMS],
                passes_on=bool(path.witnesses),
            )
        for pool in sorted(self.lost_since.keys() - reach.cut_off):
            since = self.lost_since.pop(pool)
            self.state.event_log.write(
                LogEvent.PATH_RESTORED,
                pool=pool,
                lost_ms=_milliseconds(now - since),
                passed_on=self.state.counters.events['request_passed_on'],
            )
            self._forget_failures(pool)

    def _forget_failures(self, pool: str) -> None:
        """Forget what the servers seemed to do while they were out of reach."""
        for candidate in self.state.pools.get(pool, {}).values():
            candidate.stats.forget_failures()


def _milliseconds(seconds: float) -> int:
    return round(seconds * _MS_PER_SECOND)
