"""The state that the components of an entry share."""

__all__ = ('EntryState',)

import random
from dataclasses import dataclass, field

from zinniaturn.choosing import PoolState, policy_for_pool
from zinniaturn.clock import Clock
from zinniaturn.configuration import InstalledTables
from zinniaturn.entry.caller_connections import CallerConnections
from zinniaturn.entry.control_plane import ControlPlane
from zinniaturn.entry.lifecycle import Lifecycle
from zinniaturn.entry.metrics import EntryMetrics
from zinniaturn.entry.overload import OverloadTracker
from zinniaturn.explain import DecisionLog
from zinniaturn.explain.decisions import RevisionInstalled
from zinniaturn.forwarding import ConnectionPool
from zinniaturn.settings import EntrySettings
from zinniaturn.tables import RouteMatcher, Tables


@dataclass(slots=True)
class EntryState:
    """
    Shared state of an entry: tables, pools, connections and counters.

    ``port`` and ``admin_port`` are the ports that the entry listens on.
    ``is_closing`` is true while a shutdown closes callers' connections.
    """

    settings: EntrySettings
    clock: Clock
    random_source: random.Random
    installed: InstalledTables = field(default_factory=InstalledTables)
    lifecycle: Lifecycle = field(default_factory=Lifecycle)
    connections: ConnectionPool = field(default_factory=ConnectionPool)
    metrics: EntryMetrics = field(default_factory=EntryMetrics)
    pools: dict[str, PoolState] = field(default_factory=dict)
    matcher: RouteMatcher = field(default_factory=RouteMatcher)
    recorder: DecisionLog = field(default_factory=DecisionLog)
    requests_in_flight: int = 0
    is_closing: bool = False
    port: int = 0
    admin_port: int = 0
    control: ControlPlane | None = None
    callers: CallerConnections | None = None
    overload: OverloadTracker = field(init=False)

    def __post_init__(self) -> None:
        """Create the overload tracker, which needs the name and the clock."""
        self.overload = OverloadTracker(self.settings.name, self.clock)

    def install_pools(self, tables: Tables) -> None:
        """Update the routes and pools from newly installed tables."""
        self.matcher = RouteMatcher(tables.routes.values())
        for name in list(self.pools):
            if name not in tables.pools:
                self.pools.pop(name)
        for name, pool in tables.pools.items():
            pool_state = self.pools.get(name)
            if pool_state is None:
                policy = policy_for_pool(
                    self.settings.policy,
                    name,
                    self.random_source,
                )
                self.pools[name] = PoolState(
                    pool,
                    policy,
                    self.clock,
                    self.random_source,
                    recorder=self.recorder,
                )
            else:
                pool_state.update(pool)
            self.metrics.measuring_budget.set(
                {'pool': name},
                pool.measuring_budget,
            )
        self.recorder.record(RevisionInstalled(tables.revision))
        self.lifecycle.tables_installed()
