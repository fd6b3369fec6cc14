"""
What to do with a request whose pool may be out of this VM's reach.

A VM before silent servers can't tell from its own attempts whether the servers
are down or its links are. If servers respond to another VM since they fell
silent here, the links are at fault, and the request is passed on to that VM. If
they respond to nobody, passing it on would only move the failure, and the
caller is rejected at once.
"""

__all__ = (
    'AwaitEvidence',
    'PassOn',
    'PathDecision',
    'PoolPath',
    'RejectAtOnce',
    'ServeHere',
    'decide',
)

from dataclasses import dataclass

# A VM that asks the others about a pool has their replies after this time.
_EVIDENCE_SECONDS = 0.12
# A pool that has been silent for less may only have been slow to connect.
_HOPELESS_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class ServeHere:
    """Look for a server as usual."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """Let another VM serve the request; ``vms`` are those that may."""

    vms: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AwaitEvidence:
    """Wait a moment for what other VMs say of the pool."""


@dataclass(frozen=True, slots=True)
class RejectAtOnce:
    """Reject the request: no server of the pool responds to any VM."""


PathDecision = ServeHere | PassOn | AwaitEvidence | RejectAtOnce


@dataclass(frozen=True, slots=True)
class PoolPath:
    """
    What is known of the path to a pool.

    ``witnesses`` are the VMs that servers responded to since they fell silent
    here. ``asked_seconds`` is the time since this VM has asked the others, and
    ``silent_seconds`` that since no server has responded.
    ``refuses_connections`` tells whether no server takes a new connection.
    ``peers`` is the number of other VMs that could tell.
    """

    is_silent: bool
    refuses_connections: bool
    asked_seconds: float
    silent_seconds: float = 0
    witnesses: tuple[str, ...] = ()
    peers: int = 0

    @property
    def is_lost(self) -> bool:
        """Return whether this VM's links are at fault, not the servers."""
        return self.is_silent and bool(self.witnesses)


def decide(path: PoolPath, is_relayed: bool, is_unplaced: bool) -> PathDecision:
    """
    Return what to do with a request.

    A request that another VM has passed on (``is_relayed``) is never passed on
    again. ``is_unplaced`` says that no server with room was found for it. If
    open connections live on while new ones are refused, only such a request is
    passed on, since the open ones still serve the others.

    >>> decide(PoolPath(True, True, 1, 1, ('vm-2',)), False, False)
    PassOn(vms=('vm-2',))
    >>> decide(PoolPath(True, True, 1, 1, ('vm-2',)), True, False)
    RejectAtOnce()
    >>> decide(PoolPath(True, True, 1, 1), False, False)
    RejectAtOnce()
    >>> decide(PoolPath(False, True, 0, 0, ('vm-2',)), False, False)
    ServeHere()
    """
    if not path.is_silent:
        may_pass_on = path.refuses_connections and is_unplaced
        if may_pass_on and path.witnesses and not is_relayed:
            return PassOn(path.witnesses)
        return ServeHere()
    if is_relayed:
        return RejectAtOnce()
    if path.witnesses:
        return PassOn(path.witnesses)
    if path.peers and path.asked_seconds < _EVIDENCE_SECONDS:
        return AwaitEvidence()
    is_hopeless = path.silent_seconds >= _HOPELESS_SECONDS
    if path.refuses_connections and is_hopeless:
        return RejectAtOnce()
    return ServeHere()
