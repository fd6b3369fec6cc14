"""
The hot-cold policy of Prequal, which chooses among recently probed servers.

References
----------
.. [1] B. Wydrowski, R. Kleinberg, S. M. Rumble and A. Archer, "Load is not
   what you should balance: introducing Prequal", NSDI, 2024.

"""

__all__ = ('HotCold',)

import random
from collections.abc import Sequence

from zinniaturn.choosing.estimates import PoolAverages
from zinniaturn.choosing.server_state import ServerState

_HOT_QUANTILE = 0.8
_PROBE_LIFETIME_SECONDS = 1.0
_MAX_PROBE_USES = 2


class HotCold:
    """
    Chooses the fastest cold server, else the least loaded hot one [1]_.

    The last load report of each server, from a measuring request or a
    response, serves as its probe. A probe expires after two choices or one
    second; without any probe the choice is random. A server is hot if its
    requests in flight are above the 0.8 quantile of the probed servers'.
    """

    report_lifetime_seconds: float = 0

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return a candidate by the hot-cold rule."""
        probed = [state for state in candidates if _has_probe(state, now)]
        if not probed:
            return self.random_source.choice(candidates)
        loads = sorted(_load(state) for state in probed)
        threshold = loads[int(_HOT_QUANTILE * (len(loads) - 1))]
        cold = [state for state in probed if _load(state) <= threshold]
        if len(cold) < len(probed) or loads[0] < loads[-1]:
            return min(cold, key=lambda state: state.service_seconds)
        return min(probed, key=_load)


def _has_probe(state: ServerState, now: float) -> bool:
    return (
        state.report is not None
        and now - state.reported_at < _PROBE_LIFETIME_SECONDS
        and state.sent_since_report < _MAX_PROBE_USES
    )


def _load(state: ServerState) -> int:
    assert state.report is not None
    return state.report.total + state.sent_since_report
