"""
Finds out which servers have ended while they ran requests, and tells the fleet.

A connection that breaks may be a lost answer, a reset or a cut. So the VM
checks at once whether anybody still listens at the server. What other VMs say
of a server is checked against what this VM sees: a few VMs confirm it, and one
that has had a response since contradicts it.

Work: a connection for each connection to a server that breaks, and about four
in the whole fleet for each crash; a tick walks over the crashes of the last
second.
"""

__all__ = ('CrashWatch',)

import asyncio
from dataclasses import dataclass, field

from zinniaturn.events.catalogue import LogEvent
from zinniaturn.gateway.crash_check import ServerState, check_server
from zinniaturn.gateway.request_context import Placement, RequestContext
from zinniaturn.gateway.state import GatewayState
from zinniaturn.placing.candidates import Candidate
from zinniaturn.quarantine.crash_record import CrashRecord, ServerProcess
from zinniaturn.quarantine.request_key import format_key
from zinniaturn.quarantine.witnessing import (
    SHORTEST_RESTART_SECONDS,
    is_contradicted,
    needs_witness,
)

_MS_PER_SECOND = 1000


@dataclass(slots=True)
class CrashWatch:
    """Checks servers whose connections break, here or at other VMs."""

    state: GatewayState
    checks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def note_broken(
        self,
        context: RequestContext,
        placement: Placement,
        sent_at: float,
        reason: str,
    ) -> None:
        """Find out what became of a request's server; log and report it."""
        state = self.state
        broken_at = asyncio.get_running_loop().time()
        ended_at = state.quarantine.clock.monotonic()
        candidate = placement.candidate
        checked = await check_server(state.connections, candidate.address)
        state.counters.events[f'broken_{checked.value}'] += 1
        state.event_log.write(
            LogEvent.CONNECTION_BROKEN,
            is_failure=True,
            request=context.request_id,
            key=format_key(context.key),
            server=candidate.name,
            pool=candidate.registered.pool,
            process=checked.value,
            ran_ms=round((broken_at - sent_at) * _MS_PER_SECOND, 1),
            reason=reason,
        )
        if checked is ServerState.ENDED:
            self._report(candidate, ended_at, {context.key})

    def check_told(self, record: CrashRecord) -> None:
        """Confirm or contradict a crash that another VM has told of."""
        if self._contradicts(record):
            return
        candidate = self._candidate(record)
        is_chosen = needs_witness(
            record,
            self.state.settings.name,
            len(self.state.vms.alive_vms()),
            self.state.random_source.random(),
        )
        if candidate is not None and is_chosen:
            task = asyncio.ensure_future(self._confirm(candidate, record))
            self.checks.add(task)
            task.add_done_callback(self.checks.discard)

    def tick(self) -> None:
        """Contradict crashes of servers that respond; log what has changed."""
        quarantine = self.state.quarantine
        quarantine.update()
        oldest = quarantine.clock.monotonic() - 2 * SHORTEST_RESTART_SECONDS
        for record in list(quarantine.records.values()):
            if record.ended_at >= oldest and not record.is_refuted:
                self._contradicts(record)

    async def _confirm(self, candidate: Candidate, record: CrashRecord) -> None:
        checked = await check_server(self.state.connections, candidate.address)
        if checked is ServerState.ENDED:
            self._report(candidate, record.ended_at, set())

    def _report(
        self, candidate: Candidate, ended_at: float, keys: set[int]
    ) -> None:
        """Report a crash, unless this VM has lost its path to the pool."""
        if candidate.registered.pool in self.state.reach.cut_off:
            return
        process = ServerProcess(candidate.name, candidate.registered.started_ms)
        self.state.gossip.crash_news.report_crash(
            CrashRecord(process, ended_at, keys, {self.state.settings.name})
        )

    def _contradicts(self, record: CrashRecord) -> bool:
        """Say so if the server has responded to this VM since it ended."""
        candidate = self._candidate(record)
        if candidate is None:
            return False
        clock = self.state.quarantine.clock
        since_response = (
            asyncio.get_running_loop().time() - candidate.stats.reported_at
        )
        if not is_contradicted(record, clock.monotonic() - since_response):
            return False
        self.state.gossip.crash_news.report_crash(
            CrashRecord(record.process, record.ended_at, is_refuted=True)
        )
        return True

    def _candidate(self, record: CrashRecord) -> Candidate | None:
        """Return the server process of a crash if this VM knows it."""
        server, started_ms = record.process
        for candidates in self.state.pools.values():
            candidate = candidates.get(server)
            if candidate is not None:
                is_same = candidate.registered.started_ms == started_ms
                return candidate if is_same else None
        return None
