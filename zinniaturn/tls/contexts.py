"""
Contexts of TLS connections.

A context is changed in place when its files change: new handshakes use the
new pair, and open connections keep what they agreed on.
"""

__all__ = ('load_key_pair', 'make_client_context', 'make_server_context')

import ssl

from zinniaturn.tls.exceptions import TlsError
from zinniaturn.tls.files import KeyFiles, read_key_pair


def make_server_context(files: KeyFiles) -> ssl.SSLContext:
    """
    Return the context of a listener; raises `TlsError`.

    With an authority, every client must show a certificate of it.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    load_key_pair(context, files)
    return context


def make_client_context(files: KeyFiles) -> ssl.SSLContext:
    """
    Return the context of outgoing connections; raises `TlsError`.

    The certificate and key may be empty where servers ask for none.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    load_key_pair(context, files)
    return context


def load_key_pair(context: ssl.SSLContext, files: KeyFiles) -> None:
    """
    Put the files' content into a context; raises `TlsError`.

    An authority is added to those known since the start.
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
