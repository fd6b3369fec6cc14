"""
Whether an entry puts an offered revision in force.

A pure decision, which the model check drives too. An entry only ever moves
along its own history: to a higher revision that descends from the one it has.
"""

__all__ = ('HeadComparison', 'compare_heads')

import enum

from zinniaturn.configuration.head import Head


class HeadComparison(enum.Enum):
    """What an offered head is to the one held."""

    INSTALL = 'install'
    SAME = 'same'
    OLDER = 'older'
    FORKED = 'forked'
    EMPTY = 'empty'


def compare_heads(held: Head, offered: Head) -> HeadComparison:
    """
    Return what to do with ``offered`` where ``held`` is in force.

    A held revision older than the offered head's known steps counts as its
    ancestor, since nothing can tell any more.

    >>> compare_heads(Head(), Head())
    <HeadComparison.EMPTY: 'empty'>
    """
    if not offered.revision:
        return HeadComparison.EMPTY
    if not held.revision:
        return HeadComparison.INSTALL
    if offered.revision > held.revision:
        return _judge_higher(held, offered)
    if held.chain_at(offered.revision) not in {None, offered.chain}:
        return HeadComparison.FORKED
    if offered.revision == held.revision:
        return HeadComparison.SAME
    return HeadComparison.OLDER


def _judge_higher(held: Head, offered: Head) -> HeadComparison:
    known = offered.chain_at(held.revision)
    if known is None or known == held.chain:
        return HeadComparison.INSTALL
    if held.position in offered.merged:
        return HeadComparison.INSTALL
    return HeadComparison.FORKED
