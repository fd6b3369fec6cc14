"""
Assigns roles to members by rendezvous hashing.

All entries compute the same ranking from the same members, so a role such as
watching the store goes to the same few entries without any coordination.

References: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

__all__ = ('is_selected', 'rank_names')

from collections.abc import Iterable

import xxhash


def rank_names(role: str, names: Iterable[str]) -> list[str]:
    """
    Return the names in the order in which they take on a role.

    >>> rank_names('watch', ['a', 'b']) == rank_names('watch', ['b', 'a'])
    True
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{role}\n{name}'.encode()),
    )


def is_selected(
    role: str,
    name: str,
    others: Iterable[str],
    count: int,
) -> bool:
    """Return whether ``name`` is among the ``count`` members with a role."""
    return name in rank_names(role, {name, *others})[:count]
