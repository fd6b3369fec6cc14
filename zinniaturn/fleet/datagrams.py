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
    'QuarantineRow',
    'ReachRow',
    'ResponseRow',
    'StateClaim',
    'decode_datagram',
    'decode_statuses',
    'encode_datagram',
    'encode_statuses',
)

import enum
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.http1.connections import Address

PROTOCOL_VERSION = 3

_COMPRESSION_LEVEL = 1
_MAX_STATUSES_BYTES = 8 * 1024 * 1024


Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**12)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Key = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Limit = Annotated[float, msgspec.Meta(ge=0, le=10**9)]


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


class RecordRow(msgspec.Struct, array_like=True, frozen=True):
    """
    A VM record encoded as an array.

    The field names would take up most of the record's bytes. If ``front`` is
    on the host of ``exchange``, only its colon and port are sent.
    """

    data_center: str
    front: str
    exchange: Address
    capacity: int

    @classmethod
    def of(cls, record: VmRecord) -> 'RecordRow':
        """Return the row of a record."""
        return cls(
            record.data_center,
            record.front.removeprefix(record.exchange[0]),
            record.exchange,
            record.capacity,
        )

    def to_record(self, name: str) -> VmRecord:
        """Return the record of the VM with this name."""
        host = self.exchange[0] if self.front.startswith(':') else ''
        return VmRecord(
            name,
            self.data_center,
            host + self.front,
            self.exchange,
            self.capacity,
        )


class StatusRow(msgspec.Struct, array_like=True, frozen=True):
    """A VM's status encoded as an array."""

    name: str
    version: int
    stage: VmStage
    load: int
    record: RecordRow | None = None
    cut_off: Count = 0

    @classmethod
    def of(cls, status: VmStatus) -> 'StatusRow':
        """Return the row of a status."""
        record = status.record
        return cls(
            status.name,
            status.version,
            status.stage,
            status.load,
            None if record is None else RecordRow.of(record),
            status.cut_off,
        )

    def to_status(self) -> VmStatus:
        """Return the status."""
        record = self.record
        return VmStatus(
            self.name,
            self.version,
            self.stage,
            self.load,
            None if record is None else record.to_record(self.name),
            self.cut_off,
        )


class StateClaim(msgspec.Struct, array_like=True, frozen=True):
    """
    The fleet state that a datagram's sender holds.

    ``digest`` and ``revision`` identify it, and ``age_ms`` is the time since it
    was confirmed. ``vms_checksum`` tells which VMs the sender takes for alive.
    """

    revision: int
    digest: int
    age_ms: int
    vms_checksum: int


class NoticeRow(msgspec.Struct, array_like=True, frozen=True):
    """
    What a server has said of the requests that it wants.

    ``limit`` is in requests per second, ``None`` if the server names none.
    ``age_ms`` is the time since the server said so.
    """

    server: str
    started_ms: int
    limit: Limit | None
    is_leaving: bool
    age_ms: Milliseconds


class PermitRequestRow(msgspec.Struct, array_like=True, frozen=True):
    """
    The server for which ``count`` permits are requested.

    ``limit`` is its limit per second, as heard ``age_ms`` ago.
    """

    server: str
    started_ms: int
    count: Count
    limit: Limit
    age_ms: Milliseconds


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


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """
    A message between two VMs.

    ``target`` is the VM that a ping request is about. ``news`` are the statuses
    of other VMs, and ``notices`` is what servers have said. Older processes
    send no more than ``target``, or nothing of ``reach`` or ``quarantine``.
    """

    version: int
    kind: DatagramKind
    sequence: int
    sender: StatusRow
    state: StateClaim
    news: tuple[StatusRow, ...] = ()
    target: str = ''
    notices: tuple[NoticeRow, ...] = ()
    permit_request: PermitRequestRow | None = None
    permit_grant: PermitGrantRow | None = None
    reach: ReachRow = _NO_REACH
    quarantine: QuarantineRow | None = None

    @property
    def sender_status(self) -> VmStatus:
        """Return the sender's own status."""
        return self.sender.to_status()

    def news_statuses(self) -> list[VmStatus]:
        """Return the statuses of other VMs."""
        return [row.to_status() for row in self.news]


@dataclass(frozen=True, slots=True)
class DatagramExtras:
    """The parts of a datagram that few datagrams have; see `Datagram`."""

    target: str = ''
    notices: Sequence[NoticeRow] = ()
    permit_request: PermitRequestRow | None = None
    permit_grant: PermitGrantRow | None = None
    reach: ReachRow = _NO_REACH
    quarantine: QuarantineRow | None = None


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_statuses_decoder = msgspec.msgpack.Decoder(tuple[StatusRow, ...])


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
    return _encoder.encode(
        Datagram(
            PROTOCOL_VERSION,
            kind,
            sequence,
            StatusRow.of(sender),
            state,
            tuple(StatusRow.of(status) for status in news),
            extras.target,
            tuple(extras.notices),
            extras.permit_request,
            extras.permit_grant,
            extras.reach,
            extras.quarantine,
        ),
    )


def decode_datagram(raw: bytes) -> Datagram:
    """Return a datagram; raises `PeerMessageError`."""
    try:
        datagram = _datagram_decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
    if datagram.version != PROTOCOL_VERSION:
        raise PeerMessageError(
            f'protocol version {datagram.version} is not supported',
        )
    return datagram


def encode_statuses(statuses: Iterable[VmStatus]) -> bytes:
    """Return the statuses of all VMs, compressed."""
    rows = [StatusRow.of(status) for status in statuses]
    return zlib.compress(_encoder.encode(rows), _COMPRESSION_LEVEL)


def decode_statuses(raw: bytes) -> list[VmStatus]:
    """Return the statuses of all VMs; raises `PeerMessageError`."""
    try:
        rows = _statuses_decoder.decode(decompress(raw, _MAX_STATUSES_BYTES))
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise PeerMessageError(str(error)) from error
    return [row.to_status() for row in rows]


def decompress(packed: bytes, most: int) -> bytes:
    """Return the content; raises `ValueError` if it is too large."""
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(packed, most)
    if decompressor.unconsumed_tail:
        raise ValueError(f'the message exceeds {most} bytes')
    return raw
