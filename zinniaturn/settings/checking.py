"""
Validates settings and reports every invalid one in a single error.

The error names the flag, the environment variable, the value and what is
allowed, so that an operator can correct all of them at once.
"""

__all__ = (
    'allowed_text',
    'check_settings',
    'flag_of',
    'unknown_variables',
    'variable_of',
)

import difflib
from collections.abc import Iterable, Mapping
from functools import lru_cache
from types import MappingProxyType
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from zinniaturn.settings.exceptions import SettingsError

VARIABLE_PREFIX = 'ZINNIATURN_'

Model = TypeVar('Model', bound=BaseModel)

_TYPE_NAMES = MappingProxyType(
    {
        'integer': 'a whole number',
        'number': 'a number',
        'boolean': 'true or false',
        'string': 'text',
    }
)
_BOUND_TEXTS = MappingProxyType(
    {
        'minimum': 'from {}',
        'exclusiveMinimum': 'over {}',
        'maximum': 'to {}',
        'exclusiveMaximum': 'under {}',
        'maxLength': 'of at most {} characters',
        'pattern': 'that matches {}',
    }
)


def flag_of(field: str) -> str:
    """
    Return the flag of a settings field.

    >>> flag_of('store_url')
    '--store-url'
    """
    return f'--{field.replace("_", "-")}'


def variable_of(field: str) -> str:
    """
    Return the environment variable of a settings field.

    >>> variable_of('store_url')
    'ZINNIATURN_STORE_URL'
    """
    return f'{VARIABLE_PREFIX}{field.upper()}'


def allowed_text(model: type[BaseModel], field: str) -> str:
    """Return a description for operators of a field's allowed values."""
    return _describe_allowed(_schema_properties(model)[field])


def check_settings(model: type[Model], given: Mapping[str, object]) -> Model:
    """Return the validated settings; `SettingsError` lists all invalid ones."""
    try:
        return model.model_validate(dict(given))
    except ValidationError as error:
        lines = [
            _format_problem(model, details, given)
            for details in error.errors(include_url=False)
        ]
        raise SettingsError('\n  '.join(lines)) from error


def unknown_variables(
    environment: Iterable[str],
    known: Iterable[str],
    prefixes: tuple[str, ...] = (),
) -> dict[str, str]:
    """
    Map each unknown ``ZINNIATURN_`` variable to the closest known name.

    The name is empty if none is close. Variables that begin with one of
    ``prefixes`` count as known.

    >>> unknown_variables(['ZINNIATURN_PROT', 'HOME'], ['ZINNIATURN_PORT'])
    {'ZINNIATURN_PROT': 'ZINNIATURN_PORT'}
    """
    names = frozenset(known)
    return {
        name: _closest_name(name, names)
        for name in sorted(environment)
        if name.startswith(VARIABLE_PREFIX)
        and name not in names
        and not name.startswith(prefixes)
    }


def _closest_name(name: str, names: Iterable[str]) -> str:
    return next(iter(difflib.get_close_matches(name, names, 1)), '')


def _format_problem(
    model: type[BaseModel],
    details: ErrorDetails,
    given: Mapping[str, object],
) -> str:
    message = details['msg'].removeprefix('Value error, ')
    if not details['loc']:
        return message
    field = str(details['loc'][0])
    setting = f'{flag_of(field)} ({variable_of(field)})'
    allowed = allowed_text(model, field)
    if details['type'] == 'missing':
        return f'{setting}: is required; allowed is {allowed}'
    return (
        f'{setting}: {given.get(field)!r} is not allowed: {message}; '
        f'allowed is {allowed}'
    )


@lru_cache(maxsize=8)
def _schema_properties(model: type[BaseModel]) -> Mapping[str, Any]:
    properties: Mapping[str, Any] = model.model_json_schema()['properties']
    return properties


def _describe_allowed(schema: Mapping[str, Any]) -> str:
    match schema:
        case {'allowed': allowed}:
            return str(allowed)
        case {'enum': members}:
            return f'one of {", ".join(members)}'
        case {'anyOf': alternatives}:
            non_null = [
                alternative
                for alternative in alternatives
                if alternative['type'] != 'null'
            ]
            return ' or '.join(
                _describe_allowed(alternative) for alternative in non_null
            )
    bounds = [
        text.format(schema[key])
        for key, text in _BOUND_TEXTS.items()
        if key in schema
    ]
    return ' '.join((_TYPE_NAMES.get(schema.get('type', ''), 'text'), *bounds))
