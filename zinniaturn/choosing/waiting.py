"""
The queue of requests that wait at the entry for room at a server.

A request is bound to a server as late as possible: from this queue it goes to
the first server with room, while in a server's own queue it would have to wait
for that server.
"""

__all__ = ('Ticket', 'WaitingQueue')

from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from zinniaturn.choosing.server_state import ServerState


@dataclass(slots=True, eq=False)
class Ticket:
    """
    A request for a server on behalf of one caller's request.

    ``deadline`` is in monotonic seconds. ``on_granted`` is called when a
    queued ticket is assigned its ``server``. Servers in ``exclude`` are used
    only if no other is available.
    """

    deadline: float
    exclude: Container[str] = ()
    on_granted: Callable[[], None] | None = None
    server: ServerState | None = field(default=None, init=False)
    joined_at: float = field(default=0, init=False)


class WaitingQueue:
    """The queued tickets in the order of their arrival."""

    def __init__(self) -> None:
        self.tickets: deque[Ticket] = deque()

    def __len__(self) -> int:
        """Return the number of tickets."""
        return len(self.tickets)

    def add(self, ticket: Ticket, now: float) -> None:
        """Add a ticket at the end."""
        ticket.joined_at = now
        self.tickets.append(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from any position."""
        if ticket in self.tickets:
            self.tickets.remove(ticket)

    def first(self, now: float) -> Ticket | None:
        """Return the first unexpired ticket, removing the expired ones."""
        while self.tickets:
            if self.tickets[0].deadline > now:
                return self.tickets[0]
            self.tickets.popleft()
        return None

    def unexpired(self, now: float) -> list[Ticket]:
        """Return the unexpired tickets in their order."""
        return [ticket for ticket in self.tickets if ticket.deadline > now]
