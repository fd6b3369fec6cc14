"""
The queue of requests that wait for a server, and how free slots are assigned.

Under overload there are more requests than slots, a response past the
objective is worth little, and servers that are nearly full have a lower
throughput. So servers are filled only up to their best concurrency, and the
other requests wait here. A free slot goes to the most urgent priority, and
there to the newest request that the server can still serve in time.

A slot that no such request can use goes to a late request, the one with the
earliest deadline first, and then to one that has found no server for several
rounds. Slow servers are not used for these if a fast server had room recently.
While requests that can be in time have to wait, the last slot of a fast server
is kept for the next of them.

Requests that cannot be served before their deadline any more are rejected at
once, and so are those that are too many to be served within a second. A late
request that finds no server within a quarter of a second is rejected with a
retry-after time that lets the worst of the overload pass.
"""

__all__ = ('Offer', 'QueuedRequest', 'RequestQueue')

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from zinniaturn.choosing.reports import LoadReport
from zinniaturn.placing.candidates import Candidate
from zinniaturn.placing.contention import PoolContention
from zinniaturn.placing.recent_rate import RecentRate

# Multiple of the expected latency that must fit before the objective.
_LATENCY_MARGIN_FACTOR = 1.1
# Share of the service time that must fit before the deadline.
_NEEDED_SERVICE_SHARE = 0.9
# The queue may always hold this many requests.
_MIN_QUEUE_LIMIT = 8
# After this many rounds without a server, any server is used.
_ROUNDS_BEFORE_ANY_SERVER = 5
_MAX_LATE_WAIT_SECONDS = 0.25
_LATE_RETRY_AFTER_SECONDS = 0.35
# Multiple of the service time below which a server counts as fast.
_FAST_LATENCY_FACTOR = 1.8


@dataclass(slots=True)
class Offer:
    """
    A server with room for a request, by a fresh load report.

    ``connection`` is whatever the caller of the queue needs to use the server.
    ``is_healthy`` is the server's own health status, which may be wrong.
    ``is_last_slot`` is set if the server has room for only one request.
    """

    candidate: Candidate
    report: LoadReport
    connection: Any = None
    is_healthy: bool = True
    is_last_slot: bool = False


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """
    A request that waits for a server; times are those of the event loop.

    ``service_seconds`` is its expected service time on an idle server.
    ``expect`` returns the expected seconds until the response of an offered
    server. ``on_end`` is called once ``granted`` is set to an offer, with its
    ``expected`` seconds, or ``retry_after_seconds`` to the rejection's time.
    A granted request may be sent until ``send_before`` by the boot clock.
    A lower ``priority`` is more urgent. Servers in ``excluded`` are not used.
    ``is_relayed`` is set for a request that another VM has passed on; the own
    callers' requests of its priority come first. ``is_withdrawn`` is set if it
    has left the queue without a decision.
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
    send_before: float = float('inf')
    retry_after_seconds: float | None = None
    offer_rounds: int = 0
    is_relayed: bool = False
    is_withdrawn: bool = False

    @property
    def is_undecided(self) -> bool:
        """Return whether the request still waits."""
        is_rejected = self.retry_after_seconds is not None
        return self.granted is None and not (is_rejected or self.is_withdrawn)

    def is_late(self, now: float) -> bool:
        """Return whether even an idle server would miss the objective."""
        return now + self.service_seconds > self.objective_at

    def is_hopeless(self, now: float) -> bool:
        """Return whether its service does not fit before its deadline."""
        needed_seconds = self.service_seconds * _NEEDED_SERVICE_SHARE
        return now + needed_seconds > self.deadline

    def late_seconds(self, now: float) -> float:
        """Return for how long the request has waited while late."""
        return now - max(
            self.arrived_at, self.objective_at - self.service_seconds
        )


@dataclass(slots=True)
class RequestQueue:
    """The requests to one pool that wait at this VM."""

    waiting: list[QueuedRequest] = field(default_factory=list)
    grants: RecentRate = field(default_factory=RecentRate)
    contention: PoolContention = field(default_factory=PoolContention)

    def add(self, request: QueuedRequest) -> None:
        """Add a request that waits for an offer."""
        self.waiting.append(request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request whose caller has stopped waiting."""
        if request in self.waiting:
            self.waiting.remove(request)

    def match(self, offer: Offer, now: float) -> bool:
        """Assign an offer to the best request; return whether there is one."""
        name = offer.candidate.name
        best: QueuedRequest | None = None
        best_rank: tuple[int, int, bool, float] = (0, 0, False, 0)
        best_expected: float = 0
        for request in self.waiting:
            if name in request.excluded:
                continue
            expected = request.expect(offer)
            rank = self._rank(request, offer, expected, now)
            if rank is not None and (best is None or rank < best_rank):
                best, best_rank, best_expected = request, rank, expected
        if best is None:
            return False
        send_before = offer.candidate.admission.take()
        if send_before is None:
            return False
        best.send_before = send_before
        self.waiting.remove(best)
        self.grants.note(now)
        best.granted = offer
        best.expected = best_expected
        best.on_end()
        return True

    def has_request_in_time(self, now: float) -> bool:
        """Return whether a waiting request can still be in time."""
        return any(not request.is_late(now) for request in self.waiting)

    def note_offer_round(self, now: float) -> None:
        """Count a round of offers for every request that still waits."""
        for request in self.waiting:
            self.note_unmatched(request, now)

    def note_unmatched(self, request: QueuedRequest, now: float) -> None:
        """Count a round of offers that gave a request no server."""
        request.offer_rounds += 1
        if not request.is_late(now):
            self.contention.note_unserved(now)

    def reject_unservable(self, now: float, *, had_offers: bool = True) -> int:
        """
        Reject the requests that cannot be served; return how many.

        These are requests past the time at which their service had to start,
        and, if they ``had_offers`` of servers just before, those that have
        waited too long while late and those in excess.
        """
        rejected = self._reject_hopeless(now)
        if had_offers:
            rejected += self._reject_late(now)
            rejected += self._reject_excess(now)
        return rejected

    def withdraw(self, may_leave: Callable[[QueuedRequest], bool]) -> None:
        """Take requests out of the queue, undecided."""
        for request in tuple(self.waiting):
            if may_leave(request):
                self.waiting.remove(request)
                request.is_withdrawn = True
                request.on_end()

    def reject_all(self, seconds: Callable[[int], float]) -> None:
        """
        Reject all requests, the most urgent first.

        ``seconds`` returns the retry-after time of one with a priority.
        """
        for request in sorted(
            self.waiting, key=lambda request: request.priority
        ):
            self._reject(request, seconds(request.priority))

    def reject_after(self, deadline: float, seconds: float) -> None:
        """
        Reject the requests that may take longer than until ``deadline``.

        ``seconds`` is their retry-after time.
        """
        for request in tuple(self.waiting):
            if request.deadline > deadline:
                self._reject(request, seconds)

    def _rank(
        self,
        request: QueuedRequest,
        offer: Offer,
        expected: float,
        now: float,
    ) -> tuple[int, int, bool, float] | None:
        """Return a request's rank for an offer, ``None`` if it is excluded."""
        if now + expected * _LATENCY_MARGIN_FACTOR <= request.objective_at:
            self.contention.note_fast_server(now)
            return request.priority, 0, request.is_relayed, -request.arrived_at
        if now + expected > request.deadline:
            return None
        is_fast = expected < request.service_seconds * _FAST_LATENCY_FACTOR
        if is_fast and offer.is_last_slot and self.contention.is_contended(now):
            return None
        if not is_fast and self.contention.has_fast_server(now):
            return None
        if request.is_late(now):
            return request.priority, 1, request.is_relayed, request.deadline
        if request.offer_rounds >= _ROUNDS_BEFORE_ANY_SERVER:
            return request.priority, 2, request.is_relayed, request.deadline
        return None

    def _reject_hopeless(self, now: float) -> int:
        """Reject the requests that can't be served before their deadline."""
        hopeless = [
            request for request in self.waiting if request.is_hopeless(now)
        ]
        for request in hopeless:
            self._reject(request, request.service_seconds)
        return len(hopeless)

    def _reject_late(self, now: float) -> int:
        """Reject the requests that have waited too long while late."""
        late = [
            request
            for request in self.waiting
            if request.late_seconds(now) > _MAX_LATE_WAIT_SECONDS
        ]
        for request in late:
            self._reject(request, _LATE_RETRY_AFTER_SECONDS)
        return len(late)

    def _reject_excess(self, now: float) -> int:
        """Reject the requests in excess of those served within a second."""
        rate = self.grants.per_second(now)
        excess = len(self.waiting) - max(_MIN_QUEUE_LIMIT, int(rate))
        if excess <= 0:
            return 0
        least_urgent_first = sorted(
            self.waiting,
            key=lambda request: (
                -request.priority,
                not request.is_relayed,
                not request.is_late(now),
                request.arrived_at,
            ),
        )
        for request in least_urgent_first[:excess]:
            self._reject(request, excess / max(1.0, rate))
        return excess

    def _reject(self, request: QueuedRequest, seconds: float) -> None:
        self.waiting.remove(request)
        request.retry_after_seconds = seconds
        request.on_end()
