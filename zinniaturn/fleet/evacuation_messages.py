"""
What VMs tell each other of evacuated data centres.

A row in each datagram identifies the names that its sender holds, in 20 bytes
at most. A part of each transferred state has the names themselves, whatever the
requester holds: the requests of landed builds can't tell what they hold of
them, and there are few.
"""

__all__ = (
    'EvacuationsPart',
    'EvacuationsRow',
    'evacuations_part',
    'evacuations_row',
)

from typing import Annotated

import msgspec

from zinniaturn.fleet.evacuations import (
    LONGEST_DATA_CENTER,
    MOST_EVACUATED,
    Evacuations,
    EvacuationsClaim,
    EvacuationsNews,
)
from zinniaturn.fleet.figures import Milliseconds, Revision

_MS_PER_SECOND = 1000
_MAX_TOLD_AGE_SECONDS = 1e6

_DataCenter = Annotated[str, msgspec.Meta(max_length=LONGEST_DATA_CENTER)]


class EvacuationsRow(msgspec.Struct, array_like=True, frozen=True):
    """
    The evacuated data centres that a datagram's sender holds.

    ``age_ms`` is the time since the store's were certain to be these.
    """

    revision: Revision
    digest: int
    age_ms: Milliseconds

    def claim(self, sent_at: float) -> EvacuationsClaim:
        """Return what is told, as of when the message was sent."""
        return EvacuationsClaim(
            self.revision,
            self.digest,
            sent_at - self.age_ms / _MS_PER_SECOND,
        )


class EvacuationsPart(msgspec.Struct, array_like=True, frozen=True):
    """
    The evacuated data centres that a transferred state's sender holds.

    They have a revision and an age of their own. ``kept`` are those that the
    store has lost, with the milliseconds for which they stay in force.
    """

    revision: Revision
    age_ms: Milliseconds
    names: Annotated[
        tuple[_DataCenter, ...], msgspec.Meta(max_length=MOST_EVACUATED)
    ]
    kept: Annotated[
        tuple[tuple[_DataCenter, Milliseconds], ...],
        msgspec.Meta(max_length=MOST_EVACUATED),
    ] = ()

    def news(self, sent_at: float) -> EvacuationsNews:
        """Return what is told, as of when the state was requested."""
        return EvacuationsNews(
            frozenset(self.names),
            self.revision,
            sent_at - self.age_ms / _MS_PER_SECOND,
            {name: left / _MS_PER_SECOND for name, left in self.kept},
        )


def evacuations_row(held: Evacuations) -> EvacuationsRow | None:
    """Return what to tell in a datagram, ``None`` for nothing."""
    if not (held.is_followed and held.is_known):
        return None
    return EvacuationsRow(held.revision, held.digest, _age_ms(held))


def evacuations_part(held: Evacuations) -> EvacuationsPart | None:
    """Return what to tell with a state, ``None`` for nothing."""
    if not (held.is_followed and held.is_known):
        return None
    kept = sorted(held.kept_seconds().items())
    return EvacuationsPart(
        held.revision,
        _age_ms(held),
        tuple(sorted(held.names)[:MOST_EVACUATED]),
        tuple(
            (name, round(seconds * _MS_PER_SECOND))
            for name, seconds in kept[:MOST_EVACUATED]
        ),
    )


def _age_ms(held: Evacuations) -> int:
    age = min(_MAX_TOLD_AGE_SECONDS, max(0, held.age_seconds))
    return round(age * _MS_PER_SECOND) + 1
