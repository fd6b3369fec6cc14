"""A simulated clock that runs scheduled events without waiting."""

import heapq
import itertools
from dataclasses import dataclass, field


@dataclass
class SimulatedTime:
    """Times are seconds from the start; ``now`` is that of the last event."""

    now: float = 0
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)

    def at(self, time, event):
        """Schedule an event, after those already scheduled for its time."""
        heapq.heappush(self.events, (time, next(self.order), event))

    def run(self):
        """Run all events, also those that events schedule."""
        while self.events:
            time, _, event = heapq.heappop(self.events)
            self.now = time
            event()
