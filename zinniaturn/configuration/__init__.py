"""Committing the tables and keeping them in force."""

__all__ = (
    'Change',
    'CommitUnknownError',
    'ConfigurationError',
    'Head',
    'Judgement',
    'Settlement',
    'Snapshot',
    'StoreFollower',
    'StoredTables',
    'TablesHolder',
    'apply_change',
    'apply_pools',
    'apply_routes',
    'commit',
    'delete_pools',
    'delete_routes',
    'diff_tables',
    'follow_store',
    'read_tables',
    'settle',
)

from zinniaturn.configuration.changes import (
    Change,
    apply_change,
    diff_tables,
)
from zinniaturn.configuration.commit import (
    Settlement,
    StoredTables,
    commit,
    read_tables,
    settle,
)
from zinniaturn.configuration.edits import (
    apply_pools,
    apply_routes,
    delete_pools,
    delete_routes,
)
from zinniaturn.configuration.exceptions import (
    CommitUnknownError,
    ConfigurationError,
)
from zinniaturn.configuration.follower import StoreFollower, follow_store
from zinniaturn.configuration.head import Head
from zinniaturn.configuration.holder import TablesHolder
from zinniaturn.configuration.judgement import Judgement
from zinniaturn.configuration.snapshot import Snapshot
