"""
Policies that choose among available servers.

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

_BEARABLE_RATIO = 2.5
_COMPARED_SHARE = 0.25
_FEWEST_COMPARED = 2


class Policy(Protocol):
    """
    Chooses one of the available servers.

    A server is measured, within the budget, once its last report is older
    than ``report_lifetime_seconds``.
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
    """Takes any server with the same chance."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, source: random.Random) -> None:
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return a random candidate."""
        return self.source.choice(candidates)


class RoundRobin:
    """Takes the servers in turn, from a random start."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, source: random.Random) -> None:
        self.last = source.random()
        self.names: list[str] = []

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the candidate after the last one taken, by name."""
        ordered = sorted(candidates, key=_name)
        if not self.names:
            self.names.append(_name(ordered[int(self.last * len(ordered))]))
        taken = next(
            (state for state in ordered if _name(state) > self.names[0]),
            ordered[0],
        )
        self.names[0] = _name(taken)
        return taken


class LeastInFlight:
    """Takes the server with the fewest of this entry's own requests."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, source: random.Random) -> None:
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the candidate with the least load, ties broken at random."""
        fewest = min(state.in_flight for state in candidates)
        least = [state for state in candidates if state.in_flight == fewest]
        return self.source.choice(least)


class PowerOfTwo:
    """Takes the one with fewer own requests of two random servers [1]_."""

    report_lifetime_seconds: float = math.inf

    def __init__(self, source: random.Random) -> None:
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the less loaded of two random candidates."""
        pair = self.source.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda state: state.in_flight)


class EstimatedWait:
    """
    Takes the shortest estimated wait among the servers least used of late.

    A fresh report of a free slot is remembered and used [2]_; a server of
    which nothing fresh is known counts as an average one. Keeping to the
    quarter with the fewest own requests in flight, and of those to the ones
    not used for longest, spreads the requests evenly, and keeps entries from
    meeting at the server that looks best to all. Servers that are much slower
    than the best one are left out first.
    """

    report_lifetime_seconds: float = 1

    def __init__(self, source: random.Random) -> None:
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return a candidate with a short estimated wait."""
        waits = estimated_waits(candidates, averages, now)
        bearable = min(waits) * _BEARABLE_RATIO
        sound = [
            _Ranked(state, wait, self.source.random())
            for state, wait in zip(candidates, waits, strict=True)
            if wait <= bearable
        ]
        sound.sort(key=_recent_use)
        fewest = min(len(sound), _FEWEST_COMPARED)
        compared = max(fewest, math.ceil(len(sound) * _COMPARED_SHARE))
        return min(sound[:compared], key=_wait).state


class Oracle:
    """
    Takes the server with the shortest true wait.

    ``true_wait`` knows each server's state at this instant, which no entry
    can; it is the limit in tests and benches.
    """

    report_lifetime_seconds: float = math.inf

    def __init__(
        self,
        true_wait: Callable[[ServerState], float],
        source: random.Random,
    ) -> None:
        self.true_wait = true_wait
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        averages: PoolAverages,
        now: float,
    ) -> ServerState:
        """Return the candidate with the shortest true wait."""
        return min(
            candidates,
            key=lambda state: (self.true_wait(state), self.source.random()),
        )


@dataclass(slots=True)
class _Ranked:
    """A candidate with its estimated wait and a random rank for ties."""

    state: ServerState
    wait: float
    rank: float


def _recent_use(ranked: _Ranked) -> tuple[int, float, float]:
    return ranked.state.in_flight, ranked.state.sent_at, ranked.rank


def _wait(ranked: _Ranked) -> float:
    return ranked.wait


def _name(state: ServerState) -> str:
    return state.server.name
