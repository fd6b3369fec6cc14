"""The gRPC credentials for connections between entries, from key files."""

__all__ = ('PeerKeys',)

import grpc

from zinniaturn.peers import PeerSecurity
from zinniaturn.tls.files import KeyFiles, KeyPair, read_key_pair


class PeerKeys:
    """
    The gRPC credentials of client and server, from the same key files.

    Both sides present a certificate and verify the other's. `read` loads
    changed files; the listener uses the current key pair at each handshake.
    """

    def __init__(self, files: KeyFiles, peer_name: str = '') -> None:
        self.files = files
        self.peer_name = peer_name
        self.pair = read_key_pair(files)

    def read(self) -> None:
        """Reload the files; raises `TlsError` and then keeps the old pair."""
        self.pair = read_key_pair(self.files)

    def security(self) -> PeerSecurity:
        """Return the credentials for the current key pair."""
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
