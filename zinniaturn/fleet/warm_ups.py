"""
When the warm-ups end that the entries of servers announce.

An entry tells the rest of the warm-up as of when it was written, and may be
read again unchanged for a while. So a rest counts from when it is first read,
and again only if it has grown. What is passed on to other VMs is what is left.

Work: a comparison for each server of a snapshot, and a number of memory for
each that is cold or was a moment ago.
"""

__all__ = ('WarmUps',)

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaturn.fleet.domain import RegisteredServer


@dataclass(slots=True)
class WarmUps:
    """The ends of warm-ups by server, by the boot clock."""

    ends: dict[str, float] = field(default_factory=dict)

    def learn(
        self,
        previous: Mapping[str, RegisteredServer],
        servers: Iterable[RegisteredServer],
        now: float,
    ) -> tuple[str, ...]:
        """
        Apply the servers of a snapshot.

        Returns those of the ``previous`` ones whose running processes have
        become cold.
        """
        self.ends = {name: end for name, end in self.ends.items() if end > now}
        cooled = []
        for registered in servers:
            if not registered.warm_up_seconds:
                continue
            name = registered.server.name
            known = previous.get(name)
            if known is not None and known.started_ms != registered.started_ms:
                known = None
            if self._prolong(registered, known, now) and known is not None:
                cooled.append(name)
        return tuple(cooled)

    def end(self, server: str) -> float:
        """Return when a server's warm-up ends, minus infinity if it is warm."""
        return self.ends.get(server, float('-inf'))

    def seconds_left(self, server: str, now: float) -> float:
        """Return how long a server stays cold, 0 if it is warm."""
        return max(0, self.end(server) - now)

    def _prolong(
        self,
        registered: RegisteredServer,
        known: RegisteredServer | None,
        now: float,
    ) -> bool:
        """Apply the rest that an entry tells; return whether it is longer."""
        seconds = registered.warm_up_seconds
        if known is not None and seconds <= known.warm_up_seconds:
            return False
        name = registered.server.name
        if now + seconds <= self.ends.get(name, now):
            return False
        self.ends[name] = now + seconds
        return True
