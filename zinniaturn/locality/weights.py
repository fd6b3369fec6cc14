"""What it counts for that a request leaves its data centre."""

__all__ = ('LocalityWeights',)

from dataclasses import dataclass

# Seconds that a megabyte between data centres counts as. A request that brings
# 100 KB is thus served elsewhere where that saves its caller 4 ms.
_SECONDS_PER_MEGABYTE = 0.04
# Seconds that a second on the way counts as.
_SECONDS_PER_WAY_SECOND = 1.0
# The round trip to another data centre beyond one inside, until it is measured.
_WAY_SECONDS = 0.004


@dataclass(frozen=True, slots=True)
class LocalityWeights:
    """
    The weights of the way to other data centres and of bytes on it, in seconds.

    A second on the way counts as ``seconds_per_way_second`` and a megabyte as
    ``seconds_per_megabyte``. ``way_seconds`` is the round trip to another data
    centre beyond one inside, where none has been measured.
    """

    seconds_per_megabyte: float = _SECONDS_PER_MEGABYTE
    seconds_per_way_second: float = _SECONDS_PER_WAY_SECOND
    way_seconds: float = _WAY_SECONDS
