"""
Decides whether an entry installs an offered revision, as a pure function.

An entry only installs a higher revision that descends from the installed one.
The exhaustive model check tests this function too.
"""

__all__ = ('HeadComparison', 'compare_heads')

import enum

from zinniaturn.configuration.head import Head


class HeadComparison(enum.Enum):
    """Relation of an offered head to the installed one."""

    INSTALL = 'install'
    SAME = 'same'
    OLDER = 'older'
    FORKED = 'forked'
    EMPTY = 'empty'


def compare_heads(held: Head, offered: Head) -> HeadComparison:
    """
    Return how ``offered`` relates to ``held``, the installed head.

    A held revision older than the steps in the offered head counts as its
    ancestor, because its digest is no longer there to be compared.

    >>> compare_heads(Head(), Head())
    <HeadComparison.EMPTY: 'empty'>
    """
    if not offered.revision:
        return HeadComparison.EMPTY
    if not held.revision:
        return HeadComparison.INSTALL
    if offered.revision > held.revision:
        return _compare_newer(held, offered)
    if held.chain_at(offered.revision) not in {None, offered.chain}:
        return HeadComparison.FORKED
    if offered.revision == held.revision:
        return HeadComparison.SAME
    return HeadComparison.OLDER


def _compare_newer(held: Head, offered: Head) -> HeadComparison:
    known = offered.chain_at(held.revision)
    if known is None or known == held.chain:
        return HeadComparison.INSTALL
    if held.position in offered.merged:
        return HeadComparison.INSTALL
    return HeadComparison.FORKED
