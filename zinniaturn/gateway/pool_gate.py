"""Rejects the requests to pools of which no server may get one now."""

__all__ = ('PoolGate',)

import asyncio
from dataclasses import dataclass, field

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.blockage import (
    EVACUATED_RETRY_SECONDS,
    Blockage,
    find_blockage,
    retry_seconds,
)
from zinniaturn.gateway.permit_search import PermitSearch, PoolSurvey
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.request_queue import RequestQueue
from zinniaturn.placing.retry_after import RetryAfterJitter
from zinniaturn.placing.return_schedule import ReturnSchedule


@dataclass(slots=True)
class PoolGate:
    """
    Asks for permits where all servers of a pool are at their limits.

    ``return_schedules`` hold when the callers that a pool's limits bar return.
    """

    state: GatewayState
    permits: PermitSearch
    retry_after_jitter: RetryAfterJitter
    return_schedules: dict[str, ReturnSchedule] = field(default_factory=dict)

    async def ensure_usable(
        self, context: RequestContext, service_seconds: float
    ) -> None:
        """
        Make sure that some server may get a request.

        Raises `RejectedError` if none may, also after requests for permits.
        """
        if self.state.evacuations_are_in_doubt():
            raise self._blocked(Blockage.IN_DOUBT, service_seconds)
        survey = self.permits.survey(context.pool)
        context.withheld = survey.describe_withheld()
        blockage = find_blockage(survey)
        if blockage is None:
            self.permits.request_ahead(survey)
            return
        if blockage is not Blockage.AT_LIMITS:
            raise self._blocked(blockage, service_seconds)
        if await self.permits.obtain(survey):
            return
        seconds = self._seconds_at_limits(
            context.pool, survey, context.priority
        )
        raise self.rejection(seconds, blockage.value)

    def reject_waiting(self, pool: FleetPool, queue: RequestQueue) -> bool:
        """
        Reject all requests of a queue if no server may get one.

        That is if every server is at its limit or evacuated.
        """
        survey = self.permits.survey(pool)
        blockage = find_blockage(survey)
        if blockage is Blockage.EVACUATED:
            queue.reject_all(lambda priority: EVACUATED_RETRY_SECONDS)
            return True
        if blockage is not Blockage.AT_LIMITS:
            return False
        queue.reject_all(
            lambda priority: self._seconds_at_limits(pool, survey, priority)
        )
        return True

    def rejection(self, seconds: float, detail: str) -> RejectedError:
        """Return the rejection of a request that no server gets."""
        return RejectedError(
            detail, 'no-server', self.retry_after_jitter.seconds(seconds)
        )

    def _seconds_at_limits(
        self, pool: FleetPool, survey: PoolSurvey, priority: int
    ) -> float:
        """Return when a caller should return that all servers' limits bar."""
        schedule = self.return_schedules.setdefault(pool.name, ReturnSchedule())
        return schedule.seconds(
            self.permits.returns_per_second(survey),
            priority,
            asyncio.get_running_loop().time(),
        )

    def _blocked(
        self, blockage: Blockage, service_seconds: float
    ) -> RejectedError:
        seconds = retry_seconds(blockage, service_seconds)
        return self.rejection(seconds, blockage.value)
