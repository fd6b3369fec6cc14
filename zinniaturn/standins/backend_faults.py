"""Injectable faults and service times of the simulated backend server."""

__all__ = ('BackendFaults', 'NoisyNeighbour', 'ServiceTime')

import random
from dataclasses import dataclass

_MIN_BURST_SECONDS = 0.005
_MAX_BURST_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Lognormal distribution of service times around a median."""

    median_seconds: float = 0.005
    sigma: float = 0.5

    def draw(self, random_source: random.Random) -> float:
        """Draw one service time in seconds."""
        return self.median_seconds * random_source.lognormvariate(0, self.sigma)


@dataclass(slots=True)
class BackendFaults:
    """
    Faults of the server that are active now.

    ``slowdown`` multiplies service times. ``noise_share`` is the share of
    time in which a noisy neighbour halves the server's speed. After a cold
    start service times are multiplied by ``cold_slowdown``, a factor that
    falls linearly to 1 within ``cold_seconds``. ``lag_seconds`` is the age of
    the state that the load and health endpoints report. ``is_lost`` closes
    every connection without a response.
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


class NoisyNeighbour:
    """
    Bursts of 5 to 50 ms in which a noisy neighbour halves the server's speed.

    The bursts depend on the seed alone; times are in seconds since the
    server's start.
    """

    def __init__(self, share: float, random_source: random.Random) -> None:
        self.share = share
        self.random_source = random_source
        self.burst_start: float = 0
        self.burst_end: float = 0
        self._draw_next_burst()

    def elapsed_seconds(self, start: float, service_seconds: float) -> float:
        """Return how long a request that starts at ``start`` takes."""
        now = start
        remaining_seconds = service_seconds
        burst_start, burst_end = self._advance_to(now)
        if now < burst_start:
            undisturbed_seconds = min(remaining_seconds, burst_start - now)
            now += undisturbed_seconds
            remaining_seconds -= undisturbed_seconds
        disturbed_seconds = min(remaining_seconds * 2, max(0, burst_end - now))
        now += disturbed_seconds
        remaining_seconds -= disturbed_seconds / 2
        return now + remaining_seconds - start

    def _advance_to(self, now: float) -> tuple[float, float]:
        while self.burst_end <= now:
            self._draw_next_burst()
        return self.burst_start, self.burst_end

    def _draw_next_burst(self) -> None:
        burst_seconds = self.random_source.uniform(
            _MIN_BURST_SECONDS,
            _MAX_BURST_SECONDS,
        )
        mean_burst_seconds = (_MIN_BURST_SECONDS + _MAX_BURST_SECONDS) / 2
        mean_gap_seconds = mean_burst_seconds * (1 - self.share) / self.share
        self.burst_start = self.burst_end + self.random_source.expovariate(
            1 / mean_gap_seconds
        )
        self.burst_end = self.burst_start + burst_seconds
