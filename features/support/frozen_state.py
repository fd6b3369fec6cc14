"""Takes a copy of a process's whole state, to detect any change of it."""

import enum
import random
from collections import deque

_SIMPLE = (str, bytes, int, float, bool, type(None), enum.Enum)


def freeze(thing, seen=None):
    """Return plain tuples that are equal as long as nothing has changed."""
    seen = {} if seen is None else seen
    if isinstance(thing, _SIMPLE):
        return repr(thing)
    known = seen.get(id(thing))
    if known is not None:
        return 'seen', known[0]
    # Objects are kept, as another one could get the id of one that is gone.
    seen[id(thing)] = len(seen), thing
    if isinstance(thing, random.Random):
        return thing.getstate()
    if isinstance(thing, dict):
        pairs = thing.items()
        return tuple(
            (freeze(one, seen), freeze(two, seen)) for one, two in pairs
        )
    if isinstance(thing, (list, tuple, deque)):
        return tuple(freeze(one, seen) for one in thing)
    if isinstance(thing, (set, frozenset)):
        return tuple(sorted(map(repr, thing)))
    if type(thing).__module__.startswith('zinniaturn'):
        return type(thing).__name__, freeze(_fields(thing), seen)
    return type(thing).__name__


def _fields(thing):
    names = dict.fromkeys(getattr(thing, '__dict__', ()))
    for kind in type(thing).__mro__:
        slots = getattr(kind, '__slots__', ())
        names.update(
            dict.fromkeys([slots] if isinstance(slots, str) else slots)
        )
    return {name: getattr(thing, name, None) for name in names}


def first_difference(one, two, path=()):
    """Return the way to the first difference of two copies, and both parts."""
    if one == two:
        return None
    are_parts = isinstance(one, tuple) and isinstance(two, tuple)
    if not are_parts or len(one) != len(two):
        return path, one, two
    for first, second in zip(one, two, strict=True):
        name = first[0] if isinstance(first, tuple) and first else ''
        found = first_difference(first, second, (*path, str(name)[:40]))
        if found is not None:
            return found
    return path, one, two
