"""The published JSON Schema of the tenants of the operators' document."""

__all__ = ('tenants_schema_text',)

import json
from typing import Any

import msgspec

from zinniaturn.platform.tenant_rows import TenantRow

_DIALECT = 'https://json-schema.org/draft/2020-12/schema'
_TITLE = "zinniaturn tenants of the operators' document"
# The end of a text: Python's, and that of JSON Schema's regular expressions.
_PYTHON_END = r'\\Z'
_SCHEMA_END = '$'


def tenants_schema_text() -> str:
    r"""
    Return the JSON Schema of a document, of which only the tenants are told.

    The cells' types follow from the columns' names, in any order, and from the
    types by which VMs read them. That names and keys occur once can't be told.

    >>> '"rate_per_s"' in tenants_schema_text(), r'\\Z' in tenants_schema_text()
    (True, False)
    """
    row = msgspec.json.schema(TenantRow)['$defs'][TenantRow.__name__]
    required = row['required']
    cells = {
        name: cell if name in required else {'anyOf': [{'type': 'null'}, cell]}
        for name, cell in row['properties'].items()
    }
    table = _table_schema(list(cells), required)
    document = {
        '$schema': _DIALECT,
        'title': _TITLE,
        'type': 'object',
        'properties': {'tenants': {'anyOf': [{'type': 'null'}, table]}},
        '$defs': cells,
    }
    text = json.dumps(document, indent=2).replace(_PYTHON_END, _SCHEMA_END)
    return f'{text}\n'


def _table_schema(names: list[str], required: list[str]) -> dict[str, Any]:
    return {
        'type': 'object',
        'required': ['columns', 'rows'],
        'properties': {
            'columns': {
                'type': 'array',
                'items': {'enum': names},
                'uniqueItems': True,
                'allOf': [{'contains': {'const': name}} for name in required],
            },
            'rows': {'type': 'array', 'items': {'type': 'array'}},
        },
        'allOf': [
            *(
                _cell_rule(name, position)
                for name in names
                for position in range(len(names))
            ),
            *(_length_rule(count) for count in range(1, len(names) + 1)),
        ],
    }


def _cell_rule(name: str, position: int) -> dict[str, Any]:
    """Return what holds of the cells if a column has this name."""
    before: list[dict[str, Any]] = [{} for _ in range(position)]
    columns = {
        'minItems': position + 1,
        'prefixItems': [*before, {'const': name}],
    }
    cells = {'prefixItems': [*before, {'$ref': f'#/$defs/{name}'}]}
    return {
        'if': {'properties': {'columns': columns}},
        'then': {'properties': {'rows': {'items': cells}}},
    }


def _length_rule(count: int) -> dict[str, Any]:
    """Return that rows have as many cells as there are columns."""
    length = {'minItems': count, 'maxItems': count}
    return {
        'if': {'properties': {'columns': length}},
        'then': {'properties': {'rows': {'items': length}}},
    }
