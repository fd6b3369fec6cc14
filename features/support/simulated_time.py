"""Events at set moments, played in their order without waiting."""

import heapq
import itertools
from dataclasses import dataclass, field


@dataclass
class SimulatedTime:
    """Moments in seconds from the start; ``now`` is that of the last event."""

    now: float = 0
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)

    def at(self, moment, event):
        """Call an event at a moment, after those that were set before it."""
        heapq.heappush(self.events, (moment, next(self.order), event))

    def run(self):
        """Call all events, also those that events set."""
        while self.events:
            moment, _, event = heapq.heappop(self.events)
            self.now = moment
            event()
