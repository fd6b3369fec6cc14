"""
Measuring requests to backend servers within each pool's agreed budget.

The budget holds over all entries together, since only the holder of a leased
seat measures and each seat keeps more than a second between two measuring
requests to one server.
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
