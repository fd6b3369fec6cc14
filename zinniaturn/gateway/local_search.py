"""Where a request's search begins, and what its probes say of data centres."""

__all__ = ('LocalSearch', 'SearchOutlook')

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from zinniaturn.gateway.prober import ProbeResult
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.locality.decision import SearchStart, start_for
from zinniaturn.locality.departures import LeaveReason
from zinniaturn.placing.candidates import (
    Candidate,
    ReportRating,
    rate_report,
)
from zinniaturn.placing.demand import share_of_data_center
from zinniaturn.placing.probe_budget import ProbeBudget
from zinniaturn.placing.request_queue import Offer

# The part of the probes that servers may get that goes to them from the VMs of
# their own data centre. It keeps all servers within the limit where callers
# are concentrated in one data centre.
_OWN_PROBES_SHARE = 0.7
_SHARE_LIFETIME_SECONDS = 0.25
# Seconds of the own budget that a process starts with.
_INITIAL_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class SearchOutlook:
    """
    The state of the decision where new requests begin.

    ``stay_ratio`` is what beginning at home saves as a multiple of what it
    costs, and ``inputs`` are the figures that it rests on.
    """

    may_probe_own: bool
    stay_ratio: float
    inputs: Mapping[str, float]

    def starts(self) -> dict[str, float]:
        """Return the share of requests of each `SearchStart`, by its value."""
        if not self.may_probe_own:
            return {SearchStart.ELSEWHERE.value: 1.0}
        first = start_for(self.stay_ratio, 0)
        last = start_for(self.stay_ratio, 1)
        if first is last:
            return {first.value: 1.0}
        share = min(1.0, self.stay_ratio)
        return {first.value: share, last.value: 1 - share}


@dataclass(slots=True)
class LocalSearch:
    """
    Applies `PoolLocality` to the searches of this VM.

    ``own_budgets`` hold the probes that each pool's servers of the own data
    centre may get from this VM. ``own_share`` is its part of the requests of
    its data centre, computed over all VMs once in a quarter of a second; all
    else costs the same for each request, however many servers there are.
    """

    state: GatewayState
    own_budgets: dict[str, ProbeBudget] = field(default_factory=dict)
    own_share: float = 1.0
    share_until: float = float('-inf')

    def start(
        self,
        pool: str,
        probes: int,
        now: float,
        context: RequestContext | None = None,
    ) -> SearchStart | None:
        """
        Return where a search begins that probes ``probes`` servers at first.

        Returns ``None`` where data centres make no difference. Without a
        ``context`` the search is for all requests that wait, which have found
        no server in their first rounds.
        """
        locality = self.state.locality.pool(pool)
        if not locality.is_active:
            return None
        may_probe_own = self._may_probe_own(pool, probes, now)
        if context is not None:
            context.leave_reason = (
                LeaveReason.NO_ROOM
                if may_probe_own
                else LeaveReason.OWN_PROBES_USED
            )
        if not may_probe_own:
            return SearchStart.ELSEWHERE
        if context is None:
            return SearchStart.BOTH_SIDES
        megabytes = self.state.locality.sizes.megabytes(context.route.name)
        start = locality.start(
            probes, megabytes, now, self.state.random_source.random()
        )
        # A repeated request is closer to its objective than others.
        is_repeated = bool(context.tried_servers)
        if is_repeated and start is SearchStart.OWN_TWICE:
            return SearchStart.OWN_FIRST
        return start

    def peek(
        self, pool: str, probes: int, megabytes: float, now: float
    ) -> SearchOutlook | None:
        """
        Return how `start` decides for new requests, and change nothing.

        It works on copies of what a decision would change. ``megabytes`` is
        the usual size of the responses.
        """
        known = self.state.locality.pools.get(pool)
        if known is None or not known.is_active:
            return None
        budgets = {
            name: replace(budget)
            for name, budget in self.own_budgets.items()
            if name == pool
        }
        search = replace(self, own_budgets=budgets)
        locality = replace(known, places=dict(known.places))
        return SearchOutlook(
            search._may_probe_own(pool, probes, now),
            locality.stay_ratio(probes, megabytes, now),
            locality.inputs(now),
        )

    def note_offers(
        self, context: RequestContext, offers: Iterable[Offer]
    ) -> None:
        """Record whether own servers were offered to a request."""
        own = self.state.settings.data_center
        if any(
            offer.candidate.registered.server.data_center == own
            for offer in offers
        ):
            context.leave_reason = LeaveReason.FASTER

    def note_order(
        self, context: RequestContext, order: Iterable[Candidate]
    ) -> None:
        """Record whether a request may be sent to an own server at all."""
        own = self.state.settings.data_center
        if not any(
            candidate.registered.server.data_center == own
            for candidate in order
        ):
            context.leave_reason = LeaveReason.NO_OWN_SERVER

    def note_round(
        self,
        pool: str,
        group: Sequence[Candidate],
        results: Sequence[ProbeResult],
        seconds: float,
        now: float,
    ) -> None:
        """Record what a round of probes of some servers found in some time."""
        locality = self.state.locality.pool(pool)
        if not locality.is_active:
            return
        own_count = 0
        answered = {probed.candidate.name: probed for probed in results}
        for candidate in group:
            data_center = candidate.registered.server.data_center
            own_count += data_center == locality.data_center
            probed = answered.get(candidate.name)
            had_room = (
                probed is not None
                and probed.is_healthy
                and rate_report(candidate, now) is ReportRating.GOOD
            )
            locality.note_probe(data_center, had_room, now)
            if probed is not None:
                locality.note_round_trip(data_center, probed.seconds, now)
        if own_count == len(group):
            locality.note_own_round(seconds)
        budget = self.own_budgets.get(pool)
        if budget is not None:
            budget.tokens -= own_count

    def _may_probe_own(self, pool: str, probes: int, now: float) -> bool:
        budget = self.own_budgets.get(pool)
        if budget is None:
            budget = ProbeBudget(now - _INITIAL_SECONDS)
            self.own_budgets[pool] = budget
        if now >= self.share_until:
            self.own_share = share_of_data_center(
                self.state.vms, self.state.own_request_rate()
            )
            self.share_until = now + _SHARE_LIFETIME_SECONDS
        locality = self.state.locality.pool(pool)
        limit = self.state.settings.bounds.probes_per_second
        per_server = limit * _OWN_PROBES_SHARE * self.own_share
        budget.refill(per_server * locality.own_servers, now)
        return budget.has(probes)
