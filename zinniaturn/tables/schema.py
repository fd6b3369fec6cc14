"""The published JSON Schema of the table files."""

__all__ = ('SCHEMAS', 'schema_text')

import json
from collections.abc import Mapping
from types import MappingProxyType

from pydantic import BaseModel
from pydantic.json_schema import GenerateJsonSchema

from zinniaturn.tables.models import PoolFileModel, RouteFileModel

SCHEMAS: Mapping[str, type[BaseModel]] = MappingProxyType(
    {'pools': PoolFileModel, 'routes': RouteFileModel}
)

_TITLES = MappingProxyType(
    {'pools': 'zinniaturn pool file', 'routes': 'zinniaturn route file'}
)


def schema_text(table: str) -> str:
    """
    Return the JSON Schema of a file of ``routes`` or ``pools``.

    >>> '"$schema"' in schema_text('pools')
    True
    """
    schema = SCHEMAS[table].model_json_schema()
    document = {
        '$schema': GenerateJsonSchema.schema_dialect,
        **schema,
        'title': _TITLES[table],
    }
    text = json.dumps(document, indent=2)
    return f'{text}\n'
