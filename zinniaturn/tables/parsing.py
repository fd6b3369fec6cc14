"""
Parses table files in YAML.

A file holds a list of rows under ``routes`` or ``pools``. All problems of a
file are reported together, each with the file, the line and the field.
"""

__all__ = ('parse_pools', 'parse_routes')

import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from zinniaturn.tables.documents import (
    Document,
    FieldPath,
    format_path,
    read_document,
)
from zinniaturn.tables.exceptions import InvalidTableError
from zinniaturn.tables.models import (
    DUPLICATE_NAME,
    PoolFileModel,
    PoolModel,
    RouteFileModel,
    RouteModel,
)

Model = TypeVar('Model', bound=BaseModel)

_MAX_SHOWN_CHARACTERS = 60
_ERROR_TEXTS = MappingProxyType(
    {
        'extra_forbidden': 'there is no such field',
        'missing': 'is missing',
        'model_type': 'not a mapping of fields',
        'too_short': 'the list is empty',
        'tuple_type': 'not a list',
    }
)
_MESSAGE_START = re.compile('^(Input|String) should')


def parse_routes(text: str, file_name: str) -> tuple[RouteModel, ...]:
    """Return the routes of a route file; raises `InvalidTableError`."""
    return _parse(text, file_name, RouteFileModel).routes


def parse_pools(text: str, file_name: str) -> tuple[PoolModel, ...]:
    """Return the pools of a pool file; raises `InvalidTableError`."""
    return _parse(text, file_name, PoolFileModel).pools


def _parse(text: str, file_name: str, model: type[Model]) -> Model:
    document = read_document(text, file_name)
    _report_duplicate_names(document, document.data, ())
    try:
        rows = model.model_validate(document.data)
    except ValidationError as error:
        _report_invalid_fields(document, error)
        raise InvalidTableError(sorted(document.problems)) from error
    if document.problems:
        raise InvalidTableError(sorted(document.problems))
    return rows


def _report_invalid_fields(
    document: Document,
    error: ValidationError,
) -> None:
    reported = {problem.field for problem in document.problems}
    for details in error.errors(include_url=False):
        path: FieldPath = details['loc']
        is_reported = format_path(path) in reported
        if not is_reported and not _is_reported_elsewhere(details):
            document.report(path, _describe_error(details))


def _is_reported_elsewhere(details: ErrorDetails) -> bool:
    if details['type'] == 'too_short':
        return bool(details['input'])
    return details['type'] == DUPLICATE_NAME


def _describe_error(details: ErrorDetails) -> str:
    fixed_text = _ERROR_TEXTS.get(details['type'])
    if fixed_text is not None:
        return fixed_text
    shown = repr(details['input'])
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = f'{shown[:_MAX_SHOWN_CHARACTERS]}...'
    return f'{_MESSAGE_START.sub("must", details["msg"])}, not {shown}'


def _report_duplicate_names(
    document: Document,
    data: object,
    path: FieldPath,
) -> None:
    """Report each row that has the name of an earlier row of its list."""
    if isinstance(data, Mapping):
        for key, child in data.items():
            _report_duplicate_names(document, child, (*path, key))
    elif isinstance(data, list):
        first_index: dict[str, int] = {}
        for index, name in _named_rows(data):
            earlier = first_index.setdefault(name, index)
            if earlier != index:
                line = document.line_of((*path, earlier, 'name'))
                text = f'"{name}" stands twice, first on line {line}'
                document.report((*path, index, 'name'), text)
        for index, row in enumerate(data):
            _report_duplicate_names(document, row, (*path, index))


def _named_rows(rows: list[object]) -> Iterator[tuple[int, str]]:
    for index, row in enumerate(rows):
        name = row.get('name') if isinstance(row, Mapping) else None
        if isinstance(name, str):
            yield index, name
