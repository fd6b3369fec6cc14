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
    """Each attempt conflicted with another commit; nothing was accepted."""

    code = 'change-conflict'


class OverlapError(CommitConflictError):
    """Another change has modified a row that this change touches."""

    code = 'change-overlap'


class PoolInUseError(ConfigurationError):
    """A route still refers to the pool to be deleted."""

    code = 'pool-in-use'


class ChangeTooLargeError(ConfigurationError):
    """A value that the change writes exceeds the store's size limit."""

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
    """The store holds no tables, and the commit may not create the first."""

    code = 'tables-not-initialized'


class StoreResetError(ConfigurationError):
    """The store has lost accepted revisions, so an entry has fenced it."""

    code = 'store-reset'


class StoredStateError(ConfigurationError):
    """A stored value is missing, damaged or cannot be decoded."""

    code = 'stored-state-invalid'


class RevisionNotFoundError(ConfigurationError):
    """The audit trail holds no such revision or change."""

    code = 'revision-not-found'


class RowNotFoundError(ConfigurationError):
    """There is no route or pool of this name."""

    code = 'row-not-found'


class ChangeIdError(ConfigurationError):
    """A change id is too long or has characters not allowed in keys."""

    code = 'change-id-invalid'
