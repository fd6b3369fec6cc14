"""
Consistent hashing of keys to VMs.

Each VM has some points on a ring of hashes; a key belongs to the VM of the next
point. When a VM comes or goes only the keys of its own points move. Finding a
key's VM takes time logarithmic in the number of VMs.
"""

__all__ = ('OwnerRing',)

import hashlib
from bisect import bisect_left, insort
from dataclasses import dataclass, field

_POINTS_PER_VM = 8
_HASH_BYTES = 8


@dataclass(slots=True)
class OwnerRing:
    """
    The VMs that own keys, by the hashes of their points.

    >>> ring = OwnerRing()
    >>> ring.owner('s-1') is None
    True
    >>> ring.add('vm-1')
    >>> ring.owner('s-1')
    'vm-1'
    """

    points: list[tuple[int, str]] = field(default_factory=list)

    def add(self, name: str) -> None:
        """Add a VM that is not on the ring."""
        for point in _points(name):
            insort(self.points, point)

    def discard(self, name: str) -> None:
        """Remove a VM if it is on the ring."""
        for point in _points(name):
            position = bisect_left(self.points, point)
            if self.points[position : position + 1] == [point]:
                self.points.pop(position)

    def owner(self, key: str) -> str | None:
        """Return the VM that owns a key, ``None`` if there are no VMs."""
        if not self.points:
            return None
        position = bisect_left(self.points, (_hash(key), ''))
        return self.points[position % len(self.points)][1]


def _points(name: str) -> list[tuple[int, str]]:
    return [
        (_hash(f'{name} {number}'), name) for number in range(_POINTS_PER_VM)
    ]


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest)
