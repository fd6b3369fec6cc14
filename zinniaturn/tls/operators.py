"""
Connections from operators' commands to the admin addresses of entries.

The key files are taken from the same environment variables as those of an
entry. Without an authority the connections are in plain text, which entries
accept on loopback only.
"""

__all__ = ('get_from_admin',)

import os
from functools import lru_cache

import aiohttp

from zinniaturn.tls.contexts import make_client_context
from zinniaturn.tls.files import KeyFiles

CERTIFICATE_VARIABLE = 'ZINNIATURN_TLS_CERTIFICATE'
KEY_VARIABLE = 'ZINNIATURN_TLS_KEY'
AUTHORITY_VARIABLE = 'ZINNIATURN_TLS_AUTHORITY'
PEER_NAME_VARIABLE = 'ZINNIATURN_TLS_PEER_NAME'

_make_context = lru_cache(maxsize=4)(make_client_context)


def get_from_admin(
    session: aiohttp.ClientSession,
    admin: str,
    path: str,
) -> 'aiohttp.client._RequestContextManager':
    """
    Return the GET request for ``path`` at the admin address ``host:port``.

    Raises `TlsError` if the key files cannot be used.
    """
    files = KeyFiles(
        os.environ.get(CERTIFICATE_VARIABLE, ''),
        os.environ.get(KEY_VARIABLE, ''),
        os.environ.get(AUTHORITY_VARIABLE, ''),
    )
    if not files.authority:
        return session.get(f'http://{admin}{path}')
    return session.get(
        f'https://{admin}{path}',
        ssl=_make_context(files),
        server_hostname=os.environ.get(PEER_NAME_VARIABLE) or None,
    )
