"""
The route table and the pool table.

The models validate input from operators and from the store; the rest of the
program works with the data classes of `zinniaturn.tables.domain`. Modules that
need the models are imported on first use, which saves memory in a process that
only uses the data classes.
"""

__all__ = (
    'InvalidTableError',
    'Pool',
    'Route',
    'RouteMatcher',
    'Server',
    'Tables',
    'TablesError',
    'decode_tables',
    'encode_tables',
    'parse_pools',
    'parse_routes',
    'read_table_file',
)

from typing import TYPE_CHECKING

from zinniaturn.loading import load_on_use
from zinniaturn.tables.domain import Pool, Route, Server, Tables
from zinniaturn.tables.exceptions import InvalidTableError, TablesError
from zinniaturn.tables.matching import RouteMatcher

if TYPE_CHECKING:
    from zinniaturn.tables.codec import decode_tables, encode_tables
    from zinniaturn.tables.files import read_table_file
    from zinniaturn.tables.parsing import parse_pools, parse_routes

__getattr__ = load_on_use(
    __name__,
    {
        'decode_tables': 'zinniaturn.tables.codec',
        'encode_tables': 'zinniaturn.tables.codec',
        'parse_pools': 'zinniaturn.tables.parsing',
        'parse_routes': 'zinniaturn.tables.parsing',
        'read_table_file': 'zinniaturn.tables.files',
    },
)
