"""
Table files in YAML.

A file holds a list of rows under ``routes`` or ``pools``. Every error names
the file, the line and the field.
"""

__all__ = ('parse_pools', 'parse_routes')

from typing import TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from zinniaturn.tables.exceptions import TablesError, TableSyntaxError
from zinniaturn.tables.models import PoolModel, RouteModel

Row = TypeVar('Row', bound=BaseModel)


def parse_routes(text: str, file_name: str) -> tuple[RouteModel, ...]:
    """Return the routes of a route file; raises `TablesError`."""
    return _parse(text, file_name, 'routes', RouteModel)


def parse_pools(text: str, file_name: str) -> tuple[PoolModel, ...]:
    """Return the pools of a pool file; raises `TablesError`."""
    return _parse(text, file_name, 'pools', PoolModel)


def _parse(
    text: str,
    file_name: str,
    section: str,
    model: type[Row],
) -> tuple[Row, ...]:
    root = _compose(text, file_name)
    rows = _rows(root, file_name, section)
    return tuple(_row(node, file_name, model) for node in rows)


def _compose(text: str, file_name: str) -> yaml.Node:
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise TableSyntaxError(
            f'{file_name}:{line}: not YAML: {error.problem}',
        ) from error
    if root is None:
        raise TableSyntaxError(f'{file_name}:1: the file is empty')
    return root


def _rows(root: yaml.Node, file_name: str, section: str) -> list[yaml.Node]:
    if isinstance(root, yaml.MappingNode):
        for key, rows in root.value:
            if key.value == section and isinstance(rows, yaml.SequenceNode):
                return list(rows.value)
    line = root.start_mark.line + 1
    raise TableSyntaxError(
        f'{file_name}:{line}: a list under "{section}" is missing',
    )


def _row(node: yaml.Node, file_name: str, model: type[Row]) -> Row:
    loader = yaml.SafeLoader('')
    try:
        return model.model_validate(loader.construct_document(node))
    except ValidationError as error:
        problem = error.errors()[0]
        location = problem['loc']
        line = _line_of(node, location) + 1
        field = '.'.join(str(part) for part in location)
        raise TablesError(
            f'{file_name}:{line}: {field}: {problem["msg"]}',
        ) from error
    finally:
        loader.dispose()


def _line_of(node: yaml.Node, location: tuple[int | str, ...]) -> int:
    line = node.start_mark.line
    for part in location:
        child = _child(node, part)
        if child is None:
            break
        node = child
        line = node.start_mark.line
    return line


def _child(node: yaml.Node, part: int | str) -> yaml.Node | None:
    match node:
        case yaml.MappingNode():
            for key, child in node.value:
                if key.value == part:
                    return child
        case yaml.SequenceNode() if isinstance(part, int):
            return node.value[part]
    return None
