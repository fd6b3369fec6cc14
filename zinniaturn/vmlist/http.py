"""
Client that reads the VM list over HTTP.

It uses the wire format of `zinniaturn.standins.vm_list`. To support the
platform's own format, only this module has to be replaced.
"""

__all__ = ('HttpVmList',)

from http import HTTPStatus

import aiohttp
import msgspec

from zinniaturn.vmlist.exceptions import VmListError
from zinniaturn.vmlist.port import ListedVm

_PATH = '/v1/vms'


class HttpVmList:
    """Client of the VM list at ``url``, with a time limit for each call."""

    def __init__(self, url: str, timeout_seconds: float = 2) -> None:
        self.url = url.rstrip('/')
        self.timeout = aiohttp.ClientTimeout(timeout_seconds)
        self.session: aiohttp.ClientSession | None = None

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the listed VMs; raises `VmListError`."""
        if self.session is None:
            self.session = aiohttp.ClientSession(timeout=self.timeout)
        try:
            async with self.session.get(self.url + _PATH) as response:
                status = response.status
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise VmListError(type(error).__name__) from error
        if status != HTTPStatus.OK:
            raise VmListError(f'status {status}')
        try:
            return msgspec.json.decode(body, type=tuple[ListedVm, ...])
        except msgspec.DecodeError as error:
            raise VmListError(str(error)) from error

    async def close(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()
            self.session = None
