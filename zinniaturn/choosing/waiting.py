"""
Requests that wait at the entry for room at a server.

A request is bound to a server as late as possible: waiting here it goes to
whichever server has room first, while waiting at a server it would stay
there.
"""

__all__ = ('Ticket', 'WaitingQueue')

from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from zinniaturn.choosing.server_state import ServerState


@dataclass(slots=True, eq=False)
class Ticket:
    """
    One request's claim for a server.

    ``deadline`` is in monotonic seconds. ``on_granted`` is called once a
    server was found for a request that had to wait. Servers in ``exclude``
    are used only where no other is available.
    """

    deadline: float
    exclude: Container[str] = ()
    on_granted: Callable[[], None] | None = None
    server: ServerState | None = field(default=None, init=False)
    joined_at: float = field(default=0, init=False)


class WaitingQueue:
    """Tickets in the order of their arrival."""

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
        """Take a ticket out, wherever it stands."""
        if ticket in self.tickets:
            self.tickets.remove(ticket)

    def first(self, now: float) -> Ticket | None:
        """Return the first ticket that is not late, dropping late ones."""
        while self.tickets:
            if self.tickets[0].deadline > now:
                return self.tickets[0]
            self.tickets.popleft()
        return None

    def unexpired(self, now: float) -> list[Ticket]:
        """Return the tickets that are not late, in their order."""
        return [ticket for ticket in self.tickets if ticket.deadline > now]
