"""Errors of the configuration layer."""

__all__ = (
    'CommitConflictError',
    'CommitUnknownError',
    'ConfigurationError',
    'ConfigurationUnavailableError',
)

from zinniaturn.errors import CodedError


class ConfigurationError(CodedError):
    """A change of the tables was not accepted."""

    code = 'change-refused'


class CommitConflictError(ConfigurationError):
    """Another change was accepted first."""

    code = 'change-conflict'


class CommitUnknownError(ConfigurationError):
    """The store gave no reply; the change may have been accepted."""

    code = 'change-unknown'


class ConfigurationUnavailableError(ConfigurationError):
    """The tables cannot be read."""

    code = 'tables-unavailable'
