"""
Measure the memory and CPU time that an entry needs per unit of load.

A slope is the difference between two states of a process, divided by the
number of connections, requests or servers added between them. The slopes go
into the capacity page.
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

_EXTRA_POOL_COUNT = 1799
_SERVERS_PER_POOL = 14
_CONNECTION_COUNT = 9900
_IN_FLIGHT_COUNT = 1000
_SETTLE_SECONDS = 2.0
_IDLE_SECONDS = 10.0
_LOAD_SECONDS = 3.0
_SATURATION_WORKERS = 32
_MICROSECONDS_PER_SECOND = 1_000_000
_ENTRY_ENVIRONMENT = MappingProxyType(
    {'ZINNIATURN_MAX_CONNECTIONS_PER_CALLER': '20000'},
)


@dataclass(frozen=True, slots=True)
class Slopes:
    """Memory and CPU time of one entry process."""

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
    json_line = json.dumps(asdict(slopes))
    (options.out / 'slopes.json').write_text(f'{json_line}\n')
    print(json_line)
    return 0


async def _measure(out: Path) -> Slopes:
    small = SpeedFleet(out, {'entry': _ENTRY_ENVIRONMENT})
    large = SpeedFleet(
        out,
        {'entry': _ENTRY_ENVIRONMENT},
        _EXTRA_POOL_COUNT,
        _SERVERS_PER_POOL,
    )
    try:
        await small.start()
        empty_resident_bytes, idle_share = await _measure_idle(small)
        request_microseconds = await _microseconds_per_request(
            small, 'entry', '/cards/7'
        )
        addresses_microseconds = await _microseconds_per_request(
            small, 'entry', '/v1/entries'
        )
        relayed_microseconds = await _microseconds_per_request(
            small, 'relay', '/cards/7'
        )
        request_bytes = await _bytes_per_request_in_flight(small)
        connection_bytes = await _bytes_per_connection(small)
    finally:
        await small.stop()
    try:
        await large.start()
        large_resident_bytes, large_idle_share = await _measure_idle(large)
    finally:
        await large.stop()
    return Slopes(
        empty_bytes=empty_resident_bytes,
        bytes_per_connection=connection_bytes,
        bytes_per_request_in_flight=request_bytes,
        large_tables_bytes=large_resident_bytes,
        bytes_per_server=(large_resident_bytes - empty_resident_bytes)
        / (_EXTRA_POOL_COUNT * _SERVERS_PER_POOL),
        idle_core_share=idle_share,
        large_tables_idle_core_share=large_idle_share,
        microseconds_per_request=request_microseconds,
        microseconds_per_addresses_answer=addresses_microseconds,
        microseconds_per_relayed_request=relayed_microseconds,
    )


async def _measure_idle(fleet: SpeedFleet) -> tuple[int, float]:
    """Return the resident memory and the CPU share of an idle entry."""
    await asyncio.sleep(_SETTLE_SECONDS)
    cpu_seconds_before = fleet.cpu_seconds('entry')
    await asyncio.sleep(_IDLE_SECONDS)
    cpu_seconds_used = fleet.cpu_seconds('entry') - cpu_seconds_before
    return fleet.resident_bytes('entry'), cpu_seconds_used / _IDLE_SECONDS


async def _microseconds_per_request(
    fleet: SpeedFleet, name: str, path: str
) -> float:
    """Return the CPU time of one request."""
    client = LoadClient(fleet.ports[name], path)
    await saturate(client, _SATURATION_WORKERS, 1)
    cpu_seconds_before = fleet.cpu_seconds(name)
    responses = await saturate(client, _SATURATION_WORKERS, _LOAD_SECONDS)
    cpu_seconds_used = fleet.cpu_seconds(name) - cpu_seconds_before
    client.close()
    return cpu_seconds_used / responses * _MICROSECONDS_PER_SECOND


async def _bytes_per_connection(fleet: SpeedFleet) -> float:
    client = LoadClient(fleet.ports['entry'])
    bytes_before = fleet.resident_bytes('entry')
    await client.open(_CONNECTION_COUNT)
    await asyncio.sleep(_SETTLE_SECONDS)
    added_bytes = fleet.resident_bytes('entry') - bytes_before
    client.close()
    return added_bytes / _CONNECTION_COUNT


async def _bytes_per_request_in_flight(fleet: SpeedFleet) -> float:
    """Return the memory of a request that waits for its server."""
    client = LoadClient(fleet.ports['entry'], '/cards/hold')
    await client.open(_IN_FLIGHT_COUNT)
    await asyncio.sleep(_SETTLE_SECONDS)
    bytes_before = fleet.resident_bytes('entry')
    calls = [
        asyncio.create_task(client.call()) for _ in range(_IN_FLIGHT_COUNT)
    ]
    await asyncio.sleep(_SETTLE_SECONDS)
    added_bytes = fleet.resident_bytes('entry') - bytes_before
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    return added_bytes / _IN_FLIGHT_COUNT
