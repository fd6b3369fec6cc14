"""What an entry knows of one pool, and its choices there."""

__all__ = ('PoolState',)

from collections.abc import Container

from zinniaturn.choosing.exceptions import RefusedError
from zinniaturn.choosing.policies import Policy
from zinniaturn.choosing.server_state import Completion, ServerState
from zinniaturn.clock import Clock
from zinniaturn.tables.domain import Pool

_EJECT_AFTER_FAILURES = 5
_EJECT_SECONDS = 2.0
_MAX_EJECTED_SHARE = 0.5


class PoolState:
    """The servers of a pool, their state and the policy over them."""

    def __init__(self, pool: Pool, policy: Policy, clock: Clock) -> None:
        self.pool = pool
        self.policy = policy
        self.clock = clock
        self.servers: dict[str, ServerState] = {}
        self.update(pool)

    def update(self, pool: Pool) -> None:
        """Take over a new revision of the pool, keeping what is known."""
        known = self.servers
        self.pool = pool
        self.servers = {}
        for server in pool.servers:
            state = known.get(server.name) or ServerState(server)
            state.server = server
            self.servers[server.name] = state

    def acquire(self, exclude: Container[str] = ()) -> ServerState:
        """
        Choose a server and count a request on it.

        Servers in ``exclude`` are used only where no other is left. Raises
        `RefusedError` where there is none at all.
        """
        now = self.clock.monotonic()
        available = [
            state for state in self.servers.values() if state.is_available(now)
        ]
        preferred = [
            state for state in available if state.server.name not in exclude
        ]
        candidates = preferred or available
        if not candidates:
            raise RefusedError(
                f'pool "{self.pool.name}" has no available server',
                'no-server',
            )
        state = self.policy.choose(candidates, now)
        state.in_flight += 1
        return state

    def release(self, state: ServerState, completion: Completion) -> None:
        """Count a request as ended and learn from it."""
        now = self.clock.monotonic()
        state.in_flight -= 1
        if completion.report is not None:
            state.report = completion.report
            state.reported_at = now
        if completion.succeeded:
            state.consecutive_failures = 0
            return
        state.consecutive_failures += 1
        if state.consecutive_failures >= _EJECT_AFTER_FAILURES:
            self._eject(state, now)

    def _eject(self, state: ServerState, now: float) -> None:
        ejected = sum(
            other.ejected_until > now for other in self.servers.values()
        )
        if ejected + 1 <= len(self.servers) * _MAX_EJECTED_SHARE:
            state.ejected_until = now + _EJECT_SECONDS
            state.consecutive_failures = 0
