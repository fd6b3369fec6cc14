"""Callers that send at a steady rate, whatever becomes of their requests."""

__all__ = ('PlannedCall', 'PlannedCaller')

import asyncio
import random
from dataclasses import dataclass, field

from zinniaturn.experiments.planned.sheets import Habit, RequestKind
from zinniaturn.experiments.soak.fleet import HOST, SoakFleet
from zinniaturn.experiments.soak.vms import VmProcess
from zinniaturn.platform.standins.wire import (
    decode_addresses,
    encode_lookup,
    encode_request,
)

_CONNECT_SECONDS = 1.0
_ADDRESS_KEEP_SECONDS = (2.0, 2.0, 6.0)
_PIPELINED_REQUESTS = 2
_MS_PER_SECOND = 1000

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class PlannedCall:
    """
    One request; times are the event loop's.

    ``status`` is 0 if the connection ended without a whole response.
    ``place`` is its place among the requests that were sent at once.
    """

    request_id: str
    kind: RequestKind
    vm: VmProcess
    connected_at: float
    sent_at: float
    place: int
    ended_at: float = 0
    status: int = 0
    gave_up: bool = False


@dataclass(slots=True)
class PlannedCaller:
    """A caller of one route; `run` sends until cancelled."""

    name: str
    kind: RequestKind
    fleet: SoakFleet
    random_source: random.Random
    pause_seconds: float
    calls: list[PlannedCall] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)
    addresses_expire_at: float = 0
    streams: _Streams | None = None
    vm: VmProcess | None = None
    connected_at: float = 0

    async def run(self) -> None:
        """Send requests with random pauses."""
        while True:
            pause = self.random_source.expovariate(1 / self.pause_seconds)
            await asyncio.sleep(pause)
            await self._refresh_addresses()
            if await self._connect():
                await self._send()

    def close(self) -> None:
        """Abort the connection, if one is open."""
        if self.streams is not None:
            self.streams[1].transport.abort()
        self.streams = None

    async def _refresh_addresses(self) -> None:
        """Look the addresses up again if they are too old."""
        if _now() < self.addresses_expire_at:
            return
        for vm in self.random_source.sample(self.fleet.vms, 3):
            try:
                async with asyncio.timeout(_CONNECT_SECONDS):
                    self.addresses = await _look_up(vm)
            except (TimeoutError, OSError, EOFError, ValueError):
                continue
            keep = self.random_source.choice(_ADDRESS_KEEP_SECONDS)
            self.addresses_expire_at = _now() + keep
            break
        if self.vm is not None and _address(self.vm) not in self.addresses:
            self.close()

    async def _connect(self) -> bool:
        """Open a connection to a random address unless one is open."""
        if self.streams is not None:
            return True
        if not self.addresses:
            return False
        address = self.random_source.choice(self.addresses)
        self.vm = next(vm for vm in self.fleet.vms if _address(vm) == address)
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                self.streams = await asyncio.open_connection(*self.vm.address)
        except (TimeoutError, OSError):
            self.addresses.remove(address)
            return False
        self.connected_at = _now()
        return True

    async def _send(self) -> None:
        """Send one request, or several at once, and read the responses."""
        assert self.streams is not None
        assert self.vm is not None
        reader, writer = self.streams
        is_pipelined = self.kind.habit is Habit.PIPELINED
        count = _PIPELINED_REQUESTS if is_pipelined else 1
        sent = [self._new_call(place) for place in range(count)]
        writer.write(b''.join(map(_encode, sent)))
        is_open = True
        for call in sent:
            is_open = is_open and await self._read(reader, call)
            call.ended_at = call.ended_at or _now()
        if not is_open or self.kind.habit is Habit.FRESH:
            self.close()

    def _new_call(self, place: int) -> PlannedCall:
        assert self.vm is not None
        call = PlannedCall(
            f'{self.name}-{len(self.calls)}',
            self.kind,
            self.vm,
            self.connected_at,
            _now(),
            place,
        )
        self.calls.append(call)
        return call

    async def _read(
        self, reader: asyncio.StreamReader, call: PlannedCall
    ) -> bool:
        """Read a response; return whether the connection stays open."""
        try:
            async with asyncio.timeout_at(call.sent_at + self.kind.wait):
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _fields_of(head)
                await reader.readexactly(int(fields.get('content-length', 0)))
        except TimeoutError:
            call.gave_up = True
            return False
        except (OSError, EOFError):
            return False
        call.status = int(head.split()[1])
        return fields.get('connection') != 'close'


async def _look_up(vm: VmProcess) -> list[str]:
    reader, writer = await asyncio.open_connection(*vm.directory)
    try:
        writer.write(encode_lookup(HOST, 'dc-0'))
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(_fields_of(head).get('content-length', 0))
        return decode_addresses(await reader.readexactly(length))
    finally:
        writer.transport.abort()


def _encode(call: PlannedCall) -> bytes:
    return encode_request(
        call.kind.method,
        f'/{call.kind.name}/1',
        HOST,
        call.request_id,
        int(call.kind.wait * _MS_PER_SECOND),
    )


def _fields_of(head: bytes) -> dict[str, str]:
    lines = head.decode('latin-1').strip().split('\r\n')[1:]
    rows = (line.partition(':') for line in lines)
    return {name.lower(): text.strip() for name, _, text in rows}


def _address(vm: VmProcess) -> str:
    return f'{vm.host}:{vm.ports.front}'


def _now() -> float:
    return asyncio.get_running_loop().time()
