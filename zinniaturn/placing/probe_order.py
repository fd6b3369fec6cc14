"""
Selects the servers to probe for a request.

Load reports that come with responses are seconds old, since each VM handles
few requests per second. So a VM probes a few servers right before it sends a
request, and further ones only where none of those can serve it soon.
"""

__all__ = ('ProbeEffort', 'ProbeOrder', 'ProbePlan')

import math
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import accumulate

from zinniaturn.locality.arrangement import arrange_sides
from zinniaturn.locality.decision import SearchStart
from zinniaturn.placing.candidates import (
    Candidate,
    is_poor_now,
    rate_report,
    unavailability_rank,
)

_MINIMAL_PROBES = 2
_QUIET_REQUESTS_PER_SECOND = 2.0


class ProbeEffort(Enum):
    """
    How many servers may be probed for one request.

    ``ALL_ROUNDS`` is for an ample budget, ``FIRST_ROUND`` for a smaller one and
    ``MINIMAL`` for one that is nearly used up. ``NO_PROBES`` is for a request
    that is late while others that can be in time need the probes.
    """

    ALL_ROUNDS = auto()
    FIRST_ROUND = auto()
    MINIMAL = auto()
    NO_PROBES = auto()


@dataclass(frozen=True, slots=True)
class ProbePlan:
    """
    The sizes of a request's rounds of probes, and how many servers are near.

    Each server that a VM probes costs it a connection, which is closed again
    when it is not used for some seconds. A VM that gets few requests therefore
    begins with one probe, to one of a few servers.
    """

    round_sizes: tuple[int, ...]
    near_count: int

    @classmethod
    def for_rate(cls, requests_per_second: float) -> 'ProbePlan':
        """Return the plan for a VM that gets this many requests."""
        if requests_per_second < _QUIET_REQUESTS_PER_SECOND:
            return cls((1, 2, 3, 5), 2)
        return cls((3, 3, 5), 8)


@dataclass(slots=True)
class ProbeOrder:
    """
    Orders servers for probing and splits them into small rounds.

    Responsive servers that are not ejected come first; among these the ones
    that had room and were fast in a recent report, then the near ones. Near are
    some servers of the VM's own data centre, always the same ones, so that
    connections to them stay open. Otherwise the order is random.

    Where a request's search begins on one side, the rounds take the servers of
    each side in this order. Servers that were full or slow in a recent report
    come after all others, also after those of other data centres.
    """

    random_source: random.Random
    vm: str
    data_center: str
    plan: ProbePlan = field(
        default_factory=lambda: ProbePlan.for_rate(math.inf)
    )

    def order(
        self,
        candidates: Sequence[Candidate],
        now: float,
        start: SearchStart | None = None,
    ) -> list[Candidate]:
        """
        Return the servers to probe, the first one first.

        ``start`` is ``None`` where data centres make no difference.
        """
        near = self._near_names(candidates)
        shuffled = list(candidates)
        self.random_source.shuffle(shuffled)
        shuffled.sort(
            key=lambda candidate: (
                unavailability_rank(candidate.stats, now),
                rate_report(candidate, now),
                candidate.name not in near,
            ),
        )
        if start is None:
            return shuffled[: sum(self.plan.round_sizes)]
        return self._arrange(shuffled, now, start)

    def rounds(
        self,
        order: Sequence[Candidate],
        probe_effort: ProbeEffort,
    ) -> list[Sequence[Candidate]]:
        """Split servers into the rounds that the probe effort allows."""
        match probe_effort:
            case ProbeEffort.ALL_ROUNDS:
                sizes = self.plan.round_sizes
            case ProbeEffort.FIRST_ROUND:
                sizes = self.plan.round_sizes[:1]
            case ProbeEffort.MINIMAL:
                sizes = (_MINIMAL_PROBES,)
            case ProbeEffort.NO_PROBES:
                sizes = ()
        ends = list(accumulate(sizes))
        starts = [0, *ends]
        spans = zip(starts, ends, strict=False)
        rounds = [order[start:end] for start, end in spans]
        return [group for group in rounds if group]

    def with_other_side(
        self,
        rounds: Sequence[Sequence[Candidate]],
        order: Sequence[Candidate],
    ) -> list[Sequence[Candidate]]:
        """
        Return the rounds and, if all are of own servers, one of others.

        So also a request that may probe few servers goes on elsewhere where
        the own data centre has no room.
        """
        if not rounds or any(
            not self.is_own(candidate)
            for group in rounds
            for candidate in group
        ):
            return list(rounds)
        others = [
            candidate for candidate in order if not self.is_own(candidate)
        ]
        group = others[: len(rounds[0])]
        return [*rounds, group] if group else list(rounds)

    def is_own(self, candidate: Candidate) -> bool:
        """Return whether a server is in the VM's own data centre."""
        return candidate.registered.server.data_center == self.data_center

    def _arrange(
        self, ordered: Sequence[Candidate], now: float, start: SearchStart
    ) -> list[Candidate]:
        sides: dict[tuple[bool, bool], list[Candidate]] = {
            (is_own, is_poor): []
            for is_own in (True, False)
            for is_poor in (True, False)
        }
        for candidate in ordered:
            is_poor = is_poor_now(candidate, now)
            sides[self.is_own(candidate), is_poor].append(candidate)
        sizes = self.plan.round_sizes
        most = sum(sizes)
        arranged = arrange_sides(
            sides[True, False][:most], sides[False, False][:most], sizes, start
        )
        poor = arrange_sides(
            sides[True, True][:most], sides[False, True][:most], sizes, start
        )
        return [*arranged, *poor][:most]

    def _near_names(self, candidates: Sequence[Candidate]) -> set[str]:
        own = [
            candidate.name for candidate in candidates if self.is_own(candidate)
        ]
        own.sort(key=lambda name: zlib.crc32(f'{self.vm} {name}'.encode()))
        return set(own[: self.plan.near_count])
