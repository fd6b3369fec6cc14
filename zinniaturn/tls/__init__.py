"""
Keys and certificates from files, checked, and reloaded while running.

Entries and operators know each other by mutual TLS; callers and backend
servers may use TLS.
"""

__all__ = ('KeyFiles', 'TlsError', 'read_key_pair')

from zinniaturn.tls.exceptions import TlsError
from zinniaturn.tls.files import KeyFiles, read_key_pair
