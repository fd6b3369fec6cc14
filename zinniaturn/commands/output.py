"""Prints the results and errors of commands as text, YAML or JSON."""

__all__ = ('format_columns', 'print_error', 'print_json', 'print_yaml')

from collections.abc import Sequence

import click
import msgspec
import yaml

from zinniaturn.errors import CodedError

_COLUMN_GAP = '  '


class ProblemOutput(msgspec.Struct):
    """A problem of a table file."""

    file: str
    line: int
    field: str
    text: str


class ErrorDetails(msgspec.Struct):
    """An error's code, message and, for a table file, its problems."""

    code: str
    message: str
    problems: list[ProblemOutput]


class ErrorOutput(msgspec.Struct):
    """The output of a failed command with ``--json``."""

    error: ErrorDetails


def print_json(document: object) -> None:
    """Print a document as one line of JSON."""
    click.echo(msgspec.json.encode(document).decode())


def print_yaml(document: object) -> None:
    """Print a document as YAML and preserve the order of its keys."""
    text = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
    click.echo(text, nl=False)


def print_error(error: CodedError, as_json: bool) -> None:
    """Print an error: a line on standard error, or JSON on standard output."""
    if as_json:
        print_json(_build_error_output(error))
    else:
        click.echo(f'zinniaturn: {error}', err=True)


def format_columns(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """
    Return a table with a header and aligned columns.

    >>> format_columns(['a', 'b'], [['long', 'x']]).splitlines()
    ['a     b', 'long  x']
    """
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _build_error_output(error: CodedError) -> ErrorOutput:
    problems = [
        ProblemOutput(
            problem.file_name,
            problem.line,
            problem.field,
            problem.text,
        )
        for problem in getattr(error, 'problems', ())
    ]
    return ErrorOutput(ErrorDetails(error.code, error.message, problems))
