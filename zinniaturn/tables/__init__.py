"""
The route table and the pool table.

Models validate what operators and the store hand in; the data classes of
`zinniaturn.tables.domain` are what the rest of the program works with.
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

from zinniaturn.tables.codec import decode_tables, encode_tables
from zinniaturn.tables.domain import Pool, Route, Server, Tables
from zinniaturn.tables.exceptions import InvalidTableError, TablesError
from zinniaturn.tables.files import read_table_file
from zinniaturn.tables.matching import RouteMatcher
from zinniaturn.tables.parsing import parse_pools, parse_routes
