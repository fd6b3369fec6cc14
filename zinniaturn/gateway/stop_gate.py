"""
Keeps requests that may outlast a planned stop from being sent to servers.

A request that a server runs when the process ends is cut off, and its caller
doesn't learn what became of it. So in a planned stop no request is sent whose
deadline comes after the end. Its caller gets the truth at once: it was not run,
and other VMs serve it.
"""

__all__ = ('STOP_RETRY_SECONDS', 'StopGate')

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.request_queue import RequestQueue
from zinniaturn.placing.retry_after import RetryAfterJitter

# The caller meets another VM when it returns.
STOP_RETRY_SECONDS = 0.05


@dataclass(slots=True)
class StopGate:
    """Rejects the requests that may outlast this process."""

    state: GatewayState
    retry_after_jitter: RetryAfterJitter

    def is_closed_to(self, context: RequestContext) -> bool:
        """Return whether a request must not be sent any more."""
        stop = self.state.planned_stop
        return stop is not None and not stop.covers(context.deadline)

    def check(self, context: RequestContext) -> None:
        """Raise `RejectedError` if a request must not be sent any more."""
        stop = self.state.planned_stop
        if stop is None or stop.covers(context.deadline):
            return
        now = asyncio.get_running_loop().time()
        self.state.counters.events['request_outlasts_stop'] += 1
        raise RejectedError(
            f'may take {context.deadline - now:.2f} s, and the process ends '
            f'in {stop.finish_at - now:.2f} s',
            'draining',
            self.retry_after_jitter.seconds(STOP_RETRY_SECONDS),
        )

    def reject_waiting(self, queues: Iterable[RequestQueue]) -> None:
        """End the wait of the queued requests that may outlast the process."""
        stop = self.state.planned_stop
        if stop is None:
            return
        for queue in queues:
            queue.reject_after(stop.finish_at, STOP_RETRY_SECONDS)
