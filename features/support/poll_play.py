"""Plays the polls of a fleet's VMs in virtual time, without a network."""

from features.support.gateway import seeded_random
from zinniaturn.fleet.poll_schedule import PollSchedule

_STEP_SECONDS = 0.01
_SPREAD_SECONDS = 0.03


class PollPlay:
    """
    VMs that poll the store by rank and tell each other what they read.

    The store refuses the calls of ``refused`` VMs. A state that one
    VM has read is known to all after 30 ms. ``calls`` lists the VM and the time
    of every call.
    """

    def __init__(self, size, bound_seconds):
        random_source = seeded_random()
        self.schedules = [
            PollSchedule.within_bound(random_source, bound_seconds)
            for _ in range(size)
        ]
        self.alive = list(range(size))
        self.resumes_at = dict.fromkeys(range(size), 0)
        self.now = 0
        self.confirmed_at = 0
        self.known_at = 0
        self.known_confirmed_at = 0
        self.calls = []
        self.oldest_age = 0
        self.refused = frozenset()

    def run(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_SECONDS
            self._step()

    def _step(self):
        if self.now >= self.known_at:
            self.known_confirmed_at = self.confirmed_at
        age = self.now - self.known_confirmed_at
        self.oldest_age = max(self.oldest_age, age)
        for rank, vm in enumerate(self.alive):
            schedule = self.schedules[vm]
            poll_age = schedule.poll_age_seconds(rank)
            if age >= poll_age and self.now >= self.resumes_at[vm]:
                self._call(vm, rank, schedule)

    def _call(self, vm, rank, schedule):
        self.calls.append((vm, self.now))
        if vm in self.refused:
            schedule.failures += 1
            self.resumes_at[vm] = self.now + schedule.backoff(rank)
            return
        schedule.failures = 0
        self.resumes_at[vm] = self.now + _SPREAD_SECONDS
        if self.confirmed_at < self.now - _SPREAD_SECONDS:
            self.known_at = self.now + _SPREAD_SECONDS
            self.confirmed_at = self.now
