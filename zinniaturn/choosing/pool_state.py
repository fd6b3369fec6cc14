"""The state that an entry keeps of one pool, and its choices of servers."""

__all__ = ('PoolState',)

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from zinniaturn.choosing.ejection import note_failure, note_success
from zinniaturn.choosing.estimates import PoolAverages
from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.choosing.latencies import RecentLatencies
from zinniaturn.choosing.policies import Policy
from zinniaturn.choosing.retry_budget import RetryBudget
from zinniaturn.choosing.server_state import (
    Completion,
    LoadReport,
    ServerState,
)
from zinniaturn.choosing.waiting import Ticket, WaitingQueue
from zinniaturn.clock import Clock
from zinniaturn.explain.decisions import (
    ServerEjected,
    ServerLeaving,
    ServerReadmitted,
)
from zinniaturn.explain.recorder import NullRecorder, Recorder
from zinniaturn.tables.domain import Pool

_HEDGE_QUANTILE = 0.95
# The retry-after time as a multiple of the expected wait in the queue.
_RETRY_AFTER_WAITS = 4
_SHORTEST_RETRY_AFTER_SECONDS = 0.5
_LONGEST_RETRY_AFTER_SECONDS = 5.0


@dataclass(slots=True)
class PoolState:
    """
    The servers of a pool, their state, and the policy that chooses among them.

    It does no input or output. The entry, tests and experiments use it in the
    same way: `admit` a ticket, and `release` its server once the exchange has
    ended.
    """

    pool: Pool
    policy: Policy
    clock: Clock
    random_source: random.Random
    servers: dict[str, ServerState] = field(default_factory=dict)
    recorder: Recorder = field(default_factory=NullRecorder)
    averages: PoolAverages = field(default_factory=PoolAverages)
    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    latencies: RecentLatencies = field(
        default_factory=lambda: RecentLatencies(_HEDGE_QUANTILE),
    )

    def __post_init__(self) -> None:
        """Set the servers of the pool."""
        self.update(self.pool)

    def update(self, pool: Pool) -> None:
        """
        Install a new revision of the pool, keeping the servers' state.

        A server that is added to a running pool begins with a slow start.
        """
        known = self.servers
        now = self.clock.monotonic()
        self.pool = pool
        self.servers = {}
        for server in pool.servers:
            state = known.get(server.name)
            if state is None:
                state = ServerState(server)
                state.slow_start_since = now if known else None
            if state.server.leaving != server.leaving:
                self._record_leaving(server.name, 'table', server.leaving)
            state.server = server
            self.servers[server.name] = state
        self._serve_queue()

    def admit(self, ticket: Ticket) -> None:
        """
        Assign a server to a ticket, or queue the ticket.

        Raises `RejectedError` if no server is available, if the queue is full,
        or if the deadline would pass before the response.
        """
        now = self.clock.monotonic()
        if ticket.deadline <= now:
            raise RejectedError('the deadline has passed', 'deadline-not-run')
        available = self._available(now)
        if not available:
            raise RejectedError(
                f'pool "{self.pool.name}" has no available server',
                'no-server',
                self.retry_after(),
            )
        if not self.waiting.first(now) and self._grant(ticket, available, now):
            return
        self._check_queue(ticket, now)
        self.waiting.add(ticket, now)
        self._serve_queue()

    def hedge(self, ticket: Ticket) -> bool:
        """
        Assign a server to the ticket of a hedged request, without queueing.

        Return whether there is one that is not in ``exclude`` and whether the
        retry budget allows it.
        """
        now = self.clock.monotonic()
        others = [
            state
            for state in self._available(now)
            if state.server.name not in ticket.exclude and state.has_room(now)
        ]
        if (
            ticket.deadline <= now
            or not others
            or not self.retry_budget.try_withdraw()
        ):
            return False
        return self._grant(ticket, others, now)

    def abandon(self, ticket: Ticket) -> None:
        """Withdraw a ticket that is queued or whose server was not used."""
        self.waiting.remove(ticket)
        if ticket.server is not None:
            self.release(
                ticket.server,
                Completion(False, 0, cancelled=True),
            )

    def release(self, state: ServerState, completion: Completion) -> None:
        """End a request, update the estimates and serve the queue."""
        now = self.clock.monotonic()
        state.in_flight -= 1
        if completion.report is not None:
            state.note_report(completion.report, now)
        if completion.leaving:
            if not state.leaving:
                self._record_leaving(state.server.name, 'reply', True)
            state.leaving = True
        if completion.timed_out:
            state.limit.note_timeout(state.slots)
        if completion.cancelled:
            self.averages.add_cancelled(state, completion, now)
        else:
            self._note_completion(state, completion, now)
        self._serve_queue()

    def note_measurement(
        self,
        server: str,
        report: LoadReport,
        now: float,
    ) -> None:
        """Store the load report of a measuring request."""
        state = self.servers.get(server)
        if state is not None and now >= state.reported_at:
            state.note_report(report, now)
            self._serve_queue()

    def note_failed_measurement(self, server: str) -> None:
        """Count a measuring request without a report as a failure."""
        state = self.servers.get(server)
        if state is not None:
            now = self.clock.monotonic()
            note_failure(state, self.servers.values(), now)

    def servers_to_measure(self, now: float) -> list[ServerState]:
        """
        Return the servers whose last report is too old for the policy.

        A busy server reports its load with its responses at no extra cost;
        only servers without a recent response need measuring requests.
        """
        oldest = now - self.policy.report_lifetime_seconds
        return [
            state
            for state in self.servers.values()
            if state.reported_at <= oldest
            and not (state.leaving or state.server.leaving)
        ]

    def note_accepting_again(self, server: str) -> None:
        """Use a server again that was leaving, with a slow start."""
        state = self.servers.get(server)
        if state is not None and state.leaving:
            state.leaving = False
            state.slow_start_since = self.clock.monotonic()
            self._record_leaving(server, 'health', leaving=False)
            self._serve_queue()

    def hedge_delay(self) -> float | None:
        """Return the seconds after which to hedge, ``None`` if not known."""
        return self.latencies.threshold

    def retry_after(self) -> float:
        """Return the seconds after which a caller should retry, with jitter."""
        seconds = min(
            _LONGEST_RETRY_AFTER_SECONDS,
            max(
                _SHORTEST_RETRY_AFTER_SECONDS,
                self._expected_wait() * _RETRY_AFTER_WAITS,
            ),
        )
        return seconds * self.random_source.uniform(0.5, 1.5)

    def _note_completion(
        self,
        state: ServerState,
        completion: Completion,
        now: float,
    ) -> None:
        if completion.shed:
            state.limit.update(state.slots * 2, state.slots)
            return
        if completion.succeeded:
            self._note_success(state)
            state.served_at = now
            self.averages.add_success(state, completion)
            self.latencies.add(completion.latency_seconds)
            self.retry_budget.deposit(self.pool.retry_share)
            return
        if note_failure(state, self.servers.values(), now):
            self.recorder.record(
                ServerEjected(
                    self.pool.name,
                    state.server.name,
                    state.ejected_until - now,
                    f'{state.consecutive_failures + 1} failures in a row',
                ),
            )

    def _note_success(self, state: ServerState) -> None:
        if state.ejections:
            self.recorder.record(
                ServerReadmitted(self.pool.name, state.server.name),
            )
        note_success(state)

    def _record_leaving(self, server: str, witness: str, leaving: bool) -> None:
        self.recorder.record(
            ServerLeaving(self.pool.name, server, witness, leaving),
        )

    def _available(self, now: float) -> list[ServerState]:
        return [
            state for state in self.servers.values() if state.is_available(now)
        ]

    def _grant(
        self,
        ticket: Ticket,
        available: Sequence[ServerState],
        now: float,
    ) -> bool:
        candidates = available
        if ticket.exclude:
            untried = [
                state
                for state in available
                if state.server.name not in ticket.exclude
            ]
            candidates = untried or available
        candidates = [state for state in candidates if state.has_room(now)]
        if not candidates:
            return False
        state = self.policy.choose(candidates, self.averages, now)
        state.in_flight += 1
        state.sent_since_report += 1
        state.sent_at = now
        ticket.server = state
        return True

    def _serve_queue(self) -> None:
        """
        Assign servers to the queued tickets in their order.

        A ticket that excludes servers does not block the tickets behind it.
        """
        now = self.clock.monotonic()
        available = self._available(now) if self.waiting.first(now) else []
        for ticket in self.waiting.unexpired(now):
            if self._grant(ticket, available, now):
                self.waiting.remove(ticket)
                if ticket.on_granted is not None:
                    ticket.on_granted()
            elif not ticket.exclude:
                return

    def _check_queue(self, ticket: Ticket, now: float) -> None:
        if len(self.waiting) >= self.pool.queue_limit:
            raise RejectedError(
                f'{len(self.waiting)} requests wait for "{self.pool.name}"',
                'queue-full',
                self.retry_after(),
            )
        expected = self._expected_wait() + self.averages.latency_seconds
        if now + expected > ticket.deadline:
            raise RejectedError(
                f'the wait of {expected:.1f} s would pass the deadline',
                'deadline-unreachable',
                self.retry_after(),
            )

    def _expected_wait(self) -> float:
        in_flight = sum(state.in_flight for state in self.servers.values())
        ahead = (len(self.waiting) + 1) / max(1, in_flight)
        return self.averages.latency_seconds * ahead
