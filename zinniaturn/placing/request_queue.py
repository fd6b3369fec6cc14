"""
Requests that wait for a server, and which of them the next free slot serves.

This answers overload: more requests than slots, where an answer past the
objective is worth little and where servers that are nearly full serve less,
not more. So servers are filled only up to where they are quickest, the rest
waits here, and a free slot goes to the newest request that it can still serve
in time. Slow servers are left alone while others are quick, and late requests
get the slots of quick ones that nobody in time wants, the one with the least
time left first. Under pressure a quick server's last slot is kept for the next
request that comes in time. What can't be served before its deadline any more
is refused at once, and so is what is too much; one that is late and still
finds no server is told to come back after the worst.
"""

__all__ = ('Offer', 'QueuedRequest', 'RequestQueue')

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.placing.contention import PoolContention
from zinniaturn.placing.probing import Candidate
from zinniaturn.placing.recent_rate import RecentRate

_MARGIN = 1.1
_HOPELESS_SHARE = 0.9
_FEWEST_WAITING = 8
_PATIENT_ROUNDS = 5
_LATE_WAIT_SECONDS = 0.25
_LATE_RETURN_SECONDS = 0.35
_QUICK_FACTOR = 1.8


@dataclass(slots=True)
class Offer:
    """
    A server with room for a request, as of a fresh report.

    ``connection`` is whatever the caller of the queue needs to use the server.
    ``is_healthy`` is what the server says of itself, which may be false.
    ``is_last_slot`` says that it has room for no other request beside.
    """

    candidate: Candidate
    report: LoadReport
    connection: Any = None
    is_healthy: bool = True
    is_last_slot: bool = False


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """
    A request that waits; times are the loop's seconds.

    ``expect`` returns the seconds until the answer of a server that is
    offered. ``refused`` is set, with the seconds after which to come back,
    where the queue gives the request up.
    """

    service_seconds: float
    arrived_at: float
    objective_at: float
    deadline: float
    priority: int
    expect: Callable[[Offer], float]
    on_end: Callable[[], None]
    excluded: set[str] = field(default_factory=set)
    granted: Offer | None = None
    expected: float = 0
    retry_after_seconds: float | None = None
    offer_rounds: int = 0

    def is_late(self, now: float) -> bool:
        """Return whether not even an idle server would be in time."""
        return now + self.service_seconds > self.objective_at

    def late_seconds(self, now: float) -> float:
        """Return for how long the request has waited here while late."""
        return now - max(
            self.arrived_at, self.objective_at - self.service_seconds
        )


@dataclass(slots=True)
class RequestQueue:
    """The requests of one pool that wait at this VM."""

    waiting: list[QueuedRequest] = field(default_factory=list)
    grants: RecentRate = field(default_factory=RecentRate)
    contention: PoolContention = field(default_factory=PoolContention)

    def add(self, waiting: QueuedRequest) -> None:
        """Let a request wait for an offer."""
        self.waiting.append(waiting)

    def remove(self, waiting: QueuedRequest) -> None:
        """Take out a request whose caller does not wait any more."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)

    def match(self, offer: Offer, now: float) -> bool:
        """Give an offer to whom it serves best; return if one took it."""
        name = offer.candidate.name
        best: QueuedRequest | None = None
        best_rank: tuple[int, int, float] = (0, 0, 0)
        best_expected: float = 0
        for waiting in self.waiting:
            if name in waiting.excluded:
                continue
            expected = waiting.expect(offer)
            rank = self._rank(waiting, offer, expected, now)
            if rank is not None and (best is None or rank < best_rank):
                best, best_rank, best_expected = waiting, rank, expected
        if best is None:
            return False
        self.waiting.remove(best)
        self.grants.note(now)
        best.granted = offer
        best.expected = best_expected
        best.on_end()
        return True

    def has_request_in_time(self, now: float) -> bool:
        """Return whether a request waits that can still be in time."""
        return any(not each.is_late(now) for each in self.waiting)

    def note_offer_round(self, now: float) -> None:
        """Count a round of offers that those still waiting went through."""
        for waiting in self.waiting:
            self.note_unmatched(waiting, now)

    def note_unmatched(self, waiting: QueuedRequest, now: float) -> None:
        """Count a round of offers that brought a request nothing."""
        waiting.offer_rounds += 1
        if not waiting.is_late(now):
            self.contention.note_unserved(now)

    def reject_unservable(self, now: float) -> int:
        """Give up what can't be served any more; return how many."""
        refused = 0
        for waiting in tuple(self.waiting):
            if (
                now + waiting.service_seconds * _HOPELESS_SHARE
                > waiting.deadline
            ):
                self._refuse(waiting, waiting.service_seconds)
                refused += 1
            elif waiting.late_seconds(now) > _LATE_WAIT_SECONDS:
                self._refuse(waiting, _LATE_RETURN_SECONDS)
                refused += 1
        return refused + self._refuse_excess(now)

    def _rank(
        self,
        waiting: QueuedRequest,
        offer: Offer,
        expected: float,
        now: float,
    ) -> tuple[int, int, float] | None:
        """Return a request's place for an offer, or ``None`` for none."""
        if now + expected * _MARGIN <= waiting.objective_at:
            self.contention.note_fast_server(now)
            return waiting.priority, 0, -waiting.arrived_at
        if now + expected > waiting.deadline:
            return None
        is_quick = expected < waiting.service_seconds * _QUICK_FACTOR
        if (
            is_quick
            and offer.is_last_slot
            and self.contention.is_contended(now)
        ):
            return None
        if not is_quick and self.contention.has_fast_server(now):
            return None
        if waiting.is_late(now):
            return waiting.priority, 1, waiting.deadline
        if waiting.offer_rounds >= _PATIENT_ROUNDS:
            return waiting.priority, 2, waiting.deadline
        return None

    def _refuse_excess(self, now: float) -> int:
        """Give up what is more than can be served within a second."""
        rate = self.grants.per_second(now)
        excess = len(self.waiting) - max(_FEWEST_WAITING, int(rate))
        if excess <= 0:
            return 0
        last_first = sorted(
            self.waiting,
            key=lambda each: (
                -each.priority,
                not each.is_late(now),
                each.arrived_at,
            ),
        )
        for waiting in last_first[:excess]:
            self._refuse(waiting, excess / max(1.0, rate))
        return excess

    def _refuse(self, waiting: QueuedRequest, seconds: float) -> None:
        self.waiting.remove(waiting)
        waiting.retry_after_seconds = seconds
        waiting.on_end()
