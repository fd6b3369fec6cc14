"""
Order of the store's revisions, also across its eras.

The store counts its changes by a revision. When it comes back from a copy that
is some seconds old its era rises by one, and the revision goes back and is
given out again. Both are kept in one number, so that a later state of the store
always has the higher one; with era 0 that is the store's revision itself.
"""

__all__ = ('era_of', 'join_revision', 'number_of')

_NUMBER_BITS = 40


def join_revision(era: int, number: int) -> int:
    """
    Return the revision for the store's era and its own number.

    >>> join_revision(2, 7) > join_revision(1, 900)
    True
    """
    return (era << _NUMBER_BITS) + number


def era_of(revision: int) -> int:
    """
    Return the era of a revision.

    >>> era_of(join_revision(3, 7)), number_of(join_revision(3, 7))
    (3, 7)
    """
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & ((1 << _NUMBER_BITS) - 1)
