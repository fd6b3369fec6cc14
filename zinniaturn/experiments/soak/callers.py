"""
Callers of a soak: they look addresses up, keep connections and never give up.

A connection is used until the process behind it closes it or is gone.
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

_LOOKUP_SECONDS = 1.0
_KEEP_SECONDS = (2.0, 2.0, 6.0)
_WAIT_SECONDS = 2.5
_WAIT_MS = 1500
_PAUSE_SECONDS = 0.05
_POST_SHARE = 0.4
_ADDED_SHARE = 0.2


@dataclass(slots=True)
class Call:
    """
    One request and what its caller got; times are the loop's.

    ``status`` is 0 where the connection ended without an answer.
    """

    request_id: str
    route: str
    vm: VmProcess
    sent_at: float
    ended_at: float = 0
    status: int = 0
    mark: str = ''
    body: bytes = b''
    was_cut: bool = False
    gave_up: bool = False


@dataclass(slots=True)
class SoakCaller:
    """One caller; `run` until cancelled."""

    name: str
    fleet: SoakFleet
    source: random.Random
    calls: list[Call] = field(default_factory=list)
    fronts: list[str] = field(default_factory=list)
    fronts_until: float = 0
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    vm: VmProcess | None = None

    async def run(self) -> None:
        """Send one request after the other."""
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() > self.fronts_until:
                await self._look_up()
            if await self._connect():
                await self._call()
            await asyncio.sleep(self.source.uniform(0, 2) * _PAUSE_SECONDS)

    def close(self) -> None:
        """Leave the connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
        self.streams = None

    async def _look_up(self) -> None:
        loop = asyncio.get_running_loop()
        vms = self.source.sample(self.fleet.vms, len(self.fleet.vms))
        for vm in vms[:3]:
            try:
                async with asyncio.timeout(_LOOKUP_SECONDS):
                    self.fronts = await _ask_directory(vm)
            except (TimeoutError, OSError, EOFError, ValueError):
                continue
            self.fronts_until = loop.time() + self.source.choice(_KEEP_SECONDS)
            if self.vm is not None and _front(self.vm) not in self.fronts:
                self.close()
            return

    async def _connect(self) -> bool:
        """Open a connection to one of the addresses unless one is open."""
        if self.streams is not None:
            return True
        if not self.fronts:
            return False
        front = self.source.choice(self.fronts)
        self.vm = next(vm for vm in self.fleet.vms if _front(vm) == front)
        try:
            async with asyncio.timeout(_LOOKUP_SECONDS):
                self.streams = await asyncio.open_connection(*self.vm.address)
        except (TimeoutError, OSError):
            self.fronts.remove(front)
            return False
        return True

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        assert self.streams is not None
        assert self.vm is not None
        call = Call(
            f'{self.name}-{len(self.calls)}',
            self._route(),
            self.vm,
            loop.time(),
        )
        self.calls.append(call)
        reader, writer = self.streams
        writer.write(_request(call))
        try:
            async with asyncio.timeout(_WAIT_SECONDS):
                keeps = await _read_answer(reader, call)
        except TimeoutError:
            call.gave_up = True
            keeps = False
        except (OSError, EOFError, ValueError):
            call.was_cut = True
            keeps = False
        call.ended_at = loop.time()
        if not keeps:
            self.close()

    def _route(self) -> str:
        drawn = self.source.random()
        if drawn < _POST_SHARE:
            return 'posts'
        changed = [*self.fleet.routes, *self.fleet.removed]
        if changed and drawn > 1 - _ADDED_SHARE:
            return self.source.choice(changed)
        return 'reads'


async def _ask_directory(vm: VmProcess) -> list[str]:
    reader, writer = await asyncio.open_connection(*vm.directory)
    try:
        writer.write(encode_lookup(HOST, 'dc-0'))
        call = Call('', '', vm, 0)
        await _read_answer(reader, call)
    finally:
        writer.transport.abort()
    return decode_addresses(call.body)


def _front(vm: VmProcess) -> str:
    return f'{vm.host}:{vm.ports.front}'


def _request(call: Call) -> bytes:
    method = 'POST' if call.route == 'posts' else 'GET'
    path = f'/{call.route}/1'
    return encode_request(method, path, HOST, call.request_id, _WAIT_MS)


async def _read_answer(reader: asyncio.StreamReader, call: Call) -> bool:
    """Read an answer into a call; return whether its connection is kept."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    fields = dict(_field(line) for line in lines)
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    call.status = int(first.split()[1])
    call.mark = signature_of(fields)
    call.body = body
    return fields.get('connection') != 'close'


def _field(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.lower(), text.strip()
