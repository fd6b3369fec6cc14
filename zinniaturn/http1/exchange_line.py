"""The requests of one connection that are not answered yet, in order."""

__all__ = ('ExchangeLine',)

from collections import deque
from dataclasses import dataclass, field

from zinniaturn.http1.client_account import ClientAccount
from zinniaturn.http1.exchanges import CallerExchange

# What a request in work takes beside its bytes.
_EXCHANGE_BYTES = 8 * 1024


@dataclass(slots=True)
class ExchangeLine:
    """
    The exchanges of one connection, and what they hold.

    ``held_bytes`` are those of requests, and of responses that wait for an
    earlier one; ``response_bytes`` are the latter alone. ``in_work`` counts the
    requests without a response.
    """

    account: ClientAccount
    exchanges: deque[CallerExchange] = field(default_factory=deque)
    held_bytes: int = 0
    response_bytes: int = 0
    in_work: int = 0

    def may_start(self, unsent_bytes: int) -> bool:
        """
        Return whether another request may be parsed and started.

        ``unsent_bytes`` of responses have not been read by the client.
        """
        limits = self.account.limits
        if self.response_bytes + unsent_bytes > limits.response_bytes:
            return False
        if not self.exchanges:
            return True
        is_short = len(self.exchanges) < limits.requests
        return is_short and self.account.may_read_ahead

    def add(self, exchange: CallerExchange, request_bytes: int) -> None:
        """Add a request behind the others."""
        exchange.held_bytes = request_bytes + _EXCHANGE_BYTES
        self.held_bytes += exchange.held_bytes
        self.exchanges.append(exchange)

    def begin_work(self) -> None:
        """Count a request that is not answered at once."""
        self.in_work += 1
        self.account.in_work += 1

    def end_work(self, exchange: CallerExchange) -> bool:
        """
        Count the response of a request.

        Return whether it is still waited for: the connection may have ended.
        """
        if exchange not in self.exchanges:
            return False
        self._count_ended(1)
        size = exchange.response_bytes
        exchange.held_bytes += size
        self.held_bytes += size
        self.response_bytes += size
        return True

    def take_answered(self) -> CallerExchange | None:
        """Remove and return the first exchange if it has its response."""
        if not self.exchanges or self.exchanges[0].response is None:
            return None
        exchange = self.exchanges.popleft()
        self.held_bytes -= exchange.held_bytes
        if exchange.task is not None:
            self.response_bytes -= exchange.response_bytes
        return exchange

    def wake_first(self) -> None:
        """Tell the first request that all earlier ones are answered."""
        turn = self.exchanges[0].turn if self.exchanges else None
        if turn is not None and not turn.done():
            turn.set_result(None)

    def cancel(self) -> None:
        """Cancel the requests, which won't be answered."""
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self.exchanges.clear()
        self.held_bytes = 0
        self.response_bytes = 0
        self._count_ended(self.in_work)

    def _count_ended(self, count: int) -> None:
        self.in_work -= count
        self.account.in_work -= count
