"""Arranges the servers of the own and of other data centres into rounds."""

__all__ = ('arrange_sides', 'own_in_mixed_round')

from collections.abc import Mapping, Sequence
from itertools import islice
from types import MappingProxyType
from typing import TypeVar

from zinniaturn.locality.decision import SearchStart

Item = TypeVar('Item')

# One in this many servers of a round of both sides is an own one.
_OWN_PART = 3
# The number of rounds of own servers only.
_OWN_ROUNDS: Mapping[SearchStart, int] = MappingProxyType(
    {
        SearchStart.ELSEWHERE: 0,
        SearchStart.BOTH_SIDES: 0,
        SearchStart.OWN_FIRST: 1,
        SearchStart.OWN_TWICE: 2,
    }
)


def own_in_mixed_round(size: int) -> int:
    """
    Return how many own servers a round of both sides probes.

    >>> [own_in_mixed_round(size) for size in (1, 2, 3, 5, 6)]
    [0, 1, 1, 2, 2]
    """
    return (size + 1) // _OWN_PART


def arrange_sides(
    own: Sequence[Item],
    others: Sequence[Item],
    sizes: Sequence[int],
    start: SearchStart,
) -> list[Item]:
    """
    Return servers in the order of rounds of these sizes.

    ``own`` and ``others`` are in the order in which they should be used. Where
    one side has too few servers left, the other one fills the round.

    >>> arrange_sides('abcdef', 'UVWXYZ', (3, 3), SearchStart.OWN_FIRST)
    ['a', 'b', 'c', 'U', 'V', 'W']
    >>> arrange_sides('abcdef', 'UVWXYZ', (3, 3), SearchStart.BOTH_SIDES)
    ['a', 'U', 'V', 'b', 'W', 'X']
    >>> arrange_sides('a', 'UVWXYZ', (3, 3), SearchStart.OWN_FIRST)
    ['a', 'U', 'V', 'W', 'X', 'Y']
    """
    arranged: list[Item] = []
    left_own = iter(own)
    left_others = iter(others)
    own_rounds = _OWN_ROUNDS[start]
    for number, size in enumerate(sizes):
        end = len(arranged) + size
        if number < own_rounds:
            wanted = size
        elif number == own_rounds and start is not SearchStart.BOTH_SIDES:
            wanted = 0
        else:
            wanted = own_in_mixed_round(size)
        arranged.extend(islice(left_own, wanted))
        arranged.extend(islice(left_others, end - len(arranged)))
        arranged.extend(islice(left_own, end - len(arranged)))
    return arranged
