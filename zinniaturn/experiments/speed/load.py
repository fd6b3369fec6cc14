"""Loads: open-loop at a rate, and as many requests as will go."""

__all__ = ('measure_latencies', 'saturate')

import asyncio
import random
from time import perf_counter

from zinniaturn.experiments.speed.client import LoadClient


async def measure_latencies(
    client: LoadClient,
    rate: float,
    seconds: float,
    source: random.Random,
) -> list[float]:
    """
    Send requests at random times and return their latencies in seconds.

    A latency counts from the time when the request was due. The loop spins
    between requests, since its timers are no finer than a millisecond.
    """
    latencies: list[float] = []
    tasks: set[asyncio.Task[None]] = set()
    due = perf_counter()
    end = due + seconds
    while due < end:
        while perf_counter() < due:
            await asyncio.sleep(0)
        task = asyncio.create_task(_timed_call(client, due, latencies))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        due += source.expovariate(rate)
    await asyncio.gather(*tasks)
    return latencies


async def saturate(client: LoadClient, workers: int, seconds: float) -> int:
    """Send requests back to back and return how many were answered."""
    end = perf_counter() + seconds
    counts = await asyncio.gather(
        *(_call_until(client, end) for _ in range(workers)),
    )
    return sum(counts)


async def _timed_call(
    client: LoadClient,
    due: float,
    latencies: list[float],
) -> None:
    await client.call()
    latencies.append(perf_counter() - due)


async def _call_until(client: LoadClient, end: float) -> int:
    count = 0
    while perf_counter() < end:
        await client.call()
        count += 1
    return count
