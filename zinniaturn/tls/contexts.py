"""
Creates SSL contexts from key files and loads changed files into them.

A context is changed in place: new handshakes use the new key pair, and open
connections keep the parameters that they negotiated.
"""

__all__ = ('load_key_pair', 'make_client_context', 'make_server_context')

import ssl

from zinniaturn.tls.exceptions import TlsError
from zinniaturn.tls.files import KeyFiles, read_key_pair


def make_server_context(files: KeyFiles) -> ssl.SSLContext:
    """
    Return the SSL context of a listener; raises `TlsError`.

    If an authority is set, every client must present a certificate issued by
    it.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    load_key_pair(context, files)
    return context


def make_client_context(files: KeyFiles) -> ssl.SSLContext:
    """
    Return the SSL context for outgoing connections; raises `TlsError`.

    The certificate and key may be empty if the servers ask for none.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    load_key_pair(context, files)
    return context


def load_key_pair(context: ssl.SSLContext, files: KeyFiles) -> None:
    """
    Load the key files into an SSL context; raises `TlsError`.

    The authority is added to those that the context already trusts.
    """
    if files.certificate:
        read_key_pair(files)
    try:
        if files.certificate:
            context.load_cert_chain(files.certificate, files.key)
        if files.authority:
            context.load_verify_locations(files.authority)
    except OSError as error:
        raise TlsError(f'{files.certificate}: {error}') from error
