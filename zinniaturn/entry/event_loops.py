"""The event loop of an entry."""

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
    Return the factory of the loops ``uvloop`` and ``asyncio``.

    uvloop is kept below 0.18: the libuv of later ones opens an io_uring, which
    the brief forbids, whatever ``UV_USE_IO_URING`` says.
    """
    os.environ[_IO_URING_VARIABLE] = '0'
    return _FACTORIES[name]
