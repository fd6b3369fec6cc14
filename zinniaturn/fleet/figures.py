"""The ranges of figures in messages between VMs."""

__all__ = (
    'LONGEST_MS',
    'Count',
    'Key',
    'Limit',
    'Load',
    'Milliseconds',
    'Revision',
    'Version',
)

from typing import Annotated

import msgspec

LONGEST_MS = 10**12
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=LONGEST_MS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Key = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Limit = Annotated[float, msgspec.Meta(ge=0, le=10**9)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
# A version rises by one with each change and has to stay encodable.
Version = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Load = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
