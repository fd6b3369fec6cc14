"""
Slopes for the capacity page: what an entry spends by what it holds.

Each slope is the difference of two states of one process, over what was added
between them.
"""

__all__ = ('run_slopes',)

import asyncio
import json
from dataclasses import asdict, dataclass
from pathlib import Path
from types import MappingProxyType

import uvloop

from zinniaturn.experiments.registry import ExperimentOptions
from zinniaturn.experiments.speed.client import LoadClient
from zinniaturn.experiments.speed.fleet import SpeedFleet
from zinniaturn.experiments.speed.load import saturate

_POOLS = 1799
_SERVERS_PER_POOL = 14
_CONNECTIONS = 9900
_IN_FLIGHT = 1000
_SETTLE_SECONDS = 2.0
_IDLE_SECONDS = 10.0
_LOAD_SECONDS = 3.0
_WORKERS = 32
_MICROSECONDS = 1_000_000
_LIMITS = MappingProxyType(
    {'ZINNIATURN_MAX_CONNECTIONS_PER_CALLER': '20000'},
)


@dataclass(frozen=True, slots=True)
class Slopes:
    """Bytes and processor time of one entry process."""

    empty_bytes: int
    bytes_per_connection: float
    bytes_per_request_in_flight: float
    large_tables_bytes: int
    bytes_per_server: float
    idle_core_share: float
    large_tables_idle_core_share: float
    microseconds_per_request: float
    microseconds_per_addresses_answer: float
    microseconds_per_relayed_request: float


def run_slopes(options: ExperimentOptions) -> int:
    """Measure the slopes and print them as one JSON object."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        slopes = runner.run(_measure(options.out))
    line = json.dumps(asdict(slopes))
    (options.out / 'slopes.json').write_text(f'{line}\n')
    print(line)
    return 0


async def _measure(out: Path) -> Slopes:
    small = SpeedFleet(out, {'entry': _LIMITS})
    large = SpeedFleet(
        out,
        {'entry': _LIMITS},
        _POOLS,
        _SERVERS_PER_POOL,
    )
    try:
        await small.start()
        empty, idle = await _rest(small)
        request = await _processor_time(small, 'entry', '/cards/7')
        addresses = await _processor_time(small, 'entry', '/v1/entries')
        relayed = await _processor_time(small, 'relay', '/cards/7')
        in_flight = await _per_request_in_flight(small)
        connection = await _per_connection(small)
    finally:
        await small.stop()
    try:
        await large.start()
        held, large_idle = await _rest(large)
    finally:
        await large.stop()
    return Slopes(
        empty_bytes=empty,
        bytes_per_connection=connection,
        bytes_per_request_in_flight=in_flight,
        large_tables_bytes=held,
        bytes_per_server=(held - empty) / (_POOLS * _SERVERS_PER_POOL),
        idle_core_share=idle,
        large_tables_idle_core_share=large_idle,
        microseconds_per_request=request,
        microseconds_per_addresses_answer=addresses,
        microseconds_per_relayed_request=relayed,
    )


async def _rest(fleet: SpeedFleet) -> tuple[int, float]:
    """Return the memory and the share of a core of an idle entry."""
    await asyncio.sleep(_SETTLE_SECONDS)
    before = fleet.cpu_seconds('entry')
    await asyncio.sleep(_IDLE_SECONDS)
    spent = fleet.cpu_seconds('entry') - before
    return fleet.resident_bytes('entry'), spent / _IDLE_SECONDS


async def _processor_time(fleet: SpeedFleet, name: str, path: str) -> float:
    """Return the microseconds of processor time of one request."""
    client = LoadClient(fleet.ports[name], path)
    await saturate(client, _WORKERS, 1)
    before = fleet.cpu_seconds(name)
    count = await saturate(client, _WORKERS, _LOAD_SECONDS)
    spent = fleet.cpu_seconds(name) - before
    client.close()
    return spent / count * _MICROSECONDS


async def _per_connection(fleet: SpeedFleet) -> float:
    client = LoadClient(fleet.ports['entry'])
    before = fleet.resident_bytes('entry')
    await client.open(_CONNECTIONS)
    await asyncio.sleep(_SETTLE_SECONDS)
    held = fleet.resident_bytes('entry') - before
    client.close()
    return held / _CONNECTIONS


async def _per_request_in_flight(fleet: SpeedFleet) -> float:
    """Return the bytes of a request whose server does not answer yet."""
    client = LoadClient(fleet.ports['entry'], '/cards/hold')
    await client.open(_IN_FLIGHT)
    await asyncio.sleep(_SETTLE_SECONDS)
    before = fleet.resident_bytes('entry')
    calls = [asyncio.create_task(client.call()) for _ in range(_IN_FLIGHT)]
    await asyncio.sleep(_SETTLE_SECONDS)
    held = fleet.resident_bytes('entry') - before
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    return held / _IN_FLIGHT
