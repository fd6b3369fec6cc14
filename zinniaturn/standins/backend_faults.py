"""What can be wrong with a stand-in of a backend server."""

__all__ = ('BackendFaults', 'NeighbourNoise', 'ServiceTime')

import random
from dataclasses import dataclass

_SHORTEST_BURST_SECONDS = 0.005
_LONGEST_BURST_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Service times: lognormal around a median in seconds."""

    median_seconds: float = 0.005
    sigma: float = 0.5

    def draw(self, source: random.Random) -> float:
        """Return one service time in seconds."""
        return self.median_seconds * source.lognormvariate(0, self.sigma)


@dataclass(slots=True)
class BackendFaults:
    """
    What is wrong with the server at the moment.

    ``slowdown`` multiplies service times. ``noise_share`` is the share of
    time in which a neighbour halves the server's speed. ``cold_seconds`` is
    how long a start at ``cold_slowdown`` times the service time takes to wear
    off. ``lag_seconds`` is the age of what the load and health endpoints say.
    ``is_lost`` closes every connection without an answer.
    """

    slowdown: float = 1
    noise_share: float = 0
    cold_seconds: float = 0
    cold_slowdown: float = 4
    lag_seconds: float = 0
    fail_fast: bool = False
    shed: bool = False
    draining: bool = False
    is_lost: bool = False


class NeighbourNoise:
    """
    Bursts of 5 to 50 ms in which a neighbour halves the server's speed.

    The bursts follow from the seed alone; times are seconds since the start.
    """

    def __init__(self, share: float, source: random.Random) -> None:
        self.share = share
        self.source = source
        self.begins: float = 0
        self.ends: float = 0
        self._advance()

    def stretch(self, start: float, work_seconds: float) -> float:
        """Return how long work that begins at ``start`` takes."""
        now = start
        left = work_seconds
        begins, ends = self._burst_at(now)
        if now < begins:
            quiet = min(left, begins - now)
            now += quiet
            left -= quiet
        noisy = min(left * 2, max(0, ends - now))
        now += noisy
        left -= noisy / 2
        return now + left - start

    def _burst_at(self, now: float) -> tuple[float, float]:
        while self.ends <= now:
            self._advance()
        return self.begins, self.ends

    def _advance(self) -> None:
        length = self.source.uniform(
            _SHORTEST_BURST_SECONDS,
            _LONGEST_BURST_SECONDS,
        )
        mean = (_SHORTEST_BURST_SECONDS + _LONGEST_BURST_SECONDS) / 2
        gap = mean * (1 - self.share) / self.share
        self.begins = self.ends + self.source.expovariate(1 / gap)
        self.ends = self.begins + length
