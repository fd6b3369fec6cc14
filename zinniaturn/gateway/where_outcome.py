"""What would become of a request with the servers of its pool."""

__all__ = ('Found', 'placed', 'rejected', 'unplaced')

from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.gateway.blockage import (
    Blockage,
    find_blockage,
    retry_seconds,
)
from zinniaturn.gateway.path_decider import UNREACHED_RETRY_SECONDS
from zinniaturn.gateway.permit_search import PoolSurvey
from zinniaturn.gateway.rejections import rejection_response
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.scheduler import RequestScheduler
from zinniaturn.gateway.where_answer import PoolView, WhereOutcome
from zinniaturn.gateway.where_servers import DOUBTFUL, USABLE
from zinniaturn.outcomes import Outcome
from zinniaturn.placing.return_schedule import ReturnSchedule
from zinniaturn.reach.decision import AwaitEvidence, PassOn, RejectAtOnce

_MOST_TARGETS = 3
_NO_SERVER = 'no-server'


@dataclass(frozen=True, slots=True)
class Found:
    """An outcome with its reason; see `WhereAnswer`."""

    outcome: WhereOutcome
    reason: str
    targets: Sequence[str] = ()
    code: str = ''
    status: int = 0
    retry_after_seconds: float | None = None


def rejected(code: str, reason: str, seconds: float | None) -> Found:
    """Return a rejection; ``seconds`` are those until a retry."""
    response = rejection_response(code, Outcome.NOT_RUN, seconds)
    return Found(
        WhereOutcome.REJECTED,
        reason,
        code=code,
        status=response.status,
        retry_after_seconds=None if seconds is None else round(seconds, 3),
    )


def unplaced(
    scheduler: RequestScheduler,
    context: RequestContext,
    survey: PoolSurvey,
    now: float,
) -> Found | None:
    """Return why no server of the pool is chosen now, ``None`` if one is."""
    match scheduler.state.reach.peek(context.pool.name):
        case PassOn(vms):
            return Found(
                WhereOutcome.PASSED_ON,
                'the servers respond to other VMs, not to this one',
                vms[:_MOST_TARGETS],
            )
        case AwaitEvidence():
            return Found(
                WhereOutcome.AWAITED,
                'no server responds, and other VMs are asked of the pool',
            )
        case RejectAtOnce():
            return rejected(
                _NO_SERVER,
                'no server of the pool responds to any VM',
                UNREACHED_RETRY_SECONDS,
            )
    is_in_doubt = scheduler.state.evacuations_are_in_doubt()
    blockage = Blockage.IN_DOUBT if is_in_doubt else find_blockage(survey)
    match blockage:
        case None:
            return None
        case Blockage.AT_LIMITS:
            return _at_limits(scheduler, context, survey, now)
    route = context.route
    seconds = scheduler.service_times.service_seconds(
        route.name, route.objective_seconds
    )
    return rejected(
        _NO_SERVER, blockage.value, retry_seconds(blockage, seconds)
    )


def placed(pool: PoolView) -> Found:
    """Return where a request goes of which some server may get it."""
    likely = [
        view.name
        for view in pool.servers
        if view.state == USABLE and view.has_room
    ]
    if likely:
        return Found(
            WhereOutcome.SENT,
            'these have room by their last reports, the best first; probes '
            'decide',
            likely[:_MOST_TARGETS],
        )
    doubtful = [
        view.name
        for view in pool.servers
        if view.state in DOUBTFUL and view.has_room
    ]
    if doubtful:
        return Found(
            WhereOutcome.SEARCHED,
            'the servers with room are ejected or answer no probes; they get '
            'it only if their response can still be in time',
            doubtful[:_MOST_TARGETS],
        )
    known = pool.reports.servers - pool.reports.without_report
    if known:
        return Found(
            WhereOutcome.SEARCHED,
            'no server has room by its last report; it waits if probes find '
            'none either',
        )
    return Found(
        WhereOutcome.SEARCHED, 'no server has reported its load to this VM yet'
    )


def _at_limits(
    scheduler: RequestScheduler,
    context: RequestContext,
    survey: PoolSurvey,
    now: float,
) -> Found:
    """Return that owners are asked, and the rejection if they have none."""
    known = scheduler.pool_gate.return_schedules.get(context.pool.name)
    schedule = ReturnSchedule({} if known is None else dict(known.last_at))
    seconds = schedule.seconds(
        scheduler.search.permits.returns_per_second(survey),
        context.priority,
        now,
    )
    refusal = rejected(_NO_SERVER, Blockage.AT_LIMITS.value, seconds)
    return Found(
        WhereOutcome.PERMIT_ASKED,
        f'{refusal.reason}; owners of some are asked for a permit, and '
        'without one it is rejected',
        code=refusal.code,
        status=refusal.status,
        retry_after_seconds=refusal.retry_after_seconds,
    )
