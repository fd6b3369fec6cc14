"""
Admission of callers' connections.

>>> admission = ConnectionAdmission(total=10, per_caller=1)
>>> admission.admit('192.0.2.1') is None
True
>>> admission.admit('192.0.2.1').value
'per-caller'
"""

__all__ = ('ConnectionAdmission',)

from collections import Counter
from dataclasses import dataclass, field

from zinniaturn.limits.names import LimitName


@dataclass(slots=True)
class ConnectionAdmission:
    """Counts open connections in total and by the caller's address."""

    total: int
    per_caller: int
    count: int = 0
    by_caller: Counter[str] = field(default_factory=Counter)

    def admit(self, caller: str) -> LimitName | None:
        """Count a connection, or return the limit that rejects it."""
        if self.count >= self.total:
            return LimitName.TOTAL
        if self.by_caller[caller] >= self.per_caller:
            return LimitName.PER_CALLER
        self.count += 1
        self.by_caller[caller] += 1
        return None

    def release(self, caller: str) -> None:
        """Count an admitted connection as closed."""
        self.count -= 1
        self.by_caller[caller] -= 1
        if not self.by_caller[caller]:
            self.by_caller.pop(caller)
