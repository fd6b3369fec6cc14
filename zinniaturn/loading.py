"""Loading parts of a package when they are first asked for."""

__all__ = ('load_on_use',)

import importlib
from collections.abc import Callable, Mapping


def load_on_use(
    package: str,
    modules: Mapping[str, str],
) -> Callable[[str], object]:
    """
    Return the ``__getattr__`` of a package that loads names on their use.

    ``modules`` maps a name to the module that has it.

    >>> get = load_on_use('zinniaturn', {'Clock': 'zinniaturn.clock'})
    >>> get('Clock').__name__
    'Clock'
    """

    def load_attribute(name: str) -> object:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f'module {package!r} has no {name!r}')
        return getattr(importlib.import_module(module), name)

    return load_attribute
