"""Asking for addresses and sending requests to them."""

__all__ = ('Caller', 'CallerAnswer')

import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

from zinniaturn.caller.exceptions import CallerError

OUTCOME_HEADER = 'Zinniaturn-Outcome'

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """
    A whole answer.

    ``outcome`` is empty on a backend server's own answer, else ``not-run``,
    ``run`` or ``unknown``.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: str


class Caller:
    """
    Sends requests to the entries that the system names.

    ``seeds`` are the addresses to ask first.
    """

    def __init__(self, seeds: Sequence[Address], source: random.Random) -> None:
        self.seeds = tuple(seeds)
        self.source = source
        self.addresses = list(seeds)
        self.expires_at = time.monotonic()
        self.session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()

    async def call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> CallerAnswer:
        """
        Send one request once and return the answer.

        Raises `CallerError` where no whole answer came.
        """
        if time.monotonic() >= self.expires_at:
            await self.refresh()
        address = self.source.choice(self.addresses)
        return await self._send(address, method, path, headers, body)

    async def refresh(self) -> None:
        """Ask which addresses to use; keep the old ones if none answers."""
        for address in (*self.addresses, *self.seeds):
            try:
                answer = await self._send(address, 'GET', '/v1/entries', {})
            except CallerError:
                continue
            self._take(answer)
            return

    def _take(self, answer: CallerAnswer) -> None:

        reply = msgspec.json.decode(answer.body)
        self.addresses = [
            (entry['host'], entry['port']) for entry in reply['entries']
        ]
        self.expires_at = time.monotonic() + reply['lifetime_seconds']

    async def _send(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> CallerAnswer:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(connector=connector)
            self.session._retry_connection = False
        host, port = address
        try:
            async with self.session.request(
                method,
                f'http://{host}:{port}{path}',
                headers=headers,
                data=body or None,
                allow_redirects=False,
            ) as response:
                return CallerAnswer(
                    response.status,
                    response.headers,
                    await response.read(),
                    response.headers.get(OUTCOME_HEADER, ''),
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise CallerError(f'{host}:{port}: {error}') from error
