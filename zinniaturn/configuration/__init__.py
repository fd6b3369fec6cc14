"""Committing the tables and keeping them in force."""

__all__ = (
    'CommitUnknownError',
    'ConfigurationError',
    'StoredTables',
    'TablesHolder',
    'apply_pools',
    'apply_routes',
    'commit',
    'follow_store',
    'read_tables',
)

from zinniaturn.configuration.commit import (
    StoredTables,
    commit,
    read_tables,
)
from zinniaturn.configuration.edits import apply_pools, apply_routes
from zinniaturn.configuration.exceptions import (
    CommitUnknownError,
    ConfigurationError,
)
from zinniaturn.configuration.follower import follow_store
from zinniaturn.configuration.holder import TablesHolder
