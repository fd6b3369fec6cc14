"""
Statuses of VMs as arrays, in datagrams and in whole tables.

A status whose record can't be used is left out where others stand beside it.
"""

__all__ = (
    'StatusRow',
    'decode_statuses',
    'encode_statuses',
    'usable_statuses',
)

import contextlib
import zlib
from collections.abc import Iterable
from typing import cast

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.fleet.checks import check_record
from zinniaturn.fleet.domain import VmRecord, VmStage, VmStatus
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.figures import Count, Load, Version
from zinniaturn.fleet.packing import decompress
from zinniaturn.http1.connections import Address

_COMPRESSION_LEVEL = 1
_MAX_STATUSES_BYTES = 8 * 1024 * 1024


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
        record = VmRecord(
            name,
            self.data_center,
            host + self.front,
            self.exchange,
            self.capacity,
        )
        check_record(record)
        return record


class _PlainStatusRow(msgspec.Struct, array_like=True, frozen=True):
    """A `StatusRow` of a VM that is up to date."""

    name: str
    version: Version
    stage: VmStage
    load: Load
    record: RecordRow | None = None
    cut_off: Count = 0


class StatusRow(_PlainStatusRow, array_like=True, frozen=True):
    """
    A VM's status encoded as an array.

    Older processes send no more than ``cut_off``, so that their VMs count as
    up to date, and drop the rest of what they pass on. Nor is the rest sent of
    a VM that is up to date.
    """

    is_outdated: bool = False

    @classmethod
    def of(cls, status: VmStatus) -> 'StatusRow':
        """Return the row of a status, as short as it can be."""
        record = status.record
        plain = _PlainStatusRow(
            status.name,
            status.version,
            status.stage,
            status.load,
            None if record is None else RecordRow.of(record),
            status.cut_off,
        )
        if not status.is_outdated:
            return cast(StatusRow, plain)
        return cls(
            plain.name,
            plain.version,
            plain.stage,
            plain.load,
            plain.record,
            plain.cut_off,
            status.is_outdated,
        )

    def to_status(self) -> VmStatus:
        """Return the status; raises `ValueError` if its record is unusable."""
        record = self.record
        return VmStatus(
            self.name,
            self.version,
            self.stage,
            self.load,
            None if record is None else record.to_record(self.name),
            self.cut_off,
            self.is_outdated,
        )


_encoder = msgspec.msgpack.Encoder()
_statuses_decoder = msgspec.msgpack.Decoder(tuple[StatusRow, ...])


def encode_statuses(statuses: Iterable[VmStatus]) -> bytes:
    """Return the statuses of all VMs, compressed."""
    rows = [StatusRow.of(status) for status in statuses]
    return zlib.compress(_encoder.encode(rows), _COMPRESSION_LEVEL)


def decode_statuses(raw: bytes) -> list[VmStatus]:
    """Return the statuses of all VMs; raises `PeerMessageError`."""
    try:
        rows = _statuses_decoder.decode(decompress(raw, _MAX_STATUSES_BYTES))
    except (
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
        zlib.error,
    ) as error:
        raise PeerMessageError(cause_of(error)) from error
    return usable_statuses(rows)


def usable_statuses(rows: Iterable[StatusRow]) -> list[VmStatus]:
    """Return the statuses without those whose record can't be used."""
    statuses = []
    for row in rows:
        with contextlib.suppress(ValueError):
            statuses.append(row.to_status())
    return statuses
