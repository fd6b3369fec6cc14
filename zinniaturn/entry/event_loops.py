"""Selects the event loop implementation of an entry."""

__all__ = ('loop_factory',)

import asyncio
import os
from collections.abc import Callable, Mapping
from types import MappingProxyType

import uvloop

_IO_URING_VARIABLE = 'UV_USE_IO_URING'
_FACTORIES: Mapping[str, Callable[[], asyncio.AbstractEventLoop]] = (
    MappingProxyType(
        {
            'asyncio': asyncio.new_event_loop,
            'uvloop': uvloop.new_event_loop,
        }
    )
)


def loop_factory(name: str) -> Callable[[], asyncio.AbstractEventLoop]:
    """
    Return the loop factory for ``uvloop`` or ``asyncio``.

    uvloop is pinned below 0.18, because the libuv of later versions opens an
    io_uring even if ``UV_USE_IO_URING`` is 0. io_uring must not be used here.
    """
    os.environ[_IO_URING_VARIABLE] = '0'
    return _FACTORIES[name]
