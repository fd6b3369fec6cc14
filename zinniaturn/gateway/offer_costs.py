"""What a request at an offered server takes, and what the way there costs."""

__all__ = ('OfferCosts',)

from dataclasses import dataclass, field

from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.http1.messages import Response
from zinniaturn.locality.table import LocalityTable
from zinniaturn.placing.latency_estimates import (
    ServiceTimeEstimates,
    expected_seconds,
)
from zinniaturn.placing.request_queue import Offer, QueuedRequest

_UNHEALTHY_PENALTY_FACTOR = 3.0
_RANKING_SERVICE_SECONDS = 0.1


@dataclass(slots=True)
class OfferCosts:
    """
    Estimates for offers, by reports, past responses and data centres.

    ``service_times`` holds the estimated service time of each route.
    """

    locality: LocalityTable
    service_times: ServiceTimeEstimates = field(
        default_factory=ServiceTimeEstimates
    )

    def seconds_to_place_by(self, context: RequestContext, now: float) -> float:
        """Return the service time that a request is placed by."""
        route = context.route
        if context.attempt_count:
            return self.service_times.service_seconds(
                route.name, route.objective_seconds
            )
        return self.service_times.seconds_to_place_by(
            route.name, route.objective_seconds, now
        )

    def note_rejection(
        self, context: RequestContext, queued: QueuedRequest, now: float
    ) -> None:
        """Record that a request got no server."""
        if not context.attempt_count and queued.is_hopeless(now):
            self.service_times.note_barred(context.route.name, now)

    def expected_seconds(
        self, service_seconds: float, offer: Offer, now: float
    ) -> float:
        """Return the expected time to the response, with the way there."""
        stats = offer.candidate.stats
        expected = expected_seconds(service_seconds, offer.report, stats, now)
        if stats.ejected_until > now or not offer.is_healthy:
            expected *= _UNHEALTHY_PENALTY_FACTOR
        registered = offer.candidate.registered
        locality = self.locality.pool(registered.pool)
        if not locality.is_active:
            return expected
        data_center = registered.server.data_center
        expected *= locality.slowness(data_center, now)
        return expected + locality.way_seconds(data_center, now)

    def cost_seconds(
        self, offer: Offer, context: RequestContext | None, now: float
    ) -> float:
        """
        Return the expected time and, in seconds, the price of the way there.

        ``context`` is the request that the offer was found for, ``None`` where
        it was found for all that wait.
        """
        registered = offer.candidate.registered
        locality = self.locality.pool(registered.pool)
        if context is None or not locality.is_active:
            return self.expected_seconds(_RANKING_SERVICE_SECONDS, offer, now)
        route = context.route
        expected = self.expected_seconds(
            self.service_times.service_seconds(
                route.name, route.objective_seconds
            ),
            offer,
            now,
        )
        data_center = registered.server.data_center
        expected *= locality.failure_factor(data_center, now)
        return expected + locality.price_seconds(
            data_center, self.locality.sizes.megabytes(route.name), now
        )

    def is_good(
        self, offer: Offer, expected: float, good_seconds: float, now: float
    ) -> bool:
        """
        Return whether an offer ends the search for a server.

        ``expected`` are its expected seconds. The way there is no reason to
        search on, as other offers have it as well.
        """
        registered = offer.candidate.registered
        locality = self.locality.pool(registered.pool)
        if not locality.is_active:
            return expected <= good_seconds
        data_center = registered.server.data_center
        expected -= locality.way_seconds(data_center, now)
        expected *= locality.failure_factor(data_center, now)
        return expected <= good_seconds

    def note_failure(self, placement: Placement, now: float) -> None:
        """Record that an attempt has failed."""
        registered = placement.candidate.registered
        locality = self.locality.pool(registered.pool)
        if locality.is_active:
            locality.note_end(
                registered.server.data_center, has_failed=True, now=now
            )

    def note_response(
        self,
        context: RequestContext,
        placement: Placement,
        response: Response,
        seconds: float,
        now: float,
    ) -> None:
        """Correct the estimates by a response that took some time."""
        route = context.route
        expected = placement.expected_seconds
        locality = self.locality.pool(context.pool.name)
        if locality.is_active:
            self.locality.sizes.note(route.name, len(response.body))
            data_center = placement.candidate.registered.server.data_center
            locality.note_end(data_center, has_failed=False, now=now)
            self._count(context, data_center, len(response.body))
            if placement.is_estimate_settled:
                locality.note_latency(data_center, seconds, expected, now)
        self.service_times.update(
            route.name,
            route.objective_seconds,
            seconds,
            expected,
            placement.service_seconds,
        )

    def _count(
        self, context: RequestContext, data_center: str, size: int
    ) -> None:
        """Count a response by whether it came from the own data centre."""
        departures = self.locality.departures
        pool = context.pool.name
        if data_center == self.locality.data_center:
            departures.note_stay(pool)
        else:
            departures.note_departure(
                pool, data_center, context.leave_reason, size
            )
