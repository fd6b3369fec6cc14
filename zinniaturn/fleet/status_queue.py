"""Queue of the news that are passed on with the next messages."""

__all__ = ('StatusQueue',)

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

_TRANSMISSIONS_PER_DOUBLING = 2.0
_MIN_TRANSMISSIONS = 3


NewsName = TypeVar('NewsName', bound=Hashable)


@dataclass(slots=True)
class StatusQueue(Generic[NewsName]):
    """
    Names of what has changed, such as VMs, with the transmissions left for
    each.

    News are sent a number of times that grows with the logarithm of the
    fleet's size. The messages in which it is sent are those that go out anyway,
    so a change costs each VM a few dozen bytes and no message.

    >>> queue = StatusQueue()
    >>> queue.add('vm-1', fleet_size=2)
    >>> [queue.take(4) for _ in range(5)]
    [['vm-1'], ['vm-1'], ['vm-1'], ['vm-1'], []]
    """

    remaining: 'OrderedDict[NewsName, int]' = field(default_factory=OrderedDict)

    def add(self, name: NewsName, fleet_size: int) -> None:
        """Queue a change, the first to be sent."""
        self.remaining[name] = _transmissions(fleet_size)
        self.remaining.move_to_end(name, last=False)

    def take(self, most: int) -> list[NewsName]:
        """Return at most ``most`` names for one message."""
        names = []
        for _ in range(min(most, len(self.remaining))):
            name, count = self.remaining.popitem(last=False)
            names.append(name)
            if count > 1:
                self.remaining[name] = count - 1
        return names


def _transmissions(fleet_size: int) -> int:
    doublings = math.log2(fleet_size + 1)
    return max(
        _MIN_TRANSMISSIONS, math.ceil(doublings * _TRANSMISSIONS_PER_DOUBLING)
    )
