"""
The route table and the pool table.

Models validate what operators and the store hand in; the data classes of
`zinniaturn.tables.domain` are what the rest of the program works with.
"""

__all__ = (
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
)

from zinniaturn.tables.codec import decode_tables, encode_tables
from zinniaturn.tables.domain import Pool, Route, Server, Tables
from zinniaturn.tables.exceptions import TablesError
from zinniaturn.tables.matching import RouteMatcher
from zinniaturn.tables.parsing import parse_pools, parse_routes
