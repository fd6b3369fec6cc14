"""
Measuring requests to backend servers within each pool's measuring budget.

The budget holds over all entries together: an entry measures a pool only while
it holds one of the pool's leased permits, and leaves more than a second between
two measuring requests to the same server.
"""

__all__ = (
    'MeasuringInterval',
    'PermitHolder',
    'ProbeError',
    'Prober',
    'is_accepting_again',
    'measuring_interval_seconds',
)

from zinniaturn.probes.exceptions import ProbeError
from zinniaturn.probes.health import is_accepting_again
from zinniaturn.probes.pacing import (
    MeasuringInterval,
    measuring_interval_seconds,
)
from zinniaturn.probes.permits import PermitHolder
from zinniaturn.probes.probe import Prober
