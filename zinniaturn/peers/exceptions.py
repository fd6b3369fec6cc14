"""Errors of the protocol between entries."""

__all__ = (
    'PeerError',
    'PeerListenError',
    'PeerMessageError',
    'PeersInsecureError',
)

from zinniaturn.errors import CodedError


class PeerError(CodedError):
    """A peer did not answer."""

    code = 'peer-unavailable'


class PeerMessageError(PeerError):
    """A peer's message cannot be read."""

    code = 'peer-message-invalid'


class PeerListenError(PeerError):
    """The address for peers cannot be listened on."""

    code = 'peer-listen-failed'


class PeersInsecureError(PeerError):
    """An address outside loopback without keys."""

    code = 'peers-insecure'
