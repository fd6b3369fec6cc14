"""
The route table and the pool table.

Models validate what operators and the store hand in; the data classes of
`zinniaturn.tables.domain` are what the rest of the program works with. What
needs the models is loaded on its first use, so that a process that works with
the domain alone stays small.
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
