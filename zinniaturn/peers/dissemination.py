"""
Pure functions that decide whom to gossip with and when to fetch a revision.

Revisions spread epidemically: an entry that installs one announces it to a few
peers at once (rumor mongering), and every entry periodically compares positions
with a few others (anti-entropy), so that an entry that was missed catches up.

References: A. Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987.
"""

__all__ = ('choose_targets', 'is_behind')

import random
from collections.abc import Sequence

from zinniaturn.configuration.head import ChainPosition, Head
from zinniaturn.membership.domain import Member


def is_behind(installed: Head, offered: ChainPosition) -> bool:
    """
    Return whether a peer's position is newer than the installed head.

    >>> is_behind(Head(), ChainPosition(1, 'ab'))
    True
    """
    return offered.revision > installed.revision


def choose_targets(
    candidates: Sequence[Member],
    data_center: str,
    count: int,
    random_source: random.Random,
) -> list[Member]:
    """
    Return up to ``count`` random members to gossip with.

    The first is of this data centre, if there is one; the others are of any.
    """
    nearby = [
        member for member in candidates if member.data_center == data_center
    ]
    first = random_source.sample(nearby, min(1, len(nearby)))
    others = [member for member in candidates if member not in first]
    rest = min(count - len(first), len(others))
    return [*first, *random_source.sample(others, rest)]
