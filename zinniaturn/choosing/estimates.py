"""
Estimates a server's current wait from its last load report.

A report is exact only at the time the server sent it. After that other entries
send requests and the server completes some, so its weight decays with its age:
the estimate moves from the report to the pool's mean.
"""

__all__ = ('PoolAverages', 'estimated_waits')

import math
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.choosing.server_state import Completion, ServerState

_POOL_SMOOTHING = 0.02
_SERVER_SMOOTHING = 0.25
# Time constant of the decay of a server's own service time.
_SERVICE_TIME_DECAY_SECONDS = 3.0
# Time constant of the decay of a report, as a share of the service time.
_REPORT_DECAY_SHARE = 0.7
# Only servers slower than the pool by this ratio use their own service time.
_SLOW_SERVER_RATIO = 1.5
_MIN_SECONDS = 0.0001
# Each failure in a row adds this multiple of the wait.
_FAILURE_PENALTY_FACTOR = 3.0


@dataclass(slots=True)
class PoolAverages:
    """
    Smoothed means over the responses of a pool.

    ``load_per_slot`` is the load that responses reported, ``service_seconds``
    the service time without the wait. 0 means that no sample is known yet.
    """

    load_per_slot: float = 0
    service_seconds: float = 0

    @property
    def latency_seconds(self) -> float:
        """Return the latency of a server with the mean queue."""
        return self.service_seconds * max(1, self.load_per_slot)

    def add_success(self, state: ServerState, completion: Completion) -> None:
        """Add a successful response of a server."""
        service = _service_seconds_of(completion)
        self.service_seconds = _blend(
            self.service_seconds, service, _POOL_SMOOTHING
        )
        state.service_seconds = _blend(
            state.service_seconds,
            service,
            _SERVER_SMOOTHING,
        )
        if completion.report is not None:
            load = completion.report.total / completion.report.slots
            self.load_per_slot = _blend(
                self.load_per_slot, load, _POOL_SMOOTHING
            )

    def add_cancelled(
        self,
        state: ServerState,
        completion: Completion,
        now: float,
    ) -> None:
        """
        Add the time that a cancelled request went without a response.

        A hedge that wins cancels the request to the slower server, whose
        latency is then not known; this time is a lower bound of it.
        """
        seconds = completion.latency_seconds
        if self.service_seconds and seconds > state.service_seconds:
            state.service_seconds = _blend(
                state.service_seconds or self.service_seconds,
                seconds,
                _SERVER_SMOOTHING,
            )
            state.served_at = now


def estimated_waits(
    states: Sequence[ServerState],
    averages: PoolAverages,
    now: float,
) -> list[float]:
    """
    Return the estimated latency in seconds of a request sent now, by server.

    A report is corrected by the requests that this entry sent since, and its
    estimate moves to the pool's mean within about one service time.

    Values common to all servers are computed once, since this runs for every
    server of the pool on every request.
    """
    decay_seconds = max(
        _MIN_SECONDS, averages.service_seconds * _REPORT_DECAY_SHARE
    )
    usual_service = max(averages.service_seconds, _MIN_SECONDS)
    slow_seconds = usual_service * _SLOW_SERVER_RATIO
    waits: list[float] = []
    for state in states:
        report = state.report
        if report is None:
            slots = state.server.slots
            load = averages.load_per_slot * slots
        else:
            slots = report.slots
            load = averages.load_per_slot * slots
            reported = report.busy + report.queued + state.sent_since_report
            weight = math.exp((state.reported_at - now) / decay_seconds)
            load += (reported - load) * weight
        load = max(load, state.in_flight)
        service = usual_service
        if state.service_seconds >= slow_seconds:
            service = _decayed_service_seconds(state, usual_service, now)
        wait = service * (1 + load / slots / slots)
        if load + 1 > slots:
            wait += service * (load + 1 - slots) / slots
        if state.consecutive_failures:
            wait *= 1 + state.consecutive_failures * _FAILURE_PENALTY_FACTOR
        waits.append(wait)
    return waits


def _decayed_service_seconds(
    state: ServerState, usual: float, now: float
) -> float:
    age = now - state.served_at
    weight = math.exp(-age / _SERVICE_TIME_DECAY_SECONDS)
    return usual + (state.service_seconds - usual) * weight


def _service_seconds_of(completion: Completion) -> float:
    if completion.report is None:
        return completion.latency_seconds
    ahead = completion.report.queued / completion.report.slots
    return completion.latency_seconds / (1 + ahead)


def _blend(known: float, sample: float, weight: float) -> float:
    return known + (sample - known) * weight if known else sample
