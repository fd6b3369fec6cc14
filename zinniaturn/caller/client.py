"""Looks up entry addresses, requests keys and sends single requests."""

__all__ = ('Caller', 'CallerResponse')

import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from zinniaturn.caller.exceptions import CallerError

CODE_HEADER = 'Zinniaturn-Code'
OUTCOME_HEADER = 'Zinniaturn-Outcome'
RETRY_AFTER_HEADER = 'Zinniaturn-Retry-After-Ms'

_KEYS_PER_BATCH = 32
_MILLISECONDS_PER_SECOND = 1000
_CONNECT_TIMEOUT_SECONDS = 2.0

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """
    A complete response.

    ``outcome`` is empty if the response comes from a backend server, else
    ``not-run``, ``run`` or ``unknown``.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: str

    @property
    def code(self) -> str:
        """Return the code if an entry generated the response, else ''."""
        return self.headers.get(CODE_HEADER, '')

    @property
    def retry_after_seconds(self) -> float:
        """Return the delay to wait before a retry; 0 if none was given."""
        text = self.headers.get(RETRY_AFTER_HEADER, '0')
        return int(text) / _MILLISECONDS_PER_SECOND


@dataclass(slots=True)
class KeyBatch:
    """Unused keys from one entry; ``expires_at`` is in monotonic seconds."""

    keys: list[str] = field(default_factory=list)
    expires_at: float = 0


class _LookupResponse(msgspec.Struct):
    entries: list['_EntryAddress']
    lifetime_seconds: float


class _EntryAddress(msgspec.Struct):
    host: str
    port: int


class _KeysResponse(msgspec.Struct):
    keys: list[str]
    lifetime_seconds: float


class Caller:
    """
    Sends requests to the entries that the system lists.

    ``seeds`` are the addresses for the first look-up.
    """

    def __init__(
        self, seeds: Sequence[Address], random_source: random.Random
    ) -> None:
        self.seeds = tuple(seeds)
        self.random_source = random_source
        self.addresses = list(seeds)
        self.expires_at = time.monotonic()
        self.key_batches: dict[Address, KeyBatch] = {}
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
    ) -> CallerResponse:
        """
        Send a request once, without retries, and return the response.

        Raises `CallerError` if no complete response is received.
        """
        address = await self.choose_address()
        return await self.send(address, method, path, headers, body)

    async def choose_address(self) -> Address:
        """Return a random entry; look up the addresses if they expired."""
        if time.monotonic() >= self.expires_at:
            await self.refresh_addresses()
        return self.random_source.choice(self.addresses)

    async def refresh_addresses(self) -> None:
        """Look up the addresses; keep the old ones if no entry responds."""
        for address in (*self.addresses, *self.seeds):
            try:
                response = await self.send(address, 'GET', '/v1/entries', {})
                decoded = msgspec.json.decode(
                    response.body, type=_LookupResponse
                )
            except (CallerError, msgspec.DecodeError):
                continue
            self.addresses = [
                (entry.host, entry.port) for entry in decoded.entries
            ]
            self.expires_at = time.monotonic() + decoded.lifetime_seconds
            return

    async def take_key(self, address: Address) -> str:
        """
        Return an unused key that the entry at ``address`` issued.

        Raises `CallerError` if it issues none, for example during shutdown.
        """
        batch = self.key_batches.setdefault(address, KeyBatch())
        if time.monotonic() >= batch.expires_at:
            batch.keys = []
        if not batch.keys:
            path = f'/v1/keys?count={_KEYS_PER_BATCH}'
            response = await self.send(address, 'GET', path, {})
            if response.outcome:
                raise CallerError(f'no key: {response.code}', response.code)
            decoded = msgspec.json.decode(response.body, type=_KeysResponse)
            batch.keys = decoded.keys
            batch.expires_at = time.monotonic() + decoded.lifetime_seconds
        return batch.keys.pop()

    async def send(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> CallerResponse:
        """Send one request to one entry, as `call` does."""
        host, port = address
        try:
            async with self._get_session().request(
                method,
                f'http://{host}:{port}{path}',
                headers=headers,
                data=body or None,
                allow_redirects=False,
            ) as response:
                return CallerResponse(
                    response.status,
                    response.headers,
                    await response.read(),
                    response.headers.get(OUTCOME_HEADER, ''),
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise CallerError(f'{host}:{port}: {error!r}') from error

    def _get_session(self) -> aiohttp.ClientSession:
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(
                    sock_connect=_CONNECT_TIMEOUT_SECONDS
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            self.session._retry_connection = False
        return self.session
