"""
Datagrams between VMs, encoded as MessagePack.

Every datagram begins with the protocol version, and one of another version is
rejected as a whole.
"""

__all__ = (
    'PROTOCOL_VERSION',
    'CompletionRow',
    'CrashRow',
    'Datagram',
    'DatagramExtras',
    'DatagramKind',
    'LiftRow',
    'NoticeRow',
    'PermitGrantRow',
    'PermitRequestRow',
    'PlainClaim',
    'ProofRow',
    'QuarantineRow',
    'ReachRow',
    'ResponseRow',
    'StateClaim',
    'decode_datagram',
    'encode_datagram',
)

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import cast

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.fleet.domain import VmStatus
from zinniaturn.fleet.evacuation_messages import EvacuationsRow
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.figures import (
    Count,
    Key,
    Limit,
    Milliseconds,
    Revision,
)
from zinniaturn.fleet.status_rows import StatusRow, usable_statuses

PROTOCOL_VERSION = 3
# All builds in use send these; the later parts are left out at the end where
# they tell nothing.
_ALWAYS_SENT_PARTS = 12


class DatagramKind(enum.Enum):
    """
    The purpose of a datagram.

    ``PING`` asks for an ``ACK`` with the same sequence number. ``PING_REQUEST``
    asks the receiver to ping a third VM and to pass on its acknowledgement.
    ``PUSH`` only carries news. ``PERMIT_REQUEST`` asks the VM that a server
    belongs to for permits, and ``PERMIT_GRANT`` with the same sequence number
    is the reply.
    """

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    PUSH = 3
    PERMIT_REQUEST = 4
    PERMIT_GRANT = 5


class PlainClaim(msgspec.Struct, array_like=True, frozen=True):
    """A `StateClaim` without the parts that need not be told."""

    revision: Revision
    digest: int
    age_ms: Milliseconds
    vms_checksum: int


class StateClaim(PlainClaim, array_like=True, frozen=True):
    """
    The fleet state that a datagram's sender holds.

    ``digest`` and ``revision`` identify it, and ``age_ms`` is the time since it
    was confirmed. ``vms_checksum`` tells which VMs the sender takes for alive.
    ``evacuations`` are no part of the digest. ``None`` means that the sender
    tells nothing of them: it is of an older build, or doesn't know them yet.
    """

    evacuations: EvacuationsRow | None = None

    def shortened(self) -> PlainClaim:
        """Return the claim without the last part where that tells nothing."""
        if self.evacuations is not None:
            return self
        return PlainClaim(
            self.revision, self.digest, self.age_ms, self.vms_checksum
        )


class NoticeRow(msgspec.Struct, array_like=True, frozen=True):
    """
    What a server has said of the requests that it wants.

    ``limit`` is in requests per second, ``None`` if the server names none.
    ``age_ms`` is the time since the server said so, the highest value if it has
    said nothing. ``hand_over_ms`` is the time for which the server's warm-up
    limits its requests, 0 for none; older builds ignore it.
    """

    server: str
    started_ms: int
    limit: Limit | None
    is_leaving: bool
    age_ms: Milliseconds
    hand_over_ms: Milliseconds = 0


class PermitRequestRow(msgspec.Struct, array_like=True, frozen=True):
    """
    The server for which ``count`` permits are requested.

    ``limit`` is its limit per second, as heard ``age_ms`` ago. With a ``depth``
    the permits are of a tenant's allowance that ``server`` names, and
    ``started_ms`` is the version of the document. Older builds ignore the depth
    and grant by the limit alone. ``hand_over_ms`` is as in `NoticeRow`; then
    the limit is the lower one of the server's own and the warm-up's. With
    ``handed`` nothing is requested: so many tokens of the allowance are left by
    its owner before, which is the sender.
    """

    server: str
    started_ms: int
    count: Count
    limit: Limit
    age_ms: Milliseconds
    depth: Limit = 0
    hand_over_ms: Milliseconds = 0
    handed: Limit = 0


class PermitGrantRow(msgspec.Struct, array_like=True, frozen=True):
    """
    The number of permits granted for a server.

    If it is 0, the next permit is expected after ``wait_ms``.
    """

    server: str
    started_ms: int
    count: Count
    wait_ms: Milliseconds


class ResponseRow(msgspec.Struct, array_like=True, frozen=True):
    """A server of ``pool`` responded to ``vm`` ``age_ms`` ago."""

    pool: str
    vm: str
    age_ms: Milliseconds


class ReachRow(msgspec.Struct, array_like=True, frozen=True):
    """
    What the sender knows of the paths to pools.

    No server of the pools in ``questions`` responds to it. ``responses`` are
    about the pools that others have asked about.
    """

    questions: tuple[str, ...] = ()
    responses: tuple[ResponseRow, ...] = ()


_NO_REACH = ReachRow()


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """
    A process of a server has ended ``age_ms`` ago, while it ran requests.

    ``keys`` are these requests, ``witnesses`` the VMs that have seen the end.
    With ``is_refuted`` the process has responded since.
    """

    server: str
    started_ms: int
    age_ms: Milliseconds
    keys: tuple[Key, ...]
    witnesses: tuple[str, ...]
    is_refuted: bool = False


class CompletionRow(msgspec.Struct, array_like=True, frozen=True):
    """``count`` runs of a suspected request have ended well at ``vm``."""

    key: Key
    vm: str
    count: Count


class LiftRow(msgspec.Struct, array_like=True, frozen=True):
    """An operator has lifted the verdict on a request ``age_ms`` ago."""

    key: Key
    age_ms: Milliseconds


class QuarantineRow(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of requests that end servers."""

    crashes: tuple[CrashRow, ...] = ()
    completions: tuple[CompletionRow, ...] = ()
    lifts: tuple[LiftRow, ...] = ()


class ProofRow(msgspec.Struct, array_like=True, frozen=True):
    """
    How old the sender's tables may be, as `TablesProof` tells it.

    ``revision`` is that of their document, with the store's era. Without
    ``age_ms`` nothing is proven. Whoever sends it asks for tenants' keys.
    """

    revision: Revision
    age_ms: Milliseconds | None = None


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """
    A message between two VMs.

    ``target`` is the VM that a ping request is about. ``news`` are the statuses
    of other VMs, and ``notices`` is what servers have said. Older processes
    send no more than ``target``, or nothing of ``reach`` or ``quarantine``;
    those without ``notices`` don't know eras of the store either. Only those
    that know tenants send ``proof``, while tenants are configured.
    """

    version: int
    kind: DatagramKind
    sequence: int
    sender: StatusRow
    state: StateClaim
    news: tuple[StatusRow, ...] = ()
    target: str = ''
    notices: tuple[NoticeRow, ...] | None = None
    permit_request: PermitRequestRow | None = None
    permit_grant: PermitGrantRow | None = None
    reach: ReachRow = _NO_REACH
    quarantine: QuarantineRow | None = None
    proof: ProofRow | None = None

    @property
    def sender_status(self) -> VmStatus:
        """Return the sender's own status."""
        return self.sender.to_status()

    @property
    def follows_eras(self) -> bool:
        """Return whether the sender knows the eras of the store."""
        return self.notices is not None

    @property
    def follows_evacuations(self) -> bool:
        """Return whether the sender keeps to evacuations of data centres."""
        return self.state.evacuations is not None

    def news_statuses(self) -> list[VmStatus]:
        """Return the usable statuses of other VMs."""
        return usable_statuses(self.news)


@dataclass(frozen=True, slots=True)
class DatagramExtras:
    """The parts of a datagram that few datagrams have; see `Datagram`."""

    target: str = ''
    notices: Sequence[NoticeRow] = ()
    permit_request: PermitRequestRow | None = None
    permit_grant: PermitGrantRow | None = None
    reach: ReachRow = _NO_REACH
    quarantine: QuarantineRow | None = None
    proof: ProofRow | None = None


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(
    kind: DatagramKind,
    sequence: int,
    sender: VmStatus,
    state: StateClaim,
    news: Iterable[VmStatus] = (),
    extras: DatagramExtras | None = None,
) -> bytes:
    """Return an encoded datagram."""
    extras = extras or DatagramExtras()
    datagram = Datagram(
        PROTOCOL_VERSION,
        kind,
        sequence,
        StatusRow.of(sender),
        cast(StateClaim, state.shortened()),
        tuple(StatusRow.of(status) for status in news),
        extras.target,
        tuple(extras.notices),
        extras.permit_request,
        extras.permit_grant,
        extras.reach,
        extras.quarantine,
        extras.proof,
    )
    return _encoder.encode(_without_untold_parts(datagram))


def _without_untold_parts(datagram: Datagram) -> list[object]:
    """Return the parts up to the last one that tells something."""
    parts = list(msgspec.structs.astuple(datagram))
    while len(parts) > _ALWAYS_SENT_PARTS and parts[-1] is None:
        parts.pop()
    return parts


def decode_datagram(raw: bytes) -> Datagram:
    """Return a datagram; raises `PeerMessageError`."""
    try:
        datagram = _datagram_decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PeerMessageError(cause_of(error)) from error
    if datagram.version != PROTOCOL_VERSION:
        raise PeerMessageError(
            f'protocol version {datagram.version} is not supported',
        )
    return datagram
