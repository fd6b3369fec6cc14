"""
Reads YAML documents and records the line of each field.

Only a subset of YAML is accepted: a single document without anchors, aliases,
tags or duplicate keys in a mapping.
"""

__all__ = ('Document', 'FieldPath', 'format_path', 'read_document')

from dataclasses import dataclass, field
from typing import Any

import yaml

from zinniaturn.tables.exceptions import TableSyntaxError
from zinniaturn.tables.problems import Problem

FieldPath = tuple[int | str, ...]

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_MAX_DEPTH = 16
_STRING_TAG = 'tag:yaml.org,2002:str'


@dataclass(slots=True)
class Document:
    """
    The data of a file and the line of each field.

    ``problems`` were found while reading; ``data`` lacks the parts that they
    concern.
    """

    file_name: str
    data: object = None
    lines: dict[FieldPath, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def line_of(self, path: FieldPath) -> int:
        """Return the line of a field, or of its nearest enclosing field."""
        while path not in self.lines and path:
            path = path[:-1]
        return self.lines.get(path, 1)

    def report(self, path: FieldPath, text: str, line: int = 0) -> None:
        """Add a problem at a field."""
        self.problems.append(
            Problem(
                self.file_name,
                line or self.line_of(path),
                format_path(path),
                text,
            ),
        )


def format_path(path: FieldPath) -> str:
    """
    Return the path in the notation that operators see.

    >>> format_path(('pools', 0, 'servers', 2, 'port'))
    'pools[0].servers[2].port'
    """
    parts = (
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    )
    return ''.join(parts).removeprefix('.')


def read_document(text: str, file_name: str) -> Document:
    """Return the document in ``text``; raises `TableSyntaxError`."""
    document = Document(file_name)
    try:
        _check_structure(text, document)
        if document.problems:
            raise TableSyntaxError(document.problems)
        root = yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        raise TableSyntaxError([_syntax_problem(error, document)]) from error
    if root is None:
        raise TableSyntaxError([Problem(file_name, 1, '', 'the file is empty')])
    loader = _LOADER('')
    try:
        document.data = _NodeReader(document, loader).read(root, ())
    finally:
        loader.dispose()
    return document


def _check_structure(text: str, document: Document) -> None:
    depth = 0
    documents = 0
    for event in yaml.parse(text, Loader=_LOADER):
        line = _line_number(event.start_mark)
        match event:
            case yaml.DocumentStartEvent():
                documents += 1
                if documents > 1:
                    document.report((), 'a second document', line)
                    return
            case yaml.CollectionStartEvent():
                depth += 1
            case yaml.CollectionEndEvent():
                depth -= 1
        if depth > _MAX_DEPTH:
            document.report((), f'nested over {_MAX_DEPTH} deep', line)
            return
        _check_no_references(event, document, line)


def _check_no_references(
    event: yaml.Event, document: Document, line: int
) -> None:
    if isinstance(event, yaml.AliasEvent):
        document.report((), f'the alias *{event.anchor} is not allowed', line)
        return
    anchor = getattr(event, 'anchor', None)
    if anchor:
        document.report((), f'the anchor &{anchor} is not allowed', line)
    tag = getattr(event, 'tag', None)
    if tag:
        document.report((), f'the tag {tag} is not allowed', line)


def _line_number(mark: Any) -> int:
    return mark.line + 1 if mark else 1


def _syntax_problem(error: yaml.YAMLError, document: Document) -> Problem:
    reason = getattr(error, 'problem', None) or getattr(error, 'reason', '')
    line = _line_number(getattr(error, 'problem_mark', None))
    return Problem(document.file_name, line, '', f'not YAML: {reason}')


class _NodeReader:
    """Converts YAML nodes into data and reports invalid ones."""

    def __init__(self, document: Document, loader: yaml.SafeLoader) -> None:
        self.document = document
        self.loader = loader

    def read(self, node: yaml.Node, path: FieldPath) -> object:
        self.document.lines.setdefault(path, _line_number(node.start_mark))
        match node:
            case yaml.MappingNode():
                return self._read_mapping(node, path)
            case yaml.SequenceNode():
                return [
                    self.read(child, (*path, index))
                    for index, child in enumerate(node.value)
                ]
        return self._read_scalar(node, path)

    def _read_mapping(
        self,
        node: yaml.MappingNode,
        path: FieldPath,
    ) -> dict[str, object]:
        data: dict[str, object] = {}
        for key, child in node.value:
            line = _line_number(key.start_mark)
            if key.tag != _STRING_TAG:
                self.document.report(path, 'a key is not text', line)
                continue
            child_path = (*path, key.value)
            if key.value in data:
                first = self.document.lines[child_path]
                text = f'stands twice, first on line {first}'
                self.document.report(child_path, text, line)
                continue
            self.document.lines[child_path] = line
            data[key.value] = self.read(child, child_path)
        return data

    def _read_scalar(self, node: yaml.Node, path: FieldPath) -> object:
        try:
            return self.loader.construct_object(node)
        except (ValueError, OverflowError, yaml.YAMLError):
            kind = node.tag.rpartition(':')[2]
            self.document.report(path, f'cannot be read as {kind}')
            return None
