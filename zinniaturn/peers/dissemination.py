"""
Spread of revisions: who is told, and who is asked, as pure functions.

The spread is an epidemic: whoever gets a revision tells a few others at once,
and everybody compares positions with a few others all the time, so one that
was missed finds out by itself.

References: A. Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987.
"""

__all__ = ('choose_targets', 'is_behind')

import random
from collections.abc import Sequence

from zinniaturn.configuration.head import ChainPosition, Head
from zinniaturn.membership.domain import Member


def is_behind(held: Head, offered: ChainPosition) -> bool:
    """
    Return whether the content of an offered position is worth asking for.

    >>> is_behind(Head(), ChainPosition(1, 'ab'))
    True
    """
    return offered.revision > held.revision


def choose_targets(
    candidates: Sequence[Member],
    data_center: str,
    count: int,
    random_source: random.Random,
) -> list[Member]:
    """
    Return up to ``count`` members to talk to, half of them nearby.

    The first is of this data centre, if there is one, and the others are any.
    """
    nearby = [one for one in candidates if one.data_center == data_center]
    first = random_source.sample(nearby, min(1, len(nearby)))
    others = [one for one in candidates if one not in first]
    rest = min(count - len(first), len(others))
    return [*first, *random_source.sample(others, rest)]
