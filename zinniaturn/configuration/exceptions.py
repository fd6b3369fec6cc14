"""Errors of the configuration layer."""

__all__ = (
    'ChangeIdError',
    'ChangeTooLargeError',
    'CommitConflictError',
    'CommitUnknownError',
    'ConfigurationError',
    'ConfigurationUnavailableError',
    'NotInitializedError',
    'OverlapError',
    'PoolInUseError',
    'RevisionNotFoundError',
    'RowNotFoundError',
    'StoreResetError',
    'StoredStateError',
)

from zinniaturn.errors import CodedError


class ConfigurationError(CodedError):
    """A change of the tables was not accepted."""

    code = 'change-refused'


class CommitConflictError(ConfigurationError):
    """Other changes kept being accepted first; this one was not."""

    code = 'change-conflict'


class OverlapError(CommitConflictError):
    """A row that the change touches was changed by another one."""

    code = 'change-overlap'


class PoolInUseError(ConfigurationError):
    """A pool to delete is the pool of a route."""

    code = 'pool-in-use'


class ChangeTooLargeError(ConfigurationError):
    """A value of the change would be over the store's limit."""

    code = 'change-too-large'


class CommitUnknownError(ConfigurationError):
    """
    The store gave no reply; the change may have been accepted.

    ``change_id`` names the change for ``zinniaturn audit settle``.
    """

    code = 'change-unknown'

    def __init__(self, message: str, change_id: str = '') -> None:
        super().__init__(message)
        self.change_id = change_id


class ConfigurationUnavailableError(ConfigurationError):
    """The tables cannot be read or written now; nothing was accepted."""

    code = 'tables-unavailable'


class NotInitializedError(ConfigurationError):
    """The store holds no tables, and first ones were not asked for."""

    code = 'tables-not-initialized'


class StoreResetError(ConfigurationError):
    """The store is behind the entries, which have fenced it."""

    code = 'store-reset'


class StoredStateError(ConfigurationError):
    """What the store holds cannot be read."""

    code = 'stored-state-invalid'


class RevisionNotFoundError(ConfigurationError):
    """The audit trail holds no such revision or change."""

    code = 'revision-not-found'


class RowNotFoundError(ConfigurationError):
    """There is no route or pool of this name."""

    code = 'row-not-found'


class ChangeIdError(ConfigurationError):
    """A change id has characters that the store's keys do not take."""

    code = 'change-id-invalid'
