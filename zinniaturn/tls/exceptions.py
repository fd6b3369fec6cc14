"""Errors of keys and certificates."""

__all__ = ('TlsError',)

from zinniaturn.errors import CodedError


class TlsError(CodedError):
    """
    A key or certificate cannot be used.

    The message names files and never their content.
    """

    code = 'tls-unreadable'
