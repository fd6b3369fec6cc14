"""Faults in what servers and the store say of themselves."""

__all__ = ('STATEMENT_KINDS', 'go_back', 'play_statement')

import asyncio

from zinniaturn.experiments.soak.plan import Fault, FaultKind
from zinniaturn.platform.standins import (
    ENDLESS_FAULTS,
    ServerFault,
    ServerStandIn,
    StoreStandIn,
)

_COPY_AGE_SECONDS = 1.0
_REWRITE_SECONDS = 0.5
# Limits last longer than other faults, so that a window of the rule passes.
_LIMIT_FACTOR = 3.0
_LIMITS = (b'0.5', b'2', b'5', b'20', b'nan', b'')
_PAUSE_SECONDS = b'1.5'

STATEMENT_KINDS = (
    FaultKind.SERVER_NAMES_LIMIT,
    FaultKind.SERVER_SAYS_IT_LEAVES,
    FaultKind.SERVER_ASKS_FOR_PAUSE,
    FaultKind.SERVER_NEVER_ENDS,
)


async def play_statement(server: ServerStandIn, fault: Fault) -> None:
    """Let a server say something for the duration of a fault."""
    seconds = fault.duration_seconds
    match fault.kind:
        case FaultKind.SERVER_NAMES_LIMIT:
            server.limit = _LIMITS[fault.target_index % len(_LIMITS)]
            seconds *= _LIMIT_FACTOR
        case FaultKind.SERVER_SAYS_IT_LEAVES:
            server.is_leaving = True
        case FaultKind.SERVER_ASKS_FOR_PAUSE:
            server.pause = _PAUSE_SECONDS
            server.default_fault = ServerFault.SHED
        case FaultKind.SERVER_NEVER_ENDS:
            kinds = sorted(ENDLESS_FAULTS, key=lambda kind: kind.name)
            server.default_fault = kinds[fault.target_index % len(kinds)]
    await asyncio.sleep(seconds)
    _fall_silent(server, fault.kind)


async def go_back(store: StoreStandIn, seconds: float) -> None:
    """
    Let the store return from a copy after some seconds.

    What the operator and the servers wrote since is written again soon after.
    """
    copy = dict(store.keys)
    revision = store.revision
    await asyncio.sleep(min(seconds, _COPY_AGE_SECONDS))
    written = dict(store.keys)
    store.go_back(copy, revision)
    await asyncio.sleep(_REWRITE_SECONDS)
    store.write_again(written, copy)


def _fall_silent(server: ServerStandIn, kind: FaultKind) -> None:
    match kind:
        case FaultKind.SERVER_NAMES_LIMIT:
            server.limit = None
        case FaultKind.SERVER_SAYS_IT_LEAVES:
            server.is_leaving = False
        case _:
            server.pause = None
            server.default_fault = None
