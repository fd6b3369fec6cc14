"""A simulation of more requests than slots at the queue, without a network."""

from dataclasses import dataclass, field

from features.support.gateway import (
    build_candidate,
    build_report,
    seeded_random,
)
from features.support.simulated_time import SimulatedTime
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue


@dataclass
class Result:
    """The number of requests by their end."""

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    held_past_deadline: int = 0


@dataclass
class OverloadSimulation:
    """Requests that arrive at a steady rate at servers with few slots."""

    servers: int
    slots: int
    service_seconds: float
    objective_seconds: float = 0.25
    deadline_seconds: float = 1.0
    oldest_first: bool = False
    time: SimulatedTime = field(default_factory=SimulatedTime)
    result: Result = field(default_factory=Result)

    def run(self, per_second, seconds):
        """Return the result of requests at this rate over these seconds."""
        self.random_source = seeded_random()
        self.queue = RequestQueue()
        self.running = [0 for _ in range(self.servers)]
        self.candidates = [
            build_candidate(f's-{number}', slots=self.slots)
            for number in range(self.servers)
        ]
        for number in range(int(per_second * seconds)):
            self.time.at(number / per_second, self._arrive)
        self.time.run()
        return self.result

    def _arrive(self):
        requests = []
        request = QueuedRequest(
            self.service_seconds,
            self.time.now,
            self.time.now + self.objective_seconds,
            self.time.now + self.deadline_seconds,
            1,
            lambda offer: self.service_seconds,
            lambda: self._end(requests[0]),
        )
        requests.append(request)
        self.queue.add(request)
        self.queue.reject_unservable(self.time.now)
        for number in range(self.servers):
            self._offer(number)

    def _offer(self, number):
        if self.running[number] >= best_concurrency(self.slots):
            return
        candidate = self.candidates[number]
        report = build_report(self.running[number], slots=self.slots)
        if self.oldest_first:
            self._grant_oldest(candidate, report)
        else:
            self.queue.match(Offer(candidate, report), self.time.now)

    def _grant_oldest(self, candidate, report):
        if self.queue.waiting:
            oldest = self.queue.waiting.pop(0)
            self.queue.grants.note(self.time.now)
            oldest.granted = Offer(candidate, report)
            oldest.on_end()

    def _end(self, request):
        if request.granted is None:
            self.result.rejected += 1
            if self.time.now > request.deadline:
                self.result.held_past_deadline += 1
            return
        number = int(request.granted.candidate.name.split('-')[1])
        self.running[number] += 1
        seconds = self.service_seconds * self.random_source.uniform(0.7, 1.3)
        self.time.at(
            self.time.now + seconds,
            lambda: self._answer(request, number),
        )

    def _answer(self, request, number):
        self.running[number] -= 1
        if self.time.now <= request.objective_at:
            self.result.in_time += 1
        elif self.time.now <= request.deadline + self.service_seconds:
            self.result.late += 1
        else:
            self.result.held_past_deadline += 1
        self.queue.reject_unservable(self.time.now)
        self._offer(number)
