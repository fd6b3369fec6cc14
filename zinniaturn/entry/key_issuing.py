"""Issues new idempotency keys to callers."""

__all__ = ('KeysResponse', 'handle_keys')

import msgspec
from aiohttp import web

from zinniaturn.entry.at_most_once import AtMostOnceRunner
from zinniaturn.entry.responses import make_rejection
from zinniaturn.outcomes import Outcome

KEYS_PATH = '/v1/keys'

_MAX_KEYS_PER_REQUEST = 1000
_MAX_COUNT_DIGITS = 4


class KeysResponse(msgspec.Struct):
    """New keys, and for how many seconds their first use is allowed."""

    keys: list[str]
    lifetime_seconds: float


def handle_keys(runner: AtMostOnceRunner, query: str) -> web.Response:
    """Return ``count`` new keys as JSON, or a rejection while draining."""
    name, _, count_text = query.partition('=')
    if not query:
        count_text = '1'
    is_count = (
        name in {'', 'count'}
        and count_text.isdecimal()
        and count_text.isascii()
    )
    if not is_count or len(count_text) > _MAX_COUNT_DIGITS:
        return _reject('bad-request', 'count is not a number')
    if not 1 <= int(count_text) <= _MAX_KEYS_PER_REQUEST:
        return _reject(
            'bad-request', f'count is not in 1 to {_MAX_KEYS_PER_REQUEST}'
        )
    state = runner.state
    if state.lifecycle.state == 'draining':
        return _reject('draining', 'ask another entry')
    settings = state.settings
    keys_response = KeysResponse(
        keys=runner.issue(int(count_text)),
        lifetime_seconds=min(
            settings.address_lifetime_seconds,
            settings.key_window_seconds / 2,
        ),
    )
    return web.Response(
        body=msgspec.json.encode(keys_response),
        content_type='application/json',
    )


def _reject(code: str, detail: str) -> web.Response:
    return make_rejection(code, Outcome.NOT_RUN, detail, '')
