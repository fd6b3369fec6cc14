"""
Estimates of what a server is like now from what it said a while ago.

A report is right at the instant when the server sent it. Other entries send
and the server completes requests after that, so that the report tells less
with its age: the estimate moves from the report to the pool's mean.
"""

__all__ = ('PoolAverages', 'estimated_waits')

import math
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.choosing.server_state import Completion, ServerState

_SMOOTHING = 0.02
_SERVICE_SMOOTHING = 0.25
_FORGET_SERVICE_SECONDS = 3.0
_AGE_SHARE = 0.7
_SLOWER_RATIO = 1.5
_LATENCY_FLOOR_SECONDS = 0.0001
_FAILURE_PENALTY = 3.0


@dataclass(slots=True)
class PoolAverages:
    """
    Means over the replies of a pool.

    ``load_per_slot`` is what replies reported; ``service_seconds`` the
    executions' length without their wait. 0 stands for nothing known yet.
    """

    load_per_slot: float = 0
    service_seconds: float = 0

    @property
    def latency_seconds(self) -> float:
        """Return how long a server takes with its usual queue."""
        return self.service_seconds * max(1, self.load_per_slot)

    def add_success(self, state: ServerState, completion: Completion) -> None:
        """Take a successful reply of a server into account."""
        service = _service_of(completion)
        self.service_seconds = _blend(self.service_seconds, service, _SMOOTHING)
        state.service_seconds = _blend(
            state.service_seconds,
            service,
            _SERVICE_SMOOTHING,
        )
        if completion.report is not None:
            load = completion.report.total / completion.report.slots
            self.load_per_slot = _blend(self.load_per_slot, load, _SMOOTHING)

    def add_cancelled(
        self,
        state: ServerState,
        completion: Completion,
        now: float,
    ) -> None:
        """
        Take into account how long a cancelled request went without an answer.

        A hedge that wins hides how slow the first server is; that it took at
        least so long is still known.
        """
        seconds = completion.latency_seconds
        if self.service_seconds and seconds > state.service_seconds:
            state.service_seconds = _blend(
                state.service_seconds or self.service_seconds,
                seconds,
                _SERVICE_SMOOTHING,
            )
            state.served_at = now


def estimated_waits(
    states: Sequence[ServerState],
    averages: PoolAverages,
    now: float,
) -> list[float]:
    """
    Return the seconds until a request sent now would be answered, by server.

    A report is corrected by what this entry sent since, and moves to the
    pool's mean within about one execution's length.

    What the servers share is worked out once, since this runs for every
    server of the pool on every request.
    """
    horizon = max(_LATENCY_FLOOR_SECONDS, averages.service_seconds * _AGE_SHARE)
    usual_service = max(averages.service_seconds, _LATENCY_FLOOR_SECONDS)
    slow = usual_service * _SLOWER_RATIO
    waits: list[float] = []
    for state in states:
        report = state.report
        if report is None:
            slots = state.server.slots
            load = averages.load_per_slot * slots
        else:
            slots = report.slots
            load = averages.load_per_slot * slots
            known = report.busy + report.queued + state.sent_since_report
            trust = math.exp((state.reported_at - now) / horizon)
            load += (known - load) * trust
        load = max(load, state.in_flight)
        service = usual_service
        if state.service_seconds >= slow:
            service = _service_now(state, usual_service, now)
        wait = service * (1 + load / slots / slots)
        if load + 1 > slots:
            wait += service * (load + 1 - slots) / slots
        if state.consecutive_failures:
            wait *= 1 + state.consecutive_failures * _FAILURE_PENALTY
        waits.append(wait)
    return waits


def _service_now(state: ServerState, usual: float, now: float) -> float:
    age = now - state.served_at
    trust = math.exp(-age / _FORGET_SERVICE_SECONDS)
    return usual + (state.service_seconds - usual) * trust


def _service_of(completion: Completion) -> float:
    if completion.report is None:
        return completion.latency_seconds
    ahead = completion.report.queued / completion.report.slots
    return completion.latency_seconds / (1 + ahead)


def _blend(known: float, sample: float, weight: float) -> float:
    return known + (sample - known) * weight if known else sample
