"""Loads modules of a package lazily, on the first access to a name."""

__all__ = ('load_on_use',)

import importlib
from collections.abc import Callable, Mapping


def load_on_use(
    package: str,
    modules: Mapping[str, str],
) -> Callable[[str], object]:
    """
    Return a package's ``__getattr__`` function that loads names on first use.

    ``modules`` maps each name to the module that defines it.

    >>> load = load_on_use('zinniaturn', {'Clock': 'zinniaturn.clock'})
    >>> load('Clock').__name__
    'Clock'
    """

    def load_attribute(name: str) -> object:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f'module {package!r} has no {name!r}')
        return getattr(importlib.import_module(module), name)

    return load_attribute
