"""
Policies that choose among available servers.

References
----------
.. [1] M. Mitzenmacher, "The power of two choices in randomized load
   balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.

"""

__all__ = ('LeastInFlight', 'Policy', 'RandomChoice', 'policy_named')

import random
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Protocol

from zinniaturn.choosing.exceptions import UnknownPolicyError
from zinniaturn.choosing.server_state import ServerState


class Policy(Protocol):
    """Chooses one of the available servers."""

    def choose(
        self,
        candidates: Sequence[ServerState],
        now: float,
    ) -> ServerState:
        """Return one of ``candidates``, of which there is at least one."""


class RandomChoice:
    """Takes any server with the same chance."""

    def __init__(self, source: random.Random) -> None:
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        now: float,
    ) -> ServerState:
        """Return a random candidate."""
        return self.source.choice(candidates)


class LeastInFlight:
    """Takes the server with the fewest of this entry's own requests."""

    def __init__(self, source: random.Random) -> None:
        self.source = source

    def choose(
        self,
        candidates: Sequence[ServerState],
        now: float,
    ) -> ServerState:
        """Return the candidate with the least load, ties broken at random."""
        fewest = min(state.in_flight for state in candidates)
        least = [state for state in candidates if state.in_flight == fewest]
        return self.source.choice(least)


_POLICIES: Mapping[str, type[RandomChoice] | type[LeastInFlight]] = (
    MappingProxyType(
        {
            'random': RandomChoice,
            'least-in-flight': LeastInFlight,
        }
    )
)


def policy_named(name: str, source: random.Random) -> Policy:
    """Return the policy of this name; raises `UnknownPolicyError`."""
    if name not in _POLICIES:
        known = ', '.join(sorted(_POLICIES))
        raise UnknownPolicyError(f'no policy "{name}"; known are {known}')
    return _POLICIES[name](source)
