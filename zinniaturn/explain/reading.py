"""Fetches explanations from the admin addresses of entries."""

__all__ = ('fetch_explanations',)

import asyncio
from collections.abc import Iterable
from urllib.parse import quote

import aiohttp
import msgspec

from zinniaturn.explain.exceptions import ExplainError
from zinniaturn.explain.messages import Explanation
from zinniaturn.explain.queries import Subject
from zinniaturn.tls.operators import get_from_admin

_REQUEST_TIMEOUT = aiohttp.ClientTimeout(5)


async def fetch_explanations(
    admins: Iterable[str],
    subject: Subject,
) -> list[Explanation]:
    """
    Return the explanations of the entries that respond, in address order.

    Entries that do not respond, or respond with an error, are skipped. Raises
    `ExplainError` if none is left.
    """
    async with aiohttp.ClientSession(timeout=_REQUEST_TIMEOUT) as session:
        results = await asyncio.gather(
            *(_fetch(session, admin, subject) for admin in admins),
        )
    found = [response for response in results if response is not None]
    if not found:
        raise ExplainError('no entry responds on its admin address')
    return found


async def _fetch(
    session: aiohttp.ClientSession,
    admin: str,
    subject: Subject,
) -> Explanation | None:
    name = quote(subject.name, safe='')
    path = f'/explain/{subject.kind.value}/{name}'
    try:
        async with get_from_admin(session, admin, path) as response:
            if response.status >= 400:
                return None
            return msgspec.json.decode(await response.read(), type=Explanation)
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return None
