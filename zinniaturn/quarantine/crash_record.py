"""What the fleet knows of the end of one server process."""

__all__ = ('SETTLING_SECONDS', 'CrashRecord', 'ServerProcess')

from dataclasses import dataclass, field
from typing import NamedTuple

from zinniaturn.quarantine.request_key import RequestKey

# A server runs as many requests at a time as it has slots, and few servers
# have as many; the rest of a longer list is dropped.
_MOST_KEYS = 32
_MOST_WITNESSES = 3
# One VM may have lost its own path to the server.
_WITNESSES_NEEDED = 2
# A crash that nobody contradicts for this time needs no second witness. VMs
# that hear of one and know better say so within it.
_UNCONFIRMED_SECONDS = 1.0
# By then all VMs have told which requests ran on the server.
SETTLING_SECONDS = 0.25


class ServerProcess(NamedTuple):
    """A process of a server; ``started_ms`` is the Unix time of its start."""

    server: str
    started_ms: int


@dataclass(slots=True)
class CrashRecord:
    """
    The end of a server process while it ran requests.

    ``ended_at`` is when this VM saw it or was first told, less the time since
    then, by its boot clock. ``keys`` are the requests that ran there, and
    ``witnesses`` the VMs that found that nobody listens any more. A process
    that has responded since did not end: ``is_refuted``.
    """

    process: ServerProcess
    ended_at: float
    keys: set[RequestKey] = field(default_factory=set)
    witnesses: set[str] = field(default_factory=set)
    is_refuted: bool = False

    @property
    def has_witnesses(self) -> bool:
        """Return whether enough VMs have seen the end for themselves."""
        return len(self.witnesses) >= _WITNESSES_NEEDED

    def is_confirmed(self, now: float) -> bool:
        """Return whether the fleet knows that it ended, and what ran there."""
        age = now - self.ended_at
        if self.is_refuted or age < SETTLING_SECONDS:
            return False
        return self.has_witnesses or age >= _UNCONFIRMED_SECONDS

    def merge(self, other: 'CrashRecord') -> bool:
        """Take over what another VM knows; return whether it knows more."""
        before = len(self.keys), len(self.witnesses), self.is_refuted
        for key in sorted(other.keys):
            if len(self.keys) < _MOST_KEYS:
                self.keys.add(key)
        for witness in sorted(other.witnesses):
            if len(self.witnesses) < _MOST_WITNESSES:
                self.witnesses.add(witness)
        self.is_refuted |= other.is_refuted
        return before != (len(self.keys), len(self.witnesses), self.is_refuted)
