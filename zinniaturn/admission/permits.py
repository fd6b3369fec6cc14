"""The permits that this VM holds for requests to one server with a limit."""

__all__ = ('PERMIT_LIFETIME_SECONDS', 'PermitBook')

import math
from collections import deque
from dataclasses import dataclass, field

from zinniaturn.placing.recent_rate import RecentRate

PERMIT_LIFETIME_SECONDS = 0.8
# Permits are requested for the requests of this time.
_AHEAD_SECONDS = 0.25
_MOST_PERMITS = 200


@dataclass(slots=True)
class PermitBook:
    """
    Permits, one for each request, that expire soon after they were requested.

    ``expiries`` are the times at which they expire, the earliest first. They
    count from before the request for them was sent, so that a permit that
    arrives late has no longer life. ``taken`` counts those that were used, and
    ``waiting`` the requests of a tenant that wait for one.
    """

    expiries: deque[float] = field(default_factory=deque)
    taken: RecentRate = field(default_factory=RecentRate)
    waiting: int = 0

    def add(
        self,
        count: int,
        requested_at: float,
        lifetime_seconds: float = PERMIT_LIFETIME_SECONDS,
    ) -> None:
        """Add permits that were requested at this time."""
        expiry = requested_at + lifetime_seconds
        self.expiries.extend(expiry for _ in range(count))

    def held(self, now: float) -> int:
        """Return how many permits have not expired."""
        while self.expiries and self.expiries[0] <= now:
            self.expiries.popleft()
        return len(self.expiries)

    def take(self, now: float) -> float | None:
        """Take a permit and return when it expires, ``None`` without one."""
        if not self.held(now):
            return None
        self.taken.note(now)
        return self.expiries.popleft()

    def give_back(self, expiry: float) -> None:
        """Hold a permit again whose request was not sent or not run."""
        self.expiries.append(expiry)
        if len(self.expiries) > 1 and expiry < self.expiries[-2]:
            self.expiries = deque(sorted(self.expiries))

    def shortage(self, now: float) -> int:
        """Return how many permits to request, 0 while there are enough."""
        wanted = math.ceil(self.taken.per_second(now) * _AHEAD_SECONDS)
        wanted = min(_MOST_PERMITS, max(1, self.waiting, wanted))
        held = self.held(now)
        return wanted - held if held * 2 < wanted else 0

    def needs_more(self, now: float) -> bool:
        """
        Return whether to request permits ahead, right after one was taken.

        A permit that is unlikely to be used takes a part of the allowance and
        expires.
        """
        wanted = self.taken.per_second(now) * _AHEAD_SECONDS
        return wanted >= 1 and len(self.expiries) * 2 < wanted
