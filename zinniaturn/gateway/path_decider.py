"""Decides for each request whether its servers are within reach of this VM."""

__all__ = ('UNREACHED_RETRY_SECONDS', 'PathDecider')

import asyncio
from dataclasses import dataclass

from zinniaturn.choosing.exceptions import RejectedError
from zinniaturn.fleet.tables import FleetPool
from zinniaturn.gateway.request_context import RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.request_queue import RequestQueue
from zinniaturn.placing.retry_after import RetryAfterJitter
from zinniaturn.reach.decision import (
    AwaitEvidence,
    PassOn,
    RejectAtOnce,
    ServeHere,
)

_EVIDENCE_POLL_SECONDS = 0.01
# Servers that respond to nobody may be back soon.
UNREACHED_RETRY_SECONDS = 0.3


@dataclass(slots=True)
class PathDecider:
    """Applies what VMs know of the paths to requests and to queues."""

    state: GatewayState
    retry_after_jitter: RetryAfterJitter

    async def decide(
        self, context: RequestContext, is_unplaced: bool
    ) -> PassOn | None:
        """
        Return the VMs to pass a request on to, ``None`` to serve it here.

        Raises `RejectedError` if its pool responds to nobody.
        """
        while True:
            decision = self.state.reach.decide(
                context.pool.name, context.is_relayed, is_unplaced
            )
            match decision:
                case PassOn():
                    return decision
                case ServeHere():
                    return None
                case AwaitEvidence():
                    await asyncio.sleep(_EVIDENCE_POLL_SECONDS)
                case RejectAtOnce():
                    context.is_out_of_reach = True
                    raise RejectedError(
                        'no server of the pool responds',
                        'no-server',
                        self.retry_after_jitter.seconds(
                            UNREACHED_RETRY_SECONDS
                        ),
                    )

    def withdraw_unreachable(
        self, pool: FleetPool, queue: RequestQueue
    ) -> None:
        """Let the requests leave a queue that can't be served here any more."""
        reach = self.state.reach
        if reach.own.is_trusted(pool.name):
            return
        queue.withdraw(
            lambda request: (
                reach.decide(pool.name, request.is_relayed, is_unplaced=True)
                != ServeHere()
            )
        )
