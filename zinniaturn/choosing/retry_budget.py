"""A budget of repeated attempts as a share of successes."""

__all__ = ('RetryBudget',)

_MOST_SAVED = 50.0
_START = 3.0


class RetryBudget:
    """
    Each success earns a share of an attempt; a retry or hedge spends one.

    Under an outage successes stop and so do retries. What is saved is bounded.

    >>> budget = RetryBudget()
    >>> all(budget.spend() for _ in range(3)), budget.spend()
    (True, False)
    """

    def __init__(self) -> None:
        self.saved = _START
        self.spent = 0

    def earn(self, share: float) -> None:
        """Count a success that allows this share of an attempt."""
        self.saved = min(_MOST_SAVED, self.saved + share)

    def spend(self) -> bool:
        """Take one attempt; return whether there was one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        self.spent += 1
        return True
