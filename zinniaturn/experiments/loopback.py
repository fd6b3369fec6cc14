"""Loopback addresses that belong to one process of the test tools alone."""

__all__ = ('loopback_host',)

import os

_FIRST_SECOND_BYTE = 16
_SECOND_BYTES = 224
_FIRST_THIRD_BYTE = 1
_THIRD_BYTES = 254


def loopback_host(number: int, process_id: int | None = None) -> str:
    """
    Return the loopback address of a host by its number, from 1 to 254.

    The address contains the id of this process, so that programs that run at
    the same time on one machine can use the same ports.

    >>> loopback_host(3, process_id=1000)
    '127.19.239.3'
    """
    if process_id is None:
        process_id = os.getpid()
    second_byte = process_id // _THIRD_BYTES % _SECOND_BYTES
    third_byte = process_id % _THIRD_BYTES
    return (
        f'127.{_FIRST_SECOND_BYTE + second_byte}'
        f'.{_FIRST_THIRD_BYTE + third_byte}.{number}'
    )
