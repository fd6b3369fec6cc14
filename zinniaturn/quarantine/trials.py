"""
Whose turn it is to try a held request again.

Time is divided into short turns, and in each one VM of the fleet may run the
request. So no two VMs try it at once, without a message: all VMs know the same
time of the last crash and nearly the same VMs.
"""

__all__ = ('TURN_SECONDS', 'is_turn_of')

import math
import zlib
from collections.abc import Iterable

from zinniaturn.quarantine.request_key import RequestKey

# A crash is known to the whole fleet within a turn.
TURN_SECONDS = 0.5
# At its edges VMs may disagree about the turn.
_EDGE_SECONDS = 0.1


def is_turn_of(
    vm: str, others: Iterable[str], key: RequestKey, seconds: float
) -> bool:
    """
    Return whether a VM may try a request ``seconds`` after its hold has ended.

    Work: a checksum of each VM's name, once for each copy of a held request
    that comes after the hold has ended.

    >>> vms = ['vm-1', 'vm-2', 'vm-3']
    >>> [vm for vm in vms if is_turn_of(vm, vms, key=7, seconds=0.2)]
    ['vm-3']
    >>> [vm for vm in vms if is_turn_of(vm, vms, key=7, seconds=0.01)]
    []
    """
    turn, in_turn = divmod(seconds, TURN_SECONDS)
    if not _EDGE_SECONDS <= in_turn <= TURN_SECONDS - _EDGE_SECONDS:
        return False
    label = b'%d/%d/' % (key, math.floor(turn))

    def rank(name: str) -> tuple[int, str]:
        return zlib.crc32(label + name.encode()), name

    own_rank = rank(vm)
    return all(rank(other) >= own_rank for other in others)
