"""
Load balancing policies, which choose among the available servers.

References
----------
.. [1] M. Mitzenmacher, "The power of two choices in randomized load
   balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
.. [2] M. Mitzenmacher, B. Prabhakar and D. Shah, "Load balancing with
   memory", FOCS, 2002.

"""

__all__ = (
    'EstimatedWait',
    'LeastInFlight',
    'Oracle',
    'Policy',
    'PowerOfTwo',
    'RandomChoice',
    'RoundRobin',
)

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from zinniaturn.choosing.estimates import PoolAverages, estimated_waits
from zinniaturn.choosing.server_state import ServerState

# Servers whose wait is above this multiple of the shortest are not chosen.
_MAX_WAIT_RATIO = 2.5
# Share of the other servers, the least recently used, whose waits are compared.
_COMPARED_SHARE = 0.25
_MIN_COMPARED = 2


class Policy(Protocol):
    """
    Chooses one of the available servers.

    A server gets a measuring request, within the measuring budget, once its
    last report is older than ``report_lifetime_seconds``.
    """

    report_lifetime_seconds: float

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return one of ``candidates``, of which there is at least one."""


class RandomChoice:
    """Chooses a server uniformly at random."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return a random candidate."""
        return self.random_source.choice(candidates)


class RoundRobin:
    """Chooses the servers in turn, starting at a random one."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, random_source: random.Random) -> None:
        self.start = random_source.random()
        self.last_names: list[str] = []

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the candidate after the last chosen one, by name."""
        ordered = sorted(candidates, key=_name)
        if not self.last_names:
            self.last_names.append(
                _name(ordered[int(self.start * len(ordered))])
            )
        chosen = next(
            (state for state in ordered if _name(state) > self.last_names[0]),
            ordered[0],
        )
        self.last_names[0] = _name(chosen)
        return chosen


class LeastInFlight:
    """Chooses the server with the fewest requests of this entry in flight."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the candidate with the least load, ties broken at random."""
        fewest = min(state.in_flight for state in candidates)
        least = [state for state in candidates if state.in_flight == fewest]
        return self.random_source.choice(least)


class PowerOfTwo:
    """Chooses the one with fewer requests of two random servers [1]_."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the less loaded of two random candidates."""
        pair = self.random_source.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda state: state.in_flight)


class EstimatedWait:
    """
    Chooses the shortest estimated wait among the least recently used servers.

    A recent report of a free slot is used for later choices [2]_; a server
    without a recent report counts as an average one. Servers with a much
    longer wait than the shortest one are excluded first. Of the others only the
    quarter with the fewest requests of this entry in flight is compared, ties
    going to the least recently used. This spreads the requests evenly and keeps
    the entries from all choosing the server that looks best to each of them.
    """

    report_lifetime_seconds: float = 1

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return a candidate with a short estimated wait."""
        waits = estimated_waits(candidates, averages, now)
        longest_wait = min(waits) * _MAX_WAIT_RATIO
        eligible = [
            _RankedCandidate(state, wait, self.random_source.random())
            for state, wait in zip(candidates, waits, strict=True)
            if wait <= longest_wait
        ]
        eligible.sort(key=_recent_use)
        fewest = min(len(eligible), _MIN_COMPARED)
        compared = max(fewest, math.ceil(len(eligible) * _COMPARED_SHARE))
        return min(eligible[:compared], key=_wait).state


class Oracle:
    """
    Chooses the server with the shortest true wait.

    ``true_wait`` uses each server's current state, which no entry can know; it
    is the upper bound for policies in tests and experiments.
    """

    report_lifetime_seconds: float = math.inf

    def __init__(
        self,
        true_wait: Callable[[ServerState], float],
        random_source: random.Random,
    ) -> None:
        self.true_wait = true_wait
        self.random_source = random_source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the candidate with the shortest true wait."""
        return min(
            candidates,
            key=lambda state: (
                self.true_wait(state),
                self.random_source.random(),
            ),
        )


@dataclass(slots=True)
class _RankedCandidate:
    """A candidate with its estimated wait and a random rank for ties."""

    state: ServerState
    wait: float
    rank: float


def _recent_use(ranked: _RankedCandidate) -> tuple[int, float, float]:
    return ranked.state.in_flight, ranked.state.sent_at, ranked.rank


def _wait(ranked: _RankedCandidate) -> float:
    return ranked.wait


def _name(state: ServerState) -> str:
    return state.server.name
