"""Checking of settings, with errors that name flag, variable and value."""

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

PREFIX = 'ZINNIATURN_'

Model = TypeVar('Model', bound=BaseModel)

_KINDS = MappingProxyType(
    {
        'integer': 'a whole number',
        'number': 'a number',
        'boolean': 'true or false',
        'string': 'text',
    }
)
_BOUNDS = MappingProxyType(
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
    return f'{PREFIX}{field.upper()}'


def allowed_text(model: type[BaseModel], field: str) -> str:
    """Return which values a settings field takes, as operators read it."""
    return _describe(_properties_of(model)[field])


def check_settings(model: type[Model], given: Mapping[str, object]) -> Model:
    """Return the settings; raises `SettingsError` that lists all bad ones."""
    try:
        return model.model_validate(dict(given))
    except ValidationError as error:
        lines = [
            _line(model, details, given)
            for details in error.errors(include_url=False)
        ]
        raise SettingsError('\n  '.join(lines)) from error


def unknown_variables(
    environment: Iterable[str],
    known: Iterable[str],
    prefixes: tuple[str, ...] = (),
) -> dict[str, str]:
    """
    Return each unknown variable of the program with the one it resembles.

    Variables that begin with one of ``prefixes`` are taken as known.

    >>> unknown_variables(['ZINNIATURN_PROT', 'HOME'], ['ZINNIATURN_PORT'])
    {'ZINNIATURN_PROT': 'ZINNIATURN_PORT'}
    """
    names = frozenset(known)
    return {
        name: _closest(name, names)
        for name in sorted(environment)
        if name.startswith(PREFIX)
        and name not in names
        and not name.startswith(prefixes)
    }


def _closest(name: str, names: Iterable[str]) -> str:
    return next(iter(difflib.get_close_matches(name, names, 1)), '')


def _line(
    model: type[BaseModel],
    details: ErrorDetails,
    given: Mapping[str, object],
) -> str:
    message = details['msg'].removeprefix('Value error, ')
    if not details['loc']:
        return message
    field = str(details['loc'][0])
    place = f'{flag_of(field)} ({variable_of(field)})'
    allowed = allowed_text(model, field)
    if details['type'] == 'missing':
        return f'{place}: is required; allowed is {allowed}'
    return (
        f'{place}: {given.get(field)!r} is not allowed: {message}; '
        f'allowed is {allowed}'
    )


@lru_cache(maxsize=8)
def _properties_of(model: type[BaseModel]) -> Mapping[str, Any]:
    properties: Mapping[str, Any] = model.model_json_schema()['properties']
    return properties


def _describe(schema: Mapping[str, Any]) -> str:
    match schema:
        case {'allowed': allowed}:
            return str(allowed)
        case {'enum': members}:
            return f'one of {", ".join(members)}'
        case {'anyOf': kinds}:
            stated = [kind for kind in kinds if kind['type'] != 'null']
            return ' or '.join(_describe(kind) for kind in stated)
    bounds = [
        text.format(schema[key])
        for key, text in _BOUNDS.items()
        if key in schema
    ]
    return ' '.join((_KINDS.get(schema.get('type', ''), 'text'), *bounds))
