"""Clients outside the limits, as a fault of the soak."""

__all__ = ('play_crowd',)

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import suppress

from zinniaturn.experiments.soak.fleet import HOST
from zinniaturn.experiments.soak.vms import VmProcess
from zinniaturn.http1.connections import Address
from zinniaturn.platform.standins.wire import encode_request

_CLIENTS = 36
_BODY_BYTES = 1_000_000
_POST_BYTES = 100_000
_POSTS = 20
_READS = 1000
_WAIT_MS = 500
_STEP_BYTES = 65_536
_SHORT_FIELDS = b'a:\r\n' * 3900


async def play_crowd(vm: VmProcess, seconds: float) -> None:
    """Let clients send to all ports of a VM for some seconds, then reset."""
    addresses = (
        vm.address,
        vm.readiness,
        vm.directory,
        (vm.host, vm.ports.range_start + 1),
    )
    # Most come to the callers' port.
    places = itertools.cycle((vm.address, vm.address, *addresses))
    shapes = itertools.cycle(
        (_short_body, _endless_head, _unread_reads, _unread_posts, _half_a_head)
    )
    clients = [
        asyncio.ensure_future(_run(next(places), next(shapes)()))
        for _ in range(_CLIENTS)
    ]
    try:
        await asyncio.sleep(seconds)
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _run(address: Address, blocks: Iterator[bytes]) -> None:
    """Send blocks on a connection and read nothing, until cancelled."""
    # The VM refuses and closes such clients, and may be down.
    with suppress(OSError):
        _, writer = await asyncio.open_connection(*address, limit=1)
        try:
            for block in blocks:
                for start in range(0, len(block), _STEP_BYTES):
                    writer.write(block[start : start + _STEP_BYTES])
                    await writer.drain()
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()


def _request(method: str, path: str, body_bytes: int = 0) -> bytes:
    """Return a request's head, whose body may have to follow."""
    raw = encode_request(method, path, HOST, 'crowd', _WAIT_MS)
    return raw.replace(b'Content-Length: 0', b'Content-Length: %d' % body_bytes)


def _short_body() -> Iterator[bytes]:
    yield _request('POST', '/posts/crowd', _BODY_BYTES)
    yield b'x' * (_BODY_BYTES - 1)


def _endless_head() -> Iterator[bytes]:
    yield _request('GET', '/reads/crowd').removesuffix(b'\r\n')
    yield _SHORT_FIELDS


def _unread_reads() -> Iterator[bytes]:
    yield from itertools.repeat(_request('GET', '/reads/crowd'), _READS)


def _unread_posts() -> Iterator[bytes]:
    post = _request('POST', '/posts/crowd', _POST_BYTES) + b'x' * _POST_BYTES
    yield from itertools.repeat(post, _POSTS)


def _half_a_head() -> Iterator[bytes]:
    yield _request('GET', '/reads/crowd')[:20]
