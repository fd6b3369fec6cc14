"""
Keeps the latest decisions of an entry in bounded memory.

>>> from zinniaturn.explain.decisions import RevisionInstalled
>>> log = DecisionLog()
>>> log.record(RevisionInstalled(7))
>>> [decision.revision for decision in log.decisions()]
[7]
"""

__all__ = ('DecisionLog', 'NullRecorder', 'Recorder')

import time
from collections import deque
from collections.abc import Callable, Iterator
from heapq import merge
from operator import attrgetter
from typing import Protocol

from zinniaturn.explain.decisions import Decision

_MAX_REQUEST_DECISIONS = 20_000
_MAX_OTHER_DECISIONS = 4000


class Recorder(Protocol):
    """Accepts decisions; implementations neither raise nor block."""

    def record(self, decision: Decision) -> None:
        """Record a decision."""


class NullRecorder:
    """Discards every decision."""

    def record(self, decision: Decision) -> None:
        """Do nothing."""


class DecisionLog:
    """
    A bounded in-memory log of the latest decisions.

    Decisions on requests and all others have separate limits, so that a burst
    of requests does not evict the reason why a server was ejected. ``now``
    returns seconds since the epoch.
    """

    def __init__(
        self,
        request_limit: int = _MAX_REQUEST_DECISIONS,
        other_limit: int = _MAX_OTHER_DECISIONS,
        now: Callable[[], float] = time.time,
    ) -> None:
        self.now = now
        self.request_decisions: deque[Decision] = deque(maxlen=request_limit)
        self.other_decisions: deque[Decision] = deque(maxlen=other_limit)

    def record(self, decision: Decision) -> None:
        """Record a decision; at the limit, evict the oldest of its kind."""
        if decision.is_about_request and not self.request_decisions.maxlen:
            return
        decision.at = self.now()
        if decision.is_about_request:
            self.request_decisions.append(decision)
        else:
            self.other_decisions.append(decision)

    def decisions(self) -> Iterator[Decision]:
        """Return all recorded decisions, the oldest first."""
        return merge(
            self.request_decisions, self.other_decisions, key=attrgetter('at')
        )
