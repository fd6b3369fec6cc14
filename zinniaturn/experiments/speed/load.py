"""Load generators: open-loop at a given rate, and closed-loop saturation."""

__all__ = ('measure_latencies', 'saturate')

import asyncio
import random
from time import perf_counter

from zinniaturn.experiments.speed.client import LoadClient


async def measure_latencies(
    client: LoadClient,
    rate: float,
    seconds: float,
    random_source: random.Random,
) -> list[float]:
    """
    Send requests as a Poisson process and return their latencies in seconds.

    A latency is measured from the time when the request was due, so that a
    delayed send counts too. Between requests the function yields to the event
    loop in a busy loop, because the loop's timers have a resolution of only a
    millisecond.
    """
    latencies: list[float] = []
    tasks: set[asyncio.Task[None]] = set()
    due_at = perf_counter()
    end_at = due_at + seconds
    while due_at < end_at:
        while perf_counter() < due_at:
            await asyncio.sleep(0)
        task = asyncio.create_task(_record_latency(client, due_at, latencies))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        due_at += random_source.expovariate(rate)
    await asyncio.gather(*tasks)
    return latencies


async def saturate(client: LoadClient, workers: int, seconds: float) -> int:
    """Send requests back to back and return the number of responses."""
    end_at = perf_counter() + seconds
    response_counts = await asyncio.gather(
        *(_call_until(client, end_at) for _ in range(workers)),
    )
    return sum(response_counts)


async def _record_latency(
    client: LoadClient,
    due_at: float,
    latencies: list[float],
) -> None:
    await client.call()
    latencies.append(perf_counter() - due_at)


async def _call_until(client: LoadClient, end_at: float) -> int:
    response_count = 0
    while perf_counter() < end_at:
        await client.call()
        response_count += 1
    return response_count
