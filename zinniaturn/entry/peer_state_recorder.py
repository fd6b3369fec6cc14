"""Records state changes of the other entries and the evidence for them."""

__all__ = ('PeerStateRecorder',)

import asyncio

from zinniaturn.explain.decisions import EntryStateChanged
from zinniaturn.explain.recorder import Recorder
from zinniaturn.membership.failure_detector import Evidence, MemberState
from zinniaturn.membership.table import MemberTable

_CHECK_INTERVAL_SECONDS = 1.0


class PeerStateRecorder:
    """Component that records each change of a peer's membership state."""

    def __init__(self, table: MemberTable, recorder: Recorder) -> None:
        self.table = table
        self.recorder = recorder
        self.states: dict[str, MemberState] = {}
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check."""
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def record_changes(self) -> None:
        """Record the state changes since the last check."""
        states = dict(self.table.states())
        for name, state in states.items():
            if self.states.get(name) is not state:
                grounds = describe_evidence(self.table.evidence_of(name))
                self.recorder.record(
                    EntryStateChanged(name, state.value, grounds),
                )
        for name in self.states.keys() - states.keys():
            self.recorder.record(
                EntryStateChanged(name, 'forgotten', 'it stayed silent'),
            )
        self.states = states

    async def _run(self) -> None:
        while True:
            self.record_changes()
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)


def describe_evidence(evidence: Evidence) -> str:
    """
    Return the evidence for a member's state as text.

    >>> describe_evidence(Evidence(0.5, is_leased=True))
    'last heartbeat 0.5 s ago; named by the lease directory'
    """
    sentences = [f'last heartbeat {evidence.heartbeat_age:.1f} s ago']
    if evidence.announced_leaving:
        sentences.append('it says that it is leaving')
    if evidence.is_leased is not None:
        named = 'named' if evidence.is_leased else 'not named'
        sentences.append(f'{named} by the lease directory')
    if evidence.vm_state is not None:
        sentences.append(f'the VM list says {evidence.vm_state.value}')
    if evidence.is_isolated:
        sentences.append('this entry hears nobody')
    return '; '.join(sentences)
