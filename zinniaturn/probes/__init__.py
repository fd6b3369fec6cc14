"""
Measuring requests to backend servers within each pool's agreed budget.

The budget holds over all entries together, since only the holder of a leased
seat measures and each seat keeps more than a second between two measuring
requests to one server.
"""

__all__ = (
    'ProbeError',
    'Prober',
    'SeatHolder',
    'Spacing',
    'is_back',
    'spacing_of',
)

from zinniaturn.probes.exceptions import ProbeError
from zinniaturn.probes.health import is_back
from zinniaturn.probes.pacing import Spacing, spacing_of
from zinniaturn.probes.probe import Prober
from zinniaturn.probes.seats import SeatHolder
