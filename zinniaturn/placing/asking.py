"""
Whom to ask for its load before a request is sent.

What a VM learns from answers alone is seconds old, since it sees few requests
a second. So it asks a few servers right before it sends, and the others only
where none of those can serve the request soon.
"""

__all__ = ('Asking', 'Candidate')

import random
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaturn.fleet.domain import RegisteredServer
from zinniaturn.placing.memory import ServerMemory

_UNANSWERED_OUT = 2


@dataclass(slots=True)
class Candidate:
    """A server that a request may go to, and what is remembered of it."""

    registered: RegisteredServer
    memory: ServerMemory

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.registered.server.name


@dataclass(slots=True)
class Asking:
    """
    Picks servers to ask, at random and those in good standing first.

    ``first`` are asked at once and up to ``more`` further ones if the first
    bring nothing good.
    """

    source: random.Random
    first: int = 5
    more: int = 6

    def order(
        self,
        candidates: Sequence[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Return the servers in the order in which to ask them."""
        shuffled = list(candidates)
        self.source.shuffle(shuffled)
        shuffled.sort(key=lambda each: _standing(each.memory, now))
        return shuffled[: self.first + self.more]


def _standing(memory: ServerMemory, now: float) -> int:
    is_out = memory.out_until > now
    return is_out * 2 + (memory.unanswered >= _UNANSWERED_OUT)
