"""Compressed parts of messages between VMs."""

__all__ = ('decompress',)

import zlib


def decompress(packed: bytes, most: int) -> bytes:
    """Return the content; raises `ValueError` if it is too large."""
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(packed, most)
    if decompressor.unconsumed_tail:
        raise ValueError(f'the message exceeds {most} bytes')
    return raw
