"""
Messages between VMs, encoded as MessagePack.

Every message begins with the protocol version, and a message of another
version is rejected as a whole.
"""

__all__ = (
    'Heartbeat',
    'RecordRow',
    'StateContent',
    'StateMessage',
    'build_state_message',
    'decode_heartbeat',
    'decode_state',
    'encode_message',
    'snapshot_from_message',
)

import zlib

import msgspec

from zinniaturn.fleet.domain import (
    FleetSnapshot,
    RegisteredServer,
    StoredVm,
    TablesDocument,
    VmRecord,
    VmStage,
)
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.fleet_state import FleetState, StateFingerprint
from zinniaturn.http1.connections import Address
from zinniaturn.tables.domain import Server

PROTOCOL_VERSION = 2


class RecordRow(msgspec.Struct, array_like=True, frozen=True):
    """
    A VM record encoded as an array.

    The field names would take up most of the record's bytes. If ``front`` is
    on the host of ``exchange``, only its colon and port are sent.
    """

    name: str
    incarnation: int
    data_center: str
    front: str
    exchange: Address
    capacity: int

    @classmethod
    def of(cls, record: VmRecord) -> 'RecordRow':
        """Return the row of a record."""
        return cls(
            record.name,
            record.incarnation,
            record.data_center,
            record.front.removeprefix(record.exchange[0]),
            record.exchange,
            record.capacity,
        )

    def to_record(self) -> VmRecord:
        """Return the record."""
        host = self.exchange[0] if self.front.startswith(':') else ''
        return VmRecord(
            self.name,
            self.incarnation,
            self.data_center,
            host + self.front,
            self.exchange,
            self.capacity,
        )


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """
    A heartbeat with the version of the state that its sender holds.

    ``digest`` and ``revision`` identify the state, and ``age_ms`` is the time
    since it was confirmed. ``load`` is the recent rate of callers' requests at
    the VM, per second.
    """

    version: int
    row: RecordRow
    stage: VmStage
    revision: int
    digest: int
    age_ms: int
    load: int

    @property
    def record(self) -> VmRecord:
        """Return the sender's record."""
        return self.row.to_record()


class StateContent(msgspec.Struct, array_like=True, frozen=True):
    """
    The parts of a state that its requester lacks; the others are ``None``.

    ``parts`` is the fingerprint of the whole state.
    """

    parts: StateFingerprint
    raw_tables: bytes | None
    servers: list[tuple[Server, str, int, float]] | None
    vms: tuple[StoredVm, ...] | None


class StateMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    The state that a VM holds, with its age.

    ``packed`` is a compressed `StateContent`.
    """

    version: int
    revision: int
    age_ms: int
    packed: bytes


_encoder = msgspec.msgpack.Encoder()
_heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)
_state_decoder = msgspec.msgpack.Decoder(StateMessage)
_content_decoder = msgspec.msgpack.Decoder(StateContent)
_COMPRESSION_LEVEL = 1
_MAX_STATE_BYTES = 64 * 1024 * 1024


def encode_message(message: Heartbeat | StateMessage) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_heartbeat(raw: bytes) -> Heartbeat:
    """Return a heartbeat; raises `PeerMessageError`."""
    try:
        heartbeat = _heartbeat_decoder.decode(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
    if heartbeat.version != PROTOCOL_VERSION:
        raise PeerMessageError(
            f'protocol version {heartbeat.version} is not supported',
        )
    return heartbeat


def decode_state(raw: bytes) -> tuple[StateMessage, StateContent]:
    """Return a state and its content; raises `PeerMessageError`."""
    try:
        state = _state_decoder.decode(raw)
        if state.version != PROTOCOL_VERSION:
            raise PeerMessageError(
                f'protocol version {state.version} is not supported',
            )
        return state, _content_decoder.decode(_decompress(state.packed))
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise PeerMessageError(str(error)) from error


def build_state_message(
    fleet_state: FleetState,
    held: StateFingerprint,
) -> StateMessage:
    """Return the state for a requester that holds ``held``."""
    return StateMessage(
        PROTOCOL_VERSION,
        fleet_state.revision,
        max(0, fleet_state.age_ms) + 1,
        zlib.compress(
            _encoder.encode(_build_content(fleet_state, held)),
            _COMPRESSION_LEVEL,
        ),
    )


def snapshot_from_message(
    state: StateMessage,
    content: StateContent,
    fleet_state: FleetState,
) -> FleetSnapshot | None:
    """
    Return a received state as a snapshot, completed from ``fleet_state``.

    Returns ``None`` if ``fleet_state`` has changed since the state was
    requested, so that the missing parts don't match the received ones.
    """
    own, other = fleet_state.fingerprint, content.parts
    if content.servers is None and own.servers != other.servers:
        return None
    if content.vms is None and own.vms != other.vms:
        return None
    document = None
    if content.raw_tables is not None:
        document = TablesDocument(other.tables, content.raw_tables)
    servers = content.servers
    if servers is None:
        servers = _server_rows(fleet_state)
    return FleetSnapshot(
        state.revision,
        document,
        tuple(RegisteredServer(*row) for row in servers),
        fleet_state.vms if content.vms is None else content.vms,
    )


def _build_content(
    fleet_state: FleetState,
    held: StateFingerprint,
) -> StateContent:
    fingerprint = fleet_state.fingerprint
    document = fleet_state.document
    has_newer = document is not None and document.revision > held.tables
    return StateContent(
        fingerprint,
        document.raw if document is not None and has_newer else None,
        None
        if fingerprint.servers == held.servers
        else _server_rows(fleet_state),
        None if fingerprint.vms == held.vms else fleet_state.vms,
    )


def _server_rows(
    fleet_state: FleetState,
) -> list[tuple[Server, str, int, float]]:
    return [
        (
            registered.server,
            registered.pool,
            registered.started_ms,
            registered.warm_up_seconds,
        )
        for name, registered in fleet_state.servers.items()
        if name not in fleet_state.grace_until
    ]


def _decompress(packed: bytes) -> bytes:
    """Return the content; raises `ValueError` if it is too large."""
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(packed, _MAX_STATE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f'the state exceeds {_MAX_STATE_BYTES} bytes')
    return raw
