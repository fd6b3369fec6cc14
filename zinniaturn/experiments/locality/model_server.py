"""A backend server of the model, with slots and noisy neighbours."""

__all__ = ('ModelServer', 'ServerTraits')

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

from zinniaturn.choosing.reports import LoadReport

_CROWDED_SHARE = 0.8
_CROWDED_FACTOR = 1.6
_MOST_WAITING = 6
_SPREAD = 0.25


@dataclass(frozen=True, slots=True)
class ServerTraits:
    """
    How a server behaves.

    ``slowness`` multiplies all service times. A noisy server is ``noise`` times
    slower for ``noise_seconds``, for ``noise_share`` of the time. A lying one
    reports that it is idle and fast. The load that it reports was its own
    ``delay_seconds`` before.
    """

    slots: int = 3
    slowness: float = 1.0
    noise: float = 1.0
    noise_share: float = 0
    noise_seconds: float = 0.3
    is_lying: bool = False
    is_dead: bool = False
    delay_seconds: float = 0


@dataclass(slots=True)
class ModelServer:
    """
    Runs requests in its slots and lets a few more wait.

    The more of its slots are busy, the longer requests take. A request keeps
    the slowness that the server has when it begins.
    """

    name: str
    data_center: str
    traits: ServerTraits
    random_source: random.Random
    busy: int = 0
    probes: int = 0
    waiting: deque['asyncio.Future[None]'] = field(default_factory=deque)
    history: deque[tuple[float, LoadReport]] = field(default_factory=deque)
    phase: float = field(init=False)

    def __post_init__(self) -> None:
        """Begin the noise at a random moment."""
        self.phase = self.random_source.uniform(0, 10)

    async def run(self, service_seconds: float) -> bool:
        """Run a request; return whether the server took it."""
        loop = asyncio.get_running_loop()
        if self.busy >= self.traits.slots:
            if len(self.waiting) >= _MOST_WAITING:
                return False
            turn = loop.create_future()
            self.waiting.append(turn)
            self._record(loop.time())
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self.waiting:
                    self.waiting.remove(turn)
                elif not turn.cancelled():
                    self._free()
                raise
        else:
            self.busy += 1
        self._record(loop.time())
        try:
            await asyncio.sleep(
                service_seconds
                * self.slowness(loop.time())
                * self._crowd_factor()
                * self.random_source.uniform(1 - _SPREAD, 1 + _SPREAD)
            )
        finally:
            self._free()
            self._record(loop.time())
        return True

    def report(self, now: float) -> LoadReport:
        """Return the load that the server reports."""
        traits = self.traits
        if traits.is_lying:
            return LoadReport(0, 0, traits.slots)
        if not traits.delay_seconds:
            return self._report(now)
        reported_at = now - traits.delay_seconds
        while len(self.history) > 1 and self.history[1][0] <= reported_at:
            self.history.popleft()
        if self.history and self.history[0][0] <= reported_at:
            return self.history[0][1]
        return LoadReport(0, 0, traits.slots)

    def slowness(self, now: float) -> float:
        """Return the factor by which the server's VM is slow."""
        traits = self.traits
        if not traits.noise_share:
            return traits.slowness
        period = traits.noise_seconds / traits.noise_share
        if (now + self.phase) % period < traits.noise_seconds:
            return traits.slowness * traits.noise
        return traits.slowness

    def _crowd_factor(self) -> float:
        is_crowded = self.busy / self.traits.slots > _CROWDED_SHARE
        return _CROWDED_FACTOR if is_crowded else 1

    def _free(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1

    def _report(self, now: float) -> LoadReport:
        return LoadReport(
            self.busy, len(self.waiting), self.traits.slots, self.slowness(now)
        )

    def _record(self, now: float) -> None:
        if self.traits.delay_seconds:
            self.history.append((now, self._report(now)))
