"""Errors of the tables."""

__all__ = ('DanglingRouteError', 'TableSyntaxError', 'TablesError')

from zinniaturn.errors import CodedError


class TablesError(CodedError):
    """A table is not acceptable."""

    code = 'table-invalid'


class TableSyntaxError(TablesError):
    """A table file cannot be read as YAML."""

    code = 'table-syntax'


class DanglingRouteError(TablesError):
    """A route names a pool that does not exist."""

    code = 'route-without-pool'
