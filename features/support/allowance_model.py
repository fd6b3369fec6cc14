"""Plays one tenant's permits between VMs in virtual time."""

import math
import random
from collections import deque
from dataclasses import dataclass, field

from zinniaturn.admission.allowance_grantor import (
    AllowanceGrantor,
    AllowanceRequest,
)
from zinniaturn.admission.permits import PermitBook
from zinniaturn.tenants.allowance import AllowanceBounds, bucket_for

BOUNDS = AllowanceBounds(5.0, 0.1, 20)
_KEY = 'tenant gold'
_ROUND_TRIP_SECONDS = 0.003
_STEP_SECONDS = 0.01


@dataclass
class AllowanceModel:
    """
    VMs that hold permits of one owner, and use each as late as they may.

    ``sent`` are the times of sends, ``asked`` counts the requests of callers.
    """

    rate: float
    burst: float
    vms: int
    seed: int
    now: float = 0
    version: int = 1
    changed_at: float = 0
    grantor: AllowanceGrantor = field(default_factory=AllowanceGrantor)
    books: list = field(init=False)
    sent: list = field(default_factory=list)
    asked: int = 0
    sequence: int = 0

    def __post_init__(self):
        """Start with VMs that hold nothing."""
        self.random = random.Random(self.seed)
        self.books = [PermitBook() for _ in range(self.vms)]

    def set_limit(self, rate, burst):
        """Apply a later version of the document at all VMs."""
        self.rate = rate
        self.burst = burst
        self.version += 1
        for book in self.books:
            book.expiries = deque()

    def replace_owner(self):
        """Let another VM, which knows nothing, grant from now on."""
        self.grantor = AllowanceGrantor()
        self.changed_at = self.now

    def play(self, seconds, demand_per_second, owner_life=None):
        """Send requests at random VMs; replace the owner each so often."""
        until = self.now + seconds
        next_owner = self.now + (owner_life or math.inf)
        while self.now < until:
            self.now += _STEP_SECONDS
            if self.now >= next_owner:
                self.replace_owner()
                next_owner += owner_life
            expected = demand_per_second * _STEP_SECONDS
            count = int(expected + self.random.random())
            for _ in range(count):
                self._call(self.random.choice(self.books))

    def most_in_window(self, since=0):
        """Return the largest number of sends in any window."""
        times = sorted(time for time in self.sent if time >= since)
        most = 0
        first = 0
        for last, time in enumerate(times):
            while times[first] <= time - BOUNDS.window_seconds:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _call(self, book):
        self.asked += 1
        expiry = book.take(self.now)
        if expiry is None:
            self._request(book)
            expiry = book.take(self.now)
        else:
            self._request(book)
        if expiry is not None:
            late = self.random.uniform(0.9, 1) * (expiry - self.now)
            self.sent.append(self.now + late)

    def _request(self, book):
        count = book.shortage(self.now)
        if not count:
            return
        bucket = bucket_for(self.rate, self.burst, BOUNDS)
        self.sequence += 1
        count, _ = self.grantor.grant(
            AllowanceRequest(
                f'vm-{self.books.index(book)}',
                self.sequence,
                _KEY,
                self.version,
                count,
                bucket.per_second,
                bucket.depth,
                self.now,
            ),
            1,
            self.now,
            self.changed_at,
        )
        book.add(count, self.now - _ROUND_TRIP_SECONDS)
