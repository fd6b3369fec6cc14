"""The answer with new idempotency keys."""

__all__ = ('KeysAnswer', 'answer_keys')

import msgspec
from aiohttp import web

from zinniaturn.entry.answers import make_refusal
from zinniaturn.entry.at_most_once import AtMostOnceRunner
from zinniaturn.outcomes import Outcome

KEYS_PATH = '/v1/keys'

_MAX_COUNT = 1000
_MAX_DIGITS = 4


class KeysAnswer(msgspec.Struct):
    """Keys, and for how many seconds an unused one may still be used."""

    keys: list[str]
    lifetime_seconds: float


def answer_keys(runner: AtMostOnceRunner, query: str) -> web.Response:
    """Return ``count`` new keys as JSON; an entry that drains has none."""
    name, _, text = query.partition('=')
    if not query:
        text = '1'
    is_count = name in {'', 'count'} and text.isdecimal() and text.isascii()
    if not is_count or len(text) > _MAX_DIGITS:
        return _refuse('bad-request', 'count is not a number')
    if not 1 <= int(text) <= _MAX_COUNT:
        return _refuse('bad-request', f'count is not in 1 to {_MAX_COUNT}')
    state = runner.state
    if state.lifecycle.state == 'draining':
        return _refuse('draining', 'ask another entry')
    settings = state.settings
    answer = KeysAnswer(
        keys=runner.issue(int(text)),
        lifetime_seconds=min(
            settings.address_lifetime_seconds,
            settings.key_window_seconds / 2,
        ),
    )
    return web.Response(
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )


def _refuse(code: str, detail: str) -> web.Response:
    return make_refusal(code, Outcome.NOT_RUN, detail, '')
