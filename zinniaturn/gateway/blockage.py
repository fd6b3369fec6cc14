"""Why no server of a pool may get a request, and when callers return."""

__all__ = (
    'EVACUATED_RETRY_SECONDS',
    'Blockage',
    'find_blockage',
    'retry_seconds',
)

from enum import Enum

from zinniaturn.gateway.permit_search import PoolSurvey

# Callers return at the rate at which the store is read.
EVACUATED_RETRY_SECONDS = 1.0
_DOUBT_RETRY_SECONDS = 0.2


class Blockage(Enum):
    """
    Why no server of a pool may get a request; the value is for the log.

    With `AT_LIMITS` owners of the servers are asked for permits first.
    """

    IN_DOUBT = 'evacuations are not known yet'
    EVACUATED = 'all servers are evacuated'
    NO_SERVER = 'no server is known'
    AT_LIMITS = 'all servers are at their limits'


def find_blockage(survey: PoolSurvey) -> Blockage | None:
    """
    Return why no server of a survey may get a request, ``None`` if one may.

    >>> find_blockage(PoolSurvey()).value
    'no server is known'
    """
    if survey.usable:
        return None
    if survey.is_evacuated:
        return Blockage.EVACUATED
    return Blockage.AT_LIMITS if survey.limited else Blockage.NO_SERVER


def retry_seconds(blockage: Blockage, service_seconds: float) -> float:
    """
    Return when callers should return, before jitter.

    A server that comes back needs about the time of a request. It does not
    apply to `Blockage.AT_LIMITS`, where a schedule tells.
    """
    match blockage:
        case Blockage.IN_DOUBT:
            return _DOUBT_RETRY_SECONDS
        case Blockage.EVACUATED:
            return EVACUATED_RETRY_SECONDS
    return service_seconds
