"""Gauges that are computed when the metrics are scraped."""

__all__ = ('update_gauges',)

from collections import Counter

from zinniaturn.choosing import PoolState
from zinniaturn.entry.metrics import EntryMetrics
from zinniaturn.entry.state import EntryState
from zinniaturn.membership.failure_detector import MemberState

_SERVER_STATES = ('available', 'ejected', 'leaving')


def update_gauges(state: EntryState) -> None:
    """Update the gauges from the entry's state."""
    metrics = state.metrics
    metrics.revision.set({}, state.installed.tables.revision)
    metrics.ready.set({}, int(state.lifecycle.state == 'ready'))
    metrics.in_flight.set({}, state.requests_in_flight)
    if state.callers is not None:
        metrics.connections.set({}, len(state.callers.open))
        for limit, count in state.callers.closed.items():
            metrics.closed_connections.set({'limit': limit.value}, count)
    now = state.clock.monotonic()
    for pool in state.pools.values():
        _update_pool(metrics, pool, now)
    if state.control is not None:
        age = state.control.confirmed_age()
        if age is not None:
            metrics.confirmed_age.set({}, age)
        for member_state in MemberState:
            members = state.control.table.members_in(member_state)
            metrics.peers.set({'state': member_state.value}, len(members))


def _update_pool(metrics: EntryMetrics, pool: PoolState, now: float) -> None:
    name = pool.pool.name
    metrics.waiting_requests.set({'pool': name}, len(pool.waiting))
    counts = Counter(_state_of(pool, server, now) for server in pool.servers)
    for state_name in _SERVER_STATES:
        metrics.servers.set(
            {'pool': name, 'state': state_name}, counts[state_name]
        )


def _state_of(pool: PoolState, server: str, now: float) -> str:
    server_state = pool.servers[server]
    if server_state.leaving or server_state.server.leaving:
        return 'leaving'
    return 'ejected' if server_state.ejected_until > now else 'available'
