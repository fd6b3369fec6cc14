"""A simulated burst at servers with noisy neighbours, without a network."""

import random

from features.support.gateway import (
    build_candidate,
    build_report,
    seeded_random,
)
from features.support.simulated_time import SimulatedTime
from zinniaturn.placing.latency_estimates import best_concurrency
from zinniaturn.placing.request_queue import Offer, QueuedRequest, RequestQueue

_OBJECTIVE_SECONDS = 0.5
_DEADLINE_SECONDS = 4.0
_NOISE_SECONDS = 0.3
_SLOW_SHARE = 0.42
_SLOWNESS = 4.0
_POLL_SECONDS = 0.03
_SLOTS = 3


class NoisyBurst:
    """
    Requests of callers that retry, at servers that are slow at times.

    A server that is slow when a request starts is slow for all of it.
    """

    def __init__(self, servers, service_seconds, rate):
        self.service_seconds = service_seconds
        self.rate = rate
        self.random_source = seeded_random()
        self.queue = RequestQueue()
        self.running = [0 for _ in range(servers)]
        self.candidates = [
            build_candidate(f's-{number}', slots=_SLOTS)
            for number in range(servers)
        ]
        self.ends = []
        self.time = SimulatedTime()

    def run(self, burst_factor, burst_ends, seconds):
        """Run until a time, with a burst from the first second on."""
        arrival = 0
        while arrival < seconds:
            factor = burst_factor if 1 < arrival < burst_ends else 1
            arrival += self.random_source.expovariate(self.rate * factor)
            self.time.at(arrival, self._arrival(arrival, seconds))
        for number in range(int(seconds / _POLL_SECONDS)):
            self.time.at(number * _POLL_SECONDS, self._poll)
        self.time.run()

    def share_in_time(self, begin, end):
        """Return the share of in-time requests of those begun in a span."""
        ends = [in_time for began, in_time in self.ends if begin <= began < end]
        return sum(ends) / len(ends)

    def _arrival(self, began, until):
        def arrive():
            requests = []
            request = QueuedRequest(
                self.service_seconds,
                self.time.now,
                began + _OBJECTIVE_SECONDS,
                began + _DEADLINE_SECONDS,
                1,
                self._expect,
                lambda: self._end(requests[0], began, arrive),
            )
            requests.append(request)
            self.queue.add(request)
            self._offer_all()
            if request in self.queue.waiting:
                self.queue.note_unmatched(request, self.time.now)

        return arrive

    def _poll(self):
        self.queue.reject_unservable(self.time.now)
        self._offer_all()
        self.queue.note_offer_round(self.time.now)

    def _offer_all(self):
        numbers = sorted(range(len(self.running)), key=self._slowness)
        for number in numbers:
            self._offer(number)

    def _offer(self, number):
        running, best = self.running[number], best_concurrency(_SLOTS)
        if running < best:
            report = build_report(
                running,
                slots=_SLOTS,
                slowness=self._slowness(number),
            )
            candidate = self.candidates[number]
            is_last = running + 1 == best
            offer = Offer(candidate, report, is_last_slot=is_last)
            self.queue.match(offer, self.time.now)

    def _slowness(self, number):
        turn = int(self.time.now / _NOISE_SECONDS + number / len(self.running))
        is_slow = random.Random(number * 9973 + turn).random() < _SLOW_SHARE
        return _SLOWNESS if is_slow else 1.0

    def _expect(self, offer):
        return self.service_seconds * offer.report.slowness

    def _end(self, request, began, arrive):
        if request.granted is None:
            again = self.time.now + request.retry_after_seconds
            if again + self.service_seconds < began + _DEADLINE_SECONDS:
                self.time.at(again, arrive)
            else:
                self.ends.append((began, False))
            return
        number = int(request.granted.candidate.name.split('-')[1])
        self.running[number] += 1
        in_time = self.time.now + request.expected <= request.objective_at
        self.ends.append((began, in_time))
        self.time.at(
            self.time.now + request.expected,
            lambda: self._answer(number),
        )

    def _answer(self, number):
        self.running[number] -= 1
        self._offer(number)
