"""Asking entries for their explanations."""

__all__ = ('read_explanations',)

import asyncio
from collections.abc import Iterable
from urllib.parse import quote

import aiohttp
import msgspec

from zinniaturn.explain.exceptions import ExplainError
from zinniaturn.explain.messages import Explanation
from zinniaturn.explain.queries import Subject
from zinniaturn.tls.operators import get_from_admin

_TIMEOUT = aiohttp.ClientTimeout(5)


async def read_explanations(
    admins: Iterable[str],
    subject: Subject,
) -> list[Explanation]:
    """
    Return what each entry that answers knows, in the order of the addresses.

    Raises `ExplainError` where none answers.
    """
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        answers = await asyncio.gather(
            *(_read(session, admin, subject) for admin in admins),
        )
    found = [answer for answer in answers if answer is not None]
    if not found:
        raise ExplainError('no entry answers on its admin address')
    return found


async def _read(
    session: aiohttp.ClientSession,
    admin: str,
    subject: Subject,
) -> Explanation | None:
    name = quote(subject.name, safe='')
    path = f'/explain/{subject.kind.value}/{name}'
    try:
        async with get_from_admin(session, admin, path) as answer:
            if answer.status >= 400:
                return None
            return msgspec.json.decode(await answer.read(), type=Explanation)
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return None
