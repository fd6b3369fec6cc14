"""Errors of the tables."""

__all__ = (
    'DanglingRouteError',
    'InvalidTableError',
    'TableFileError',
    'TableSyntaxError',
    'TablesError',
)

from collections.abc import Sequence

from zinniaturn.errors import CodedError
from zinniaturn.tables.problems import Problem

_SHOWN_PROBLEMS = 50


class TablesError(CodedError):
    """A table is not acceptable."""

    code = 'table-invalid'


class TableFileError(TablesError):
    """A table file cannot be read at all."""

    code = 'table-unreadable'


class InvalidTableError(TablesError):
    """A table file has these problems, in the order of its lines."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        shown = [str(problem) for problem in self.problems[:_SHOWN_PROBLEMS]]
        hidden = len(self.problems) - len(shown)
        if hidden:
            shown.append(f'and {hidden} more')
        super().__init__('\n  '.join((_count(self.problems), *shown)))


class TableSyntaxError(InvalidTableError):
    """A table file is not YAML as the format has it."""

    code = 'table-syntax'


class DanglingRouteError(TablesError):
    """A route names a pool that does not exist."""

    code = 'route-without-pool'


def _count(problems: Sequence[Problem]) -> str:
    noun = 'problem' if len(problems) == 1 else 'problems'
    return f'{len(problems)} {noun}; nothing was changed'
