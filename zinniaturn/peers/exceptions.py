"""Exceptions of the gossip between entries."""

__all__ = (
    'PeerError',
    'PeerListenError',
    'PeerMessageError',
    'PeersInsecureError',
)

from zinniaturn.errors import CodedError


class PeerError(CodedError):
    """A peer did not answer in time or a call to it failed."""

    code = 'peer-unavailable'


class PeerMessageError(PeerError):
    """A message from a peer cannot be decoded."""

    code = 'peer-message-invalid'


class PeerListenError(PeerError):
    """The entry cannot listen on its address for peers."""

    code = 'peer-listen-failed'


class PeersInsecureError(PeerError):
    """The address for peers is not on loopback and there are no TLS keys."""

    code = 'peers-insecure'
