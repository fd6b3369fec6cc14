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

_MAX_SHOWN_PROBLEMS = 50


class TablesError(CodedError):
    """A table is invalid."""

    code = 'table-invalid'


class TableFileError(TablesError):
    """A table file cannot be opened or is not text."""

    code = 'table-unreadable'


class InvalidTableError(TablesError):
    """A table file has problems, which are listed in the order of its lines."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        shown = [
            str(problem) for problem in self.problems[:_MAX_SHOWN_PROBLEMS]
        ]
        hidden_count = len(self.problems) - len(shown)
        if hidden_count:
            shown.append(f'and {hidden_count} more')
        super().__init__('\n  '.join((_summarize(self.problems), *shown)))


class TableSyntaxError(InvalidTableError):
    """A table file is not in the accepted subset of YAML."""

    code = 'table-syntax'


class DanglingRouteError(TablesError):
    """A route names a pool that does not exist."""

    code = 'route-without-pool'


def _summarize(problems: Sequence[Problem]) -> str:
    noun = 'problem' if len(problems) == 1 else 'problems'
    return f'{len(problems)} {noun}; nothing was changed'
