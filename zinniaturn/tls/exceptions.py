"""Exceptions for keys and certificates."""

__all__ = ('TlsError',)

from zinniaturn.errors import CodedError


class TlsError(CodedError):
    """
    A key or certificate cannot be used.

    The message contains file names but never the files' content.
    """

    code = 'tls-unreadable'
