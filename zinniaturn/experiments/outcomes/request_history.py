"""Record of every request's attempts, outcomes and violated guarantees."""

__all__ = ('RequestHistory', 'Violation')

import enum
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field


class Violation(enum.Enum):
    """The guarantees that a run can violate."""

    DOUBLED = 'doubled'
    FALSE_NOT_RUN = 'false_not_run'
    WRONG_OR_SHORT = 'wrong_or_short'
    CUT_BY_STOP = 'cut_by_stop'


@dataclass
class RequestHistory:
    """
    The history of a run.

    ``executions`` holds the backend servers' counts by request id,
    ``in_flight`` the number of a request's attempts in flight.
    """

    executions: Counter[str] = field(default_factory=Counter)
    in_flight: Counter[str] = field(default_factory=Counter)
    rows: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list),
    )
    events: list[str] = field(default_factory=list)
    violations: dict[str, set[Violation]] = field(
        default_factory=lambda: defaultdict(set),
    )
    non_idempotent: set[str] = field(default_factory=set)
    requests: int = 0
    unknown: int = 0
    unanswered: int = 0
    last_outcomes: dict[str, str] = field(default_factory=dict)
    started_at: float = field(default_factory=time.monotonic)

    def record(self, request_id: str, text: str) -> None:
        """Add a line to the history of a request."""
        runs = self.executions[request_id]
        self.rows[request_id].append(
            f'{self._elapsed_text()} ran={runs} {text}'
        )

    def record_event(self, text: str) -> None:
        """Add a line to the history of the run."""
        self.events.append(f'{self._elapsed_text()} {text}')

    def add_violation(self, request_id: str, violation: Violation) -> None:
        """Record that a guarantee was violated for a request."""
        self.record(request_id, f'VIOLATION {violation.value}')
        self.violations[request_id].add(violation)

    def record_outcome(
        self, request_id: str, outcome: str, is_overlapping: bool
    ) -> None:
        """
        Record the outcome of an attempt; it is empty for a complete response.

        *Not run* is not checked if the caller had another attempt of the same
        request in flight, since the outcome doesn't cover that other attempt.
        """
        self.last_outcomes[request_id] = outcome
        if outcome == 'not-run' and not is_overlapping:
            if self.executions[request_id]:
                self.add_violation(request_id, Violation.FALSE_NOT_RUN)

    def check_final_counts(self) -> None:
        """Check the guarantees that need the final counts of executions."""
        for request_id, count in self.executions.items():
            if count > 1 and request_id in self.non_idempotent:
                self.add_violation(request_id, Violation.DOUBLED)
        for request_id, outcome in self.last_outcomes.items():
            if outcome == 'not-run' and self.executions[request_id]:
                self.add_violation(request_id, Violation.FALSE_NOT_RUN)

    def count(self, violation: Violation) -> int:
        """Return for how many requests a guarantee was violated."""
        return sum(
            violation in found_violations
            for found_violations in self.violations.values()
        )

    def format_text(self) -> str:
        """Return the history of the run and of requests with a violation."""
        lines = ['run:', *self.events]
        for request_id in self.violations:
            lines.append(f'{request_id}:')
            lines.extend(f'  {row}' for row in self.rows[request_id])
        return '\n'.join(lines)

    def _elapsed_text(self) -> str:
        return f'{time.monotonic() - self.started_at:9.3f}'
