"""The mixes of requests that callers send while work is done on the fleet."""

__all__ = ('SHEETS', 'Habit', 'RequestKind')

import enum
import random
from dataclasses import dataclass
from types import MappingProxyType

# Most work lies close to the mean, some takes any time up to the longest.
_LONG_SHARE = 0.1
_SPREAD = 0.3


class Habit(enum.Enum):
    """How callers use connections."""

    KEPT = 'kept'
    FRESH = 'fresh'
    PIPELINED = 'pipelined'


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A route with its callers; times are in seconds."""

    name: str
    method: str
    is_idempotent: bool
    habit: Habit
    mean_work: float
    longest_work: float
    timeout: float
    wait: float
    per_second: float

    def draw_work(self, random_source: random.Random) -> float:
        """Return how long a server takes for one request."""
        if random_source.random() < _LONG_SHARE:
            return random_source.uniform(self.mean_work, self.longest_work)
        usual = random_source.gauss(self.mean_work, self.mean_work * _SPREAD)
        return min(self.longest_work, max(0, usual))


_KEPT, _FRESH, _PIPELINED = Habit.KEPT, Habit.FRESH, Habit.PIPELINED

SHEETS = MappingProxyType(
    {
        'ulaanbaatar': (
            RequestKind(
                'charts', 'GET', True, _PIPELINED, 0.09, 0.54, 1.0, 2.0, 30
            ),
            RequestKind(
                'starts', 'POST', False, _KEPT, 0.12, 0.88, 1.2, 2.5, 20
            ),
            RequestKind(
                'bookings', 'DELETE', False, _FRESH, 0.072, 0.54, 0.8, 1.5, 10
            ),
        ),
        'ulaanbaatar-grown': (
            RequestKind(
                'charts', 'GET', True, _PIPELINED, 0.18, 1.1, 2.0, 4.0, 20
            ),
            RequestKind(
                'starts', 'POST', False, _KEPT, 0.23, 1.7, 2.5, 5.0, 15
            ),
            RequestKind(
                'bookings', 'DELETE', False, _FRESH, 0.14, 1.1, 2.0, 4.0, 10
            ),
        ),
        'riga-grown': (
            RequestKind(
                'cards', 'GET', True, _PIPELINED, 0.19, 1.1, 1.2, 2.0, 20
            ),
            RequestKind(
                'disposals', 'POST', False, _KEPT, 0.25, 1.9, 1.5, 2.5, 15
            ),
            RequestKind(
                'postings', 'DELETE', False, _FRESH, 0.15, 1.1, 1.2, 2.0, 10
            ),
        ),
    }
)
