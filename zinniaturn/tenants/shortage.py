"""
Which of a tenant's requests get permits while it sends more than it may.

The load that this answers: a tenant sends several times its allowance, and the
callers that were refused return. Each permit goes to some request, so one that
is given to a request whose objective has passed makes another one late or
refuses it. While permits were refused lately, those that can't be in time get
none.
"""

__all__ = ('AllowanceShortage',)

from dataclasses import dataclass

# A VM refuses several of such a tenant's requests in this time.
_SHORTAGE_SECONDS = 0.3


@dataclass(slots=True)
class AllowanceShortage:
    """
    Whether a VM has refused a tenant's request that could be in time.

    ``until`` is by the boot clock, and ``is_on`` is unset once it is over, so
    that most requests need no further look.

    >>> shortage = AllowanceShortage()
    >>> shortage.bars(is_late=True, now=10)
    False
    >>> shortage.note_refused(now=10)
    >>> shortage.bars(is_late=True, now=10.2)
    True
    >>> shortage.bars(is_late=False, now=10.2)
    False
    >>> shortage.bars(is_late=True, now=10.3)
    False
    """

    until: float = float('-inf')
    is_on: bool = False

    def bars(self, *, is_late: bool, now: float) -> bool:
        """Return whether a request is to be refused without a permit."""
        self.is_on = now < self.until
        return is_late and self.is_on

    def note_refused(self, now: float) -> None:
        """Record that there was no permit for a request in time."""
        self.until = now + _SHORTAGE_SECONDS
        self.is_on = True
