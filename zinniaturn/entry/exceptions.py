"""Errors of the entry layer."""

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
    """An address of the settings cannot be listened on."""

    code = 'listen-failed'


class AdminInsecureError(EntryError):
    """The admin address would be open to the network without keys."""

    code = 'admin-insecure'


class BadRequestError(EntryError):
    """A request cannot be understood; it was not run."""

    code = 'bad-request'


class BrokenBodyError(EntryError):
    """A request's body broke off or is malformed while it was passed on."""

    code = 'body-broken'
