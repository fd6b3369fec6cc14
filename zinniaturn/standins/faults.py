"""Faults that a fault proxy can inject into one exchange."""

__all__ = (
    'BlackHole',
    'CutAnswer',
    'CutRequest',
    'CutWhileRunning',
    'DelayAnswer',
    'ExtraBytes',
    'Fault',
    'HalfClose',
    'LoseAnswer',
    'NoFault',
    'RepeatAnswer',
)

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoFault:
    """Forward the exchange unchanged."""


@dataclass(frozen=True, slots=True)
class CutRequest:
    """Reset both connections once the server received ``after_bytes``."""

    after_bytes: int


@dataclass(frozen=True, slots=True)
class CutWhileRunning:
    """Reset the caller's connection while the server still runs."""

    after_seconds: float


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """Send ``after_bytes`` of the response, then close or reset."""

    after_bytes: int
    reset: bool = False


@dataclass(frozen=True, slots=True)
class HalfClose:
    """Send ``after_bytes``, then end of file; close no connection."""

    after_bytes: int


@dataclass(frozen=True, slots=True)
class LoseAnswer:
    """Drop the response and leave the connection open."""


@dataclass(frozen=True, slots=True)
class BlackHole:
    """Forward ``after_bytes`` of the request; close no connection."""

    after_bytes: int = 0


@dataclass(frozen=True, slots=True)
class DelayAnswer:
    """Delay every byte of the response by ``seconds``."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ExtraBytes:
    """Send ``payload`` ``seconds`` after the response's first bytes."""

    payload: bytes
    seconds: float = 0


@dataclass(frozen=True, slots=True)
class RepeatAnswer:
    """Send the response's first bytes once more, ``seconds`` later."""

    seconds: float


Fault = (
    NoFault
    | CutRequest
    | CutWhileRunning
    | CutAnswer
    | HalfClose
    | LoseAnswer
    | BlackHole
    | DelayAnswer
    | ExtraBytes
    | RepeatAnswer
)
