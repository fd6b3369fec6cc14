"""Looks after the servers whose connections break while they run requests."""

__all__ = ('CrashWatch',)

import asyncio
from dataclasses import dataclass

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.crash_check import check_server
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.quarantine.request_key import format_key, request_key

_MS_PER_SECOND = 1000


@dataclass(slots=True)
class CrashWatch:
    """Checks the server of each attempt whose connection broke."""

    state: GatewayState

    async def note_broken(
        self,
        context: RequestContext,
        placement: Placement,
        sent_at: float,
        reason: str,
    ) -> None:
        """Find out what became of the server, and log it."""
        loop = asyncio.get_running_loop()
        broken_at = loop.time()
        candidate = placement.candidate
        checked = await check_server(self.state.connections, candidate.address)
        context.request_key = request_key(context.request)
        self.state.counters.events[f'broken_{checked.value}'] += 1
        self.state.event_log.write(
            LogEvent.CONNECTION_BROKEN,
            is_failure=True,
            request=context.request_id,
            key=format_key(context.request_key),
            server=candidate.name,
            pool=candidate.registered.pool,
            process=checked.value,
            ran_ms=round((broken_at - sent_at) * _MS_PER_SECOND, 1),
            reason=reason,
        )
