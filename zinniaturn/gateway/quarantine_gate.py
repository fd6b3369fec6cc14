"""
Keeps requests that end servers away from them.

A held request is rejected, at once and as not run, wherever it is: as it comes,
as it leaves a queue, before a retry, or as another VM passes it on. Of a
suspected one a VM runs one copy at a time, without hedges and retries. All
others pass without any work while no server has crashed.
"""

__all__ = ('QuarantineGate', 'QuarantinePass')

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import TracebackType

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.retry_after import RetryAfterJitter
from zinniaturn.quarantine.request_key import RequestKey
from zinniaturn.quarantine.separation import preferred_servers
from zinniaturn.quarantine.table import Ruling
from zinniaturn.quarantine.trials import TURN_SECONDS

_UNDECIDED_PAUSE_SECONDS = 0.05


@dataclass(slots=True)
class QuarantineGate:
    """
    Applies the rulings of the quarantine table to this VM's requests.

    ``running`` holds the pass of the copy that runs alone, by request, and
    ``suspects_at`` counts by server the requests in flight that a crash counts
    for.
    """

    state: GatewayState
    retry_after_jitter: RetryAfterJitter
    running: dict[RequestKey, 'QuarantinePass'] = field(default_factory=dict)
    suspects_at: Counter[str] = field(default_factory=Counter)

    def ruling(self, context: RequestContext) -> Ruling:
        """Return what to do with a request now."""
        quarantine = self.state.quarantine
        if quarantine.is_empty:
            return Ruling.RUN
        return quarantine.ruling(context.key)

    def may_repeat(self, context: RequestContext) -> bool:
        """Return whether a request may be retried or hedged."""
        return self.ruling(context) is Ruling.RUN

    def note_completed(self, context: RequestContext) -> None:
        """Count a run that did not end its server."""
        if not self.state.quarantine.is_empty:
            self.state.gossip.crash_news.report_completion(context.key)

    @contextmanager
    def attempt(self, context: RequestContext, server: str) -> Iterator[None]:
        """Count a request while it is at a server, if a crash counts for it."""
        is_counted = self._is_accused(context)
        self.suspects_at[server] += is_counted
        try:
            yield
        finally:
            self.suspects_at[server] -= is_counted
            if not self.suspects_at[server]:
                self.suspects_at.pop(server)

    def avoid_suspects(self, context: RequestContext) -> None:
        """
        Let a request that a crash counts for avoid servers with another one.

        Else innocent requests would share the guilty one's next crash, too. A
        suspected one gets servers of its own.
        """
        if not self._is_accused(context):
            return
        context.tried_servers.update(self.suspects_at)
        if self.ruling(context) is Ruling.RUN_ALONE:
            untried = self._running_servers(context) - context.tried_servers
            preferred = preferred_servers(context.key, untried)
            context.tried_servers.update(untried.difference(preferred))

    def reject(self, context: RequestContext) -> RejectedError:
        """Return the rejection of a held request, with a time to return."""
        quarantine = self.state.quarantine
        standing = quarantine.standing(context.key)
        self.state.counters.events['request_held_back'] += 1
        seconds = TURN_SECONDS
        crashes = 0
        if standing is not None:
            left = standing.held_until - quarantine.clock.monotonic()
            seconds = max(seconds, left)
            crashes = len(standing.moments)
        return RejectedError(
            f'the request has ended {crashes} servers that ran it',
            'request-held',
            self.retry_after_jitter.seconds(seconds),
        )

    def _running_servers(self, context: RequestContext) -> set[str]:
        """Return the servers of a request's pool that are known to run."""
        candidates = self.state.pools.get(context.pool.name, {})
        ended = self.state.quarantine.records.keys()
        return {
            name
            for name, candidate in candidates.items()
            if not candidate.registered.server.leaving
            and not candidate.stats.unanswered
            and (name, candidate.registered.started_ms) not in ended
        }

    def _is_accused(self, context: RequestContext) -> bool:
        quarantine = self.state.quarantine
        if quarantine.is_empty:
            return False
        return quarantine.standing(context.key) is not None


@dataclass(slots=True)
class QuarantinePass:
    """
    One request's way through the gate; a context manager.

    ``waiters`` are resolved when the request has ended.
    """

    gate: QuarantineGate
    context: RequestContext
    waiters: list['asyncio.Future[None]'] = field(default_factory=list)

    def __enter__(self) -> 'QuarantinePass':
        """Return the pass itself."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Let the next copy run."""
        if self._is_running():
            self.gate.running.pop(self.context.key)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def obtain(self) -> None:
        """Wait until the request may run; raises `RejectedError` if held."""
        while not self.is_valid():
            match self.gate.ruling(self.context):
                case Ruling.REJECT:
                    raise self.gate.reject(self.context)
                case Ruling.WAIT:
                    await asyncio.sleep(_UNDECIDED_PAUSE_SECONDS)
                case _:
                    await self._take_turn()

    def is_valid(self) -> bool:
        """Return whether the request may run now."""
        match self.gate.ruling(self.context):
            case Ruling.RUN:
                return True
            case Ruling.RUN_ALONE:
                return self._is_running()
            case _:
                return False

    async def wait_until_ended(self) -> None:
        """Wait for the end of this request."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        await waiter

    async def _take_turn(self) -> None:
        """Become the copy that runs alone, or wait for the one that does."""
        other = self.gate.running.get(self.context.key)
        if other is None:
            self.gate.running[self.context.key] = self
        else:
            await other.wait_until_ended()

    def _is_running(self) -> bool:
        is_known = self.context.request_key is not None
        return is_known and self.gate.running.get(self.context.key) is self
