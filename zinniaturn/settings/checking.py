"""Checking of settings, with errors that name flag, variable and value."""

__all__ = ('check_settings', 'flag_of', 'variable_of')

from collections.abc import Mapping
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from zinniaturn.settings.exceptions import SettingsError

Model = TypeVar('Model', bound=BaseModel)


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
    return f'ZINNIATURN_{field.upper()}'


def check_settings(model: type[Model], given: Mapping[str, object]) -> Model:
    """Return the settings, or raise `SettingsError` for the first bad one."""
    try:
        return model.model_validate(dict(given))
    except ValidationError as error:
        problem = error.errors()[0]
        field = str(problem['loc'][0]) if problem['loc'] else ''
        raise SettingsError(
            f'{flag_of(field)} ({variable_of(field)}): '
            f'{given.get(field)!r} is not allowed: {problem["msg"]}',
        ) from error
