"""Errors of the entry layer."""

__all__ = ('EntryError', 'ListenError')

from zinniaturn.errors import CodedError


class EntryError(CodedError):
    """The entry cannot do its work."""

    code = 'entry-failed'


class ListenError(EntryError):
    """An address of the settings cannot be listened on."""

    code = 'listen-failed'
