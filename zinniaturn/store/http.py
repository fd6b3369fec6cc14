"""
HTTP client of the key-value store.

The wire format is that of `zinniaturn.standins.store`; only this module has to
be replaced for the platform's own format. Writes use POST, because the HTTP
client retries a PUT by itself when its reply is lost, and the retry would be
answered with a conflict although the first attempt took effect.
"""

__all__ = ('HttpStore',)

from http import HTTPStatus
from typing import Any

import aiohttp

from zinniaturn.store.exceptions import (
    LeaseLapsedError,
    StoreBusyError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from zinniaturn.store.port import Lease, VersionedValue

CALLER_HEADER = 'X-Store-Caller'

_MILLISECONDS_PER_SECOND = 1000


class HttpStore:
    """
    A client of the store at ``url``.

    ``timeout_seconds`` limits every call; a watch gets its wait in addition.
    ``caller`` is this process's name in the requests to the store.
    """

    def __init__(
        self,
        url: str,
        timeout_seconds: float = 2,
        caller: str = '',
    ) -> None:
        self.url = url.rstrip('/')
        self.headers = {CALLER_HEADER: caller}
        self.timeout_seconds = timeout_seconds
        self.session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the store."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def read(self, key: str) -> VersionedValue:
        """Return the key's value and version."""
        return _decode_value(await self._call('GET', f'/v1/keys/{key}'))

    async def compare_and_swap(
        self,
        key: str,
        expected_version: int,
        value: str,
        lease_id: str = '',
    ) -> int:
        """Write if the key has the expected version; return the new one."""
        reply = await self._call(
            'POST',
            f'/v1/keys/{key}',
            {'value': value, 'expected': expected_version, 'lease': lease_id},
        )
        return int(reply['version'])

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete the key if it has the expected version."""
        await self._call(
            'DELETE',
            f'/v1/keys/{key}?expected={expected_version}',
        )

    async def watch(
        self,
        key: str,
        after_version: int,
        wait_seconds: float,
    ) -> VersionedValue:
        """Wait until the version differs, or until the time limit."""
        wait_ms = int(wait_seconds * _MILLISECONDS_PER_SECOND)
        path = f'/v1/keys/{key}?after={after_version}&wait_ms={wait_ms}'
        return _decode_value(
            await self._call('GET', path, extra_seconds=wait_seconds)
        )

    async def grant_lease(self, holder: str, ttl_seconds: float) -> Lease:
        """Return a new lease."""
        reply = await self._call(
            'POST',
            '/v1/leases',
            {
                'holder': holder,
                'ttl_ms': int(ttl_seconds * _MILLISECONDS_PER_SECOND),
            },
        )
        return Lease(str(reply['lease']), int(reply['fencing']), ttl_seconds)

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease for another term."""
        await self._call('POST', f'/v1/leases/{lease_id}/renew')

    async def release_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        await self._call('DELETE', f'/v1/leases/{lease_id}')

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        extra_seconds: float = 0,
    ) -> dict[str, Any]:
        if self.session is None:
            self.session = aiohttp.ClientSession(headers=self.headers)
        timeout = aiohttp.ClientTimeout(self.timeout_seconds + extra_seconds)
        try:
            async with self.session.request(
                method,
                self.url + path,
                json=body,
                timeout=timeout,
                allow_redirects=False,
            ) as reply:
                return _check_reply(reply.status, await reply.json())
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise StoreUnavailableError(
                f'{method} {path}: {type(error).__name__}',
            ) from error


def _decode_value(reply: dict[str, Any]) -> VersionedValue:
    return VersionedValue(str(reply['value']), int(reply['version']))


def _check_reply(status: int, reply: dict[str, Any]) -> dict[str, Any]:
    if status == HTTPStatus.OK:
        return reply
    reason = str(reply.get('error', status))
    match status:
        case HTTPStatus.CONFLICT:
            raise StoreConflictError(reason)
        case HTTPStatus.GONE:
            raise LeaseLapsedError(reason)
        case HTTPStatus.TOO_MANY_REQUESTS:
            raise StoreBusyError(reason)
        case HTTPStatus.SERVICE_UNAVAILABLE:
            raise StoreUnavailableError(reason)
        case _:
            raise StoreError(reason)
