"""Keys of the connections between entries, in the form of gRPC."""

__all__ = ('PeerKeys',)

import grpc

from zinniaturn.peers import PeerSecurity
from zinniaturn.tls.files import KeyFiles, KeyPair, read_key_pair


class PeerKeys:
    """
    The credentials of both sides, from one pair of files.

    Both show their certificate and both check the other's. `read` takes
    changed files over; the listener asks for the pair at every handshake.
    """

    def __init__(self, files: KeyFiles, peer_name: str = '') -> None:
        self.files = files
        self.peer_name = peer_name
        self.pair = read_key_pair(files)

    def read(self) -> None:
        """Read the files again; raises `TlsError` and keeps the old pair."""
        self.pair = read_key_pair(self.files)

    def security(self) -> PeerSecurity:
        """Return the credentials of the pair as it is now."""
        return PeerSecurity(
            server=grpc.dynamic_ssl_server_credentials(
                _server_configuration(self.pair),
                lambda: _server_configuration(self.pair),
                require_client_authentication=True,
            ),
            channel=grpc.ssl_channel_credentials(
                self.pair.authority,
                self.pair.key,
                self.pair.certificate,
            ),
            server_name=self.peer_name,
        )


def _server_configuration(
    pair: KeyPair,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(pair.key, pair.certificate)],
        pair.authority,
    )
