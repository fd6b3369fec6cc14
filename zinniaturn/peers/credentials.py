"""
Credentials for the connections between entries.

Client and server take them from a `PeerSecurity`. Without TLS keys, entries
listen for peers on loopback only.
"""

__all__ = ('PeerSecurity', 'check_security', 'is_loopback')

import ipaddress
from dataclasses import dataclass

import grpc

from zinniaturn.peers.exceptions import PeersInsecureError


@dataclass(frozen=True, slots=True)
class PeerSecurity:
    """
    The credentials of server and client; ``None`` means plain text.

    ``server_name`` is the name that a server's certificate must have if that
    is not the server's address.
    """

    server: grpc.ServerCredentials | None = None
    channel: grpc.ChannelCredentials | None = None
    server_name: str = ''


def check_security(security: PeerSecurity, host: str) -> None:
    """
    Raise `PeersInsecureError` for plain text on other than loopback.

    >>> check_security(PeerSecurity(), '127.0.0.1')
    """
    if security.server is not None and security.channel is not None:
        return
    if not is_loopback(host):
        raise PeersInsecureError(
            f'the address {host} for peers is not on loopback and there are no '
            'TLS keys',
        )


def is_loopback(host: str) -> bool:
    """Return whether an address is a loopback address."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
