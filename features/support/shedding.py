"""Plays a pool that sheds a part of its requests, without a network."""

from dataclasses import dataclass, field

from features.support.gateway import seeded_random
from zinniaturn.placing.retry_budget import FleetRetryBudget

_FULL_WINDOW_SECONDS = 10


@dataclass
class ServedCounts:
    """The requests of one priority by second, and those that were served."""

    sent: dict = field(default_factory=dict)
    served: dict = field(default_factory=dict)

    def share(self, seconds):
        """Return the share that was served in these seconds."""
        sent = sum(self.sent.get(second, 0) for second in seconds)
        return sum(self.served.get(second, 0) for second in seconds) / sent


class SheddingPlay:
    """
    Requests to a pool whose servers shed a share of all arrivals.

    ``rates`` are the requests per second by priority. Each request is sent
    once, and again after each rejection as long as the retry budget allows it.
    """

    def __init__(self, rates, shed_share):
        self.rates = rates
        self.shed_share = shed_share
        self.random_source = seeded_random()
        self.budget = FleetRetryBudget(
            0.2, 162, _FULL_WINDOW_SECONDS, started_at=-100
        )
        self.counts = {priority: ServedCounts() for priority in rates}

    def run(self, seconds):
        """Play the shedding, after a calm time of a full window."""
        for at, priority in self._arrivals(seconds):
            self.budget.note_request(at)
            if at >= 0:
                self._serve(at, priority)
        return self.counts

    def _arrivals(self, seconds):
        arrivals = [
            (self.random_source.uniform(-_FULL_WINDOW_SECONDS, seconds), name)
            for name, rate in self.rates.items()
            for _ in range(round(rate * (seconds + _FULL_WINDOW_SECONDS)))
        ]
        return sorted(arrivals)

    def _serve(self, at, priority):
        counts = self.counts[priority]
        second = int(at)
        counts.sent[second] = counts.sent.get(second, 0) + 1
        while self.random_source.random() < self.shed_share:
            if not self.budget.try_withdraw(at, 1, priority):
                return
        counts.served[second] = counts.served.get(second, 0) + 1
