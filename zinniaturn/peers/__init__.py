"""
Gossip between entries over gRPC.

Entries exchange heartbeats, members and the revision of their tables, so that
an accepted revision also reaches entries that cannot reach the store.
"""

__all__ = (
    'Bulletin',
    'PeerClient',
    'PeerError',
    'PeerGossip',
    'PeerSecurity',
    'PeerServer',
)

from zinniaturn.peers.bulletin import Bulletin
from zinniaturn.peers.client import PeerClient
from zinniaturn.peers.credentials import PeerSecurity
from zinniaturn.peers.exceptions import PeerError
from zinniaturn.peers.gossip import PeerGossip
from zinniaturn.peers.server import PeerServer
