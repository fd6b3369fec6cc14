"""Changes as text for operators."""

__all__ = ('format_change',)

import difflib

import yaml

from zinniaturn.configuration.changes import Change
from zinniaturn.tables.codec import models_of
from zinniaturn.tables.domain import Tables


def format_change(change: Change, before: str, after: str) -> str:
    """Return the change as a unified difference of YAML."""
    lines = difflib.unified_diff(
        _text(change.before).splitlines(),
        _text(change.after).splitlines(),
        before,
        after,
        lineterm='',
    )
    return '\n'.join(lines)


def _text(tables: Tables) -> str:
    routes, pools = models_of(tables)
    return yaml.safe_dump(
        {
            'routes': [route.model_dump(mode='json') for route in routes],
            'pools': [pool.model_dump(mode='json') for pool in pools],
        },
        sort_keys=False,
    )
