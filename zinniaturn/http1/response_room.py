"""
Room for the responses that servers are sending.

A response that states its length waits unread until there is room for all of
it, in the order of arrival, and holds none while it waits. So responses in part
never keep each other waiting. Small ones never wait.
"""

__all__ = ('ResponseRoom',)

from dataclasses import dataclass

from zinniaturn.http1.byte_budget import ByteBudget
from zinniaturn.http1.sending import SendingProtocol

_SMALL_BYTES = 64 * 1024
# A response without a stated length that holds less than this share of all the
# bytes may exceed them, as otherwise two such could wait for each other.
_LARGE_SHARE = 0.125


@dataclass(slots=True, eq=False)
class ResponseRoom:
    """What the response of one connection holds of the process's bytes."""

    budget: ByteBudget
    connection: SendingProtocol
    held: int = 0
    wanted: int = 0

    def reserve(self, length: int) -> None:
        """Take room for a whole response, or wait for it."""
        if length <= _SMALL_BYTES or length > self.budget.most:
            return
        if self.budget.waiting or not self.budget.take(length):
            self.wanted = length
            self.budget.waiting.append(self)
            if self.connection.transport is not None:
                self.connection.transport.pause_reading()
        else:
            self.held = length

    def hold(self, size: int) -> bool:
        """Count a response of this size so far; return whether it may go on."""
        if size <= self.held:
            return True
        budget = self.budget
        budget.hold(size - self.held)
        self.held = size
        if budget.excess and budget.make_room is not None:
            budget.make_room(0)
        is_large = size > budget.most * _LARGE_SHARE
        if budget.excess and is_large:
            budget.refused += 1
            return False
        return True

    def release(self) -> None:
        """Give back what is held, and wait no more."""
        held = self.held
        self.held = 0
        if self.wanted:
            self.wanted = 0
            self._read_on()
            # Those behind it may have waited for it alone.
            self.budget.admit_waiting()
        if held:
            self.budget.give_back(held)

    def enter(self) -> bool:
        """Return whether there is room, or it is not needed any more."""
        if not self.wanted:
            return True
        # Its first bytes may have come with its head.
        if not self.budget.take(max(0, self.wanted - self.held)):
            return False
        self.held = max(self.held, self.wanted)
        self.wanted = 0
        self._read_on()
        return True

    def _read_on(self) -> None:
        transport = self.connection.transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()
