"""Errors of the entry layer."""

__all__ = (
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


class BadRequestError(EntryError):
    """A request cannot be understood; it was not run."""

    code = 'bad-request'


class BrokenBodyError(EntryError):
    """A request's body broke off or is malformed while it was passed on."""

    code = 'body-broken'
