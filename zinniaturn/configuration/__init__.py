"""Commits of the route and pool tables, and their installation at entries."""

__all__ = (
    'Change',
    'CommitUnknownError',
    'ConfigurationError',
    'Head',
    'HeadComparison',
    'InstalledTables',
    'SettledChange',
    'Snapshot',
    'StoreWatcher',
    'StoredTables',
    'apply_change',
    'apply_pools',
    'apply_routes',
    'commit',
    'delete_pools',
    'delete_routes',
    'diff_tables',
    'read_tables',
    'settle',
    'watch_store',
)

from zinniaturn.configuration.changes import (
    Change,
    apply_change,
    diff_tables,
)
from zinniaturn.configuration.commit import (
    SettledChange,
    StoredTables,
    commit,
    read_tables,
    settle,
)
from zinniaturn.configuration.comparison import HeadComparison
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
from zinniaturn.configuration.head import Head
from zinniaturn.configuration.installed import InstalledTables
from zinniaturn.configuration.snapshot import Snapshot
from zinniaturn.configuration.watcher import StoreWatcher, watch_store
