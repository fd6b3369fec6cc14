"""
Credentials of the connections between entries.

Both sides take them from a `PeerSecurity`. Without keys, entries talk only on
loopback.
"""

__all__ = ('PeerSecurity', 'check_security', 'is_loopback')

import ipaddress
from dataclasses import dataclass

import grpc

from zinniaturn.peers.exceptions import PeersInsecureError


@dataclass(frozen=True, slots=True)
class PeerSecurity:
    """
    The credentials of both sides; ``None`` for plain text.

    ``server_name`` is the name that servers' certificates are checked for,
    if it is not their address.
    """

    server: grpc.ServerCredentials | None = None
    channel: grpc.ChannelCredentials | None = None
    server_name: str = ''


def check_security(security: PeerSecurity, host: str) -> None:
    """
    Raise `PeersInsecureError` for plain text outside loopback.

    >>> check_security(PeerSecurity(), '127.0.0.1')
    """
    if security.server is not None and security.channel is not None:
        return
    if not is_loopback(host):
        raise PeersInsecureError(
            f'entries do not listen on {host} for each other without keys',
        )


def is_loopback(host: str) -> bool:
    """Return whether only this VM can reach an address."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
