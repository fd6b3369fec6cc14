"""
Callers of the soak, which send one request after the other until cancelled.

A caller looks up the gateways' addresses and keeps one connection open. It uses
the connection until the process behind it closes it or ends, a request on it
times out, or a look-up no longer returns its address.
"""

__all__ = ('Call', 'SoakCaller')

import asyncio
import random
from dataclasses import dataclass, field

from zinniaturn.experiments.soak.fleet import HOST, SoakFleet
from zinniaturn.experiments.soak.vms import VmProcess
from zinniaturn.platform.standins.wire import (
    decode_addresses,
    encode_lookup,
    encode_request,
    signature_of,
)

_SETUP_TIMEOUT_SECONDS = 1.0
_ADDRESS_KEEP_SECONDS = (2.0, 2.0, 6.0)
_CALLER_TIMEOUT_SECONDS = 2.5
_STATED_TIMEOUT_MS = 1500
_MEAN_PAUSE_SECONDS = 0.05
_POST_SHARE = 0.4
_CHANGED_ROUTE_SHARE = 0.2


@dataclass(slots=True)
class Call:
    """
    One request and its response; times are the event loop's.

    ``status`` is 0 if the connection ended without a response. ``signature``
    names the server that sent the response.
    """

    request_id: str
    route: str
    vm: VmProcess
    sent_at: float
    ended_at: float = 0
    status: int = 0
    signature: str = ''
    body: bytes = b''
    was_cut_off: bool = False
    timed_out: bool = False


@dataclass(slots=True)
class SoakCaller:
    """A caller with one connection; `run` sends until cancelled."""

    name: str
    fleet: SoakFleet
    random_source: random.Random
    calls: list[Call] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)
    addresses_expire_at: float = 0
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    vm: VmProcess | None = None

    async def run(self) -> None:
        """Send requests one after the other, with a short pause between."""
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() > self.addresses_expire_at:
                await self._look_up()
            if await self._connect():
                await self._call()
            await asyncio.sleep(
                self.random_source.uniform(0, 2) * _MEAN_PAUSE_SECONDS
            )

    def close(self) -> None:
        """Abort the connection, if one is open."""
        if self.streams is not None:
            self.streams[1].transport.abort()
        self.streams = None

    async def _look_up(self) -> None:
        loop = asyncio.get_running_loop()
        vms = self.random_source.sample(self.fleet.vms, len(self.fleet.vms))
        for vm in vms[:3]:
            try:
                async with asyncio.timeout(_SETUP_TIMEOUT_SECONDS):
                    self.addresses = await _fetch_addresses(vm)
            except (TimeoutError, OSError, EOFError, ValueError):
                continue
            self.addresses_expire_at = loop.time() + self.random_source.choice(
                _ADDRESS_KEEP_SECONDS
            )
            if (
                self.vm is not None
                and _caller_address(self.vm) not in self.addresses
            ):
                self.close()
            return

    async def _connect(self) -> bool:
        """Open a connection to a random address unless one is open."""
        if self.streams is not None:
            return True
        if not self.addresses:
            return False
        address = self.random_source.choice(self.addresses)
        self.vm = next(
            vm for vm in self.fleet.vms if _caller_address(vm) == address
        )
        try:
            async with asyncio.timeout(_SETUP_TIMEOUT_SECONDS):
                self.streams = await asyncio.open_connection(*self.vm.address)
        except (TimeoutError, OSError):
            self.addresses.remove(address)
            return False
        return True

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        assert self.streams is not None
        assert self.vm is not None
        call = Call(
            f'{self.name}-{len(self.calls)}',
            self._choose_route(),
            self.vm,
            loop.time(),
        )
        self.calls.append(call)
        reader, writer = self.streams
        writer.write(_encode_call(call))
        try:
            async with asyncio.timeout(_CALLER_TIMEOUT_SECONDS):
                is_reusable = await _read_response(reader, call)
        except TimeoutError:
            call.timed_out = True
            is_reusable = False
        except (OSError, EOFError, ValueError):
            call.was_cut_off = True
            is_reusable = False
        call.ended_at = loop.time()
        if not is_reusable:
            self.close()

    def _choose_route(self) -> str:
        random_number = self.random_source.random()
        if random_number < _POST_SHARE:
            return 'posts'
        changed_routes = [*self.fleet.added_routes, *self.fleet.removed_routes]
        if changed_routes and random_number > 1 - _CHANGED_ROUTE_SHARE:
            return self.random_source.choice(changed_routes)
        return 'reads'


async def _fetch_addresses(vm: VmProcess) -> list[str]:
    reader, writer = await asyncio.open_connection(*vm.directory)
    try:
        writer.write(encode_lookup(HOST, 'dc-0'))
        call = Call('', '', vm, 0)
        await _read_response(reader, call)
    finally:
        writer.transport.abort()
    return decode_addresses(call.body)


def _caller_address(vm: VmProcess) -> str:
    return f'{vm.host}:{vm.ports.front}'


def _encode_call(call: Call) -> bytes:
    method = 'POST' if call.route == 'posts' else 'GET'
    path = f'/{call.route}/1'
    return encode_request(
        method, path, HOST, call.request_id, _STATED_TIMEOUT_MS
    )


async def _read_response(reader: asyncio.StreamReader, call: Call) -> bool:
    """Read a response into a call; return whether to reuse the connection."""
    head = await reader.readuntil(b'\r\n\r\n')
    status_line, *field_lines = head.decode('latin-1').strip().split('\r\n')
    fields = dict(_parse_field(line) for line in field_lines)
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    call.status = int(status_line.split()[1])
    call.signature = signature_of(fields)
    call.body = body
    return fields.get('connection') != 'close'


def _parse_field(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.lower(), text.strip()
