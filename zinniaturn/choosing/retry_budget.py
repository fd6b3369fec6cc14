"""A retry budget that is a share of the successful requests."""

__all__ = ('RetryBudget',)

_MAX_BALANCE = 50.0
_INITIAL_BALANCE = 3.0


class RetryBudget:
    """
    Allows retries and hedges as a share of the successful requests.

    Each success deposits a share of an attempt; a retry or hedge withdraws one.
    In an outage successes stop, and so do retries. The balance is bounded.

    >>> budget = RetryBudget()
    >>> all(budget.try_withdraw() for _ in range(3)), budget.try_withdraw()
    (True, False)
    """

    def __init__(self) -> None:
        self.balance = _INITIAL_BALANCE
        self.withdrawn = 0

    def deposit(self, share: float) -> None:
        """Add the share of an attempt that a success allows."""
        self.balance = min(_MAX_BALANCE, self.balance + share)

    def try_withdraw(self) -> bool:
        """Take one attempt; return whether the balance allowed it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        self.withdrawn += 1
        return True
