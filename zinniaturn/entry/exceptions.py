"""Exceptions of the entry process."""

__all__ = (
    'AdminInsecureError',
    'BadRequestError',
    'BrokenBodyError',
    'EntryError',
    'ListenError',
)

from zinniaturn.errors import CodedError


class EntryError(CodedError):
    """The entry cannot do its work."""

    code = 'entry-failed'


class ListenError(EntryError):
    """The entry cannot listen on an address from its settings."""

    code = 'listen-failed'


class AdminInsecureError(EntryError):
    """The admin address is not on loopback and has no TLS key."""

    code = 'admin-insecure'


class BadRequestError(EntryError):
    """A request is malformed and was not run."""

    code = 'bad-request'


class BrokenBodyError(EntryError):
    """A request's body was malformed or broke off while it was forwarded."""

    code = 'body-broken'
