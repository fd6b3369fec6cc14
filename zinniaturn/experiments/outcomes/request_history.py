"""What every request was told, and whether it was true."""

__all__ = ('RequestHistory', 'Violation')

import enum
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field


class Violation(enum.Enum):
    """A broken promise."""

    DOUBLED = 'doubled'
    FALSE_NOT_RUN = 'false_not_run'
    WRONG_OR_SHORT = 'wrong_or_short'
    CUT_BY_STOP = 'cut_by_stop'


@dataclass
class RequestHistory:
    """
    The history of a run.

    ``executions`` is what the backend servers count, by request id.
    ``in_flight`` counts the tries of a request that are under way.
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
        """Note a broken promise."""
        self.record(request_id, f'VIOLATION {violation.value}')
        self.violations[request_id].add(violation)

    def record_outcome(
        self, request_id: str, outcome: str, is_overlapping: bool
    ) -> None:
        """
        Note what a try of a request was told; nothing for a whole answer.

        A try that is told *not run* while the caller itself has another one
        under way says nothing of that other one.
        """
        self.last_outcomes[request_id] = outcome
        if outcome == 'not-run' and not is_overlapping:
            if self.executions[request_id]:
                self.add_violation(request_id, Violation.FALSE_NOT_RUN)

    def check_final_counts(self) -> None:
        """Look for what shows only at the end."""
        for request_id, count in self.executions.items():
            if count > 1 and request_id in self.non_idempotent:
                self.add_violation(request_id, Violation.DOUBLED)
        for request_id, outcome in self.last_outcomes.items():
            if outcome == 'not-run' and self.executions[request_id]:
                self.add_violation(request_id, Violation.FALSE_NOT_RUN)

    def count(self, violation: Violation) -> int:
        """Return how many requests a promise was broken to."""
        return sum(
            violation in found_violations
            for found_violations in self.violations.values()
        )

    def format_text(self) -> str:
        """Return the history of the run and of every wronged request."""
        lines = ['run:', *self.events]
        for request_id in self.violations:
            lines.append(f'{request_id}:')
            lines.extend(f'  {row}' for row in self.rows[request_id])
        return '\n'.join(lines)

    def _elapsed_text(self) -> str:
        return f'{time.monotonic() - self.started_at:9.3f}'
