"""
TLS keys and certificates: reads and checks files and reloads them on change.

Entries and operators authenticate each other with mutual TLS. For callers and
backend servers TLS is optional.
"""

__all__ = ('KeyFiles', 'TlsError', 'read_key_pair')

from zinniaturn.tls.exceptions import TlsError
from zinniaturn.tls.files import KeyFiles, read_key_pair
