"""
Whether an entry puts an offered revision in force.

A pure decision, which the model check drives too. An entry only ever moves
along its own history: to a higher revision that descends from the one it has.
"""

__all__ = ('Judgement', 'judge')

import enum

from zinniaturn.configuration.head import Head


class Judgement(enum.Enum):
    """What an offered head is to the one held."""

    INSTALL = 'install'
    SAME = 'same'
    OLDER = 'older'
    FORKED = 'forked'
    EMPTY = 'empty'


def judge(held: Head, offered: Head) -> Judgement:
    """
    Return what to do with ``offered`` where ``held`` is in force.

    A held revision older than the offered head's known steps counts as its
    ancestor, since nothing can tell any more.

    >>> judge(Head(), Head())
    <Judgement.EMPTY: 'empty'>
    """
    if not offered.revision:
        return Judgement.EMPTY
    if not held.revision:
        return Judgement.INSTALL
    if offered.revision > held.revision:
        return _judge_higher(held, offered)
    if held.chain_at(offered.revision) not in {None, offered.chain}:
        return Judgement.FORKED
    if offered.revision == held.revision:
        return Judgement.SAME
    return Judgement.OLDER


def _judge_higher(held: Head, offered: Head) -> Judgement:
    known = offered.chain_at(held.revision)
    if known is None or known == held.chain:
        return Judgement.INSTALL
    if held.position in offered.merged:
        return Judgement.INSTALL
    return Judgement.FORKED
