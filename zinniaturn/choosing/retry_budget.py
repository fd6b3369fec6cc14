"""A budget of repeated attempts as a share of successes."""

__all__ = ('RetryBudget',)

_MOST_SAVED = 50.0
_START = 3.0


class RetryBudget:
    """
    Each success earns a share of an attempt; a retry or hedge spends one.

    Under an outage successes stop and so do retries. What is saved is bounded.

    >>> budget = RetryBudget()
    >>> all(budget.try_withdraw() for _ in range(3)), budget.try_withdraw()
    (True, False)
    """

    def __init__(self) -> None:
        self.balance = _START
        self.withdrawn = 0

    def deposit(self, share: float) -> None:
        """Count a success that allows this share of an attempt."""
        self.balance = min(_MOST_SAVED, self.balance + share)

    def try_withdraw(self) -> bool:
        """Take one attempt; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        self.withdrawn += 1
        return True
