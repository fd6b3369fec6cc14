"""Limits on the size and duration of callers' requests."""

__all__ = ('CallerLimits',)

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Sizes that a caller may send, and times it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 16 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
