"""What a fault proxy may do to one exchange."""

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
    """Nothing goes wrong."""


@dataclass(frozen=True, slots=True)
class CutRequest:
    """Both connections are reset once the server got ``after_bytes``."""

    after_bytes: int


@dataclass(frozen=True, slots=True)
class CutWhileRunning:
    """The caller's connection is reset while the server goes on."""

    after_seconds: float


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """The caller gets ``after_bytes`` of the answer, then a close or reset."""

    after_bytes: int
    reset: bool = False


@dataclass(frozen=True, slots=True)
class HalfClose:
    """The caller gets ``after_bytes``, then end of file; nothing is closed."""

    after_bytes: int


@dataclass(frozen=True, slots=True)
class LoseAnswer:
    """The answer never comes, and the connection stays open."""


@dataclass(frozen=True, slots=True)
class BlackHole:
    """The server gets ``after_bytes`` and no more; nothing is closed."""

    after_bytes: int = 0


@dataclass(frozen=True, slots=True)
class DelayAnswer:
    """Every byte of the answer comes ``seconds`` late."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ExtraBytes:
    """``payload`` follows the answer's first bytes ``seconds`` later."""

    payload: bytes
    seconds: float = 0


@dataclass(frozen=True, slots=True)
class RepeatAnswer:
    """The answer's first bytes come once more, ``seconds`` later."""

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
