"""
Ranking of members by rendezvous hashing.

Every entry works out the same ranking from the same members, so a duty such as
watching the store falls to the same few without any agreement.

References: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

__all__ = ('is_selected', 'rank')

from collections.abc import Iterable

import xxhash


def rank(duty: str, names: Iterable[str]) -> list[str]:
    """
    Return the names in the order of their duty.

    >>> rank('watch', ['a', 'b']) == rank('watch', ['b', 'a'])
    True
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{duty}\n{name}'.encode()),
    )


def is_selected(
    duty: str,
    name: str,
    others: Iterable[str],
    seats: int,
) -> bool:
    """Return whether ``name`` is among the first ``seats`` of all."""
    return name in rank(duty, {name, *others})[:seats]
