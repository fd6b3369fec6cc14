"""
What VMs send each other, as MessagePack.

Every message begins with the protocol's version; one of another version is
refused as a whole.
"""

__all__ = (
    'Heartbeat',
    'StateContent',
    'StateMessage',
    'RecordRow',
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
    A VM's record without the names of its fields, which are most of it.

    Where ``front`` is on the host that takes the exchange, only its colon and
    port are sent.
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
    A heartbeat with the state that its sender holds.

    ``digest`` and ``revision`` name the state, ``age_ms`` says for how long it
    has not been confirmed. ``load`` is the requests a second that callers have
    lately sent to the VM.
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
    The parts of a state that its asker lacks; the others are ``None``.

    ``parts`` are the digests of the whole state.
    """

    fingerprint: StateFingerprint
    raw_tables: bytes | None
    servers: list[tuple[Server, str, int, float]] | None
    vms: tuple[StoredVm, ...] | None


class StateMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    The state that a VM holds, and how old it is.

    ``packed`` is a compressed `StateContent`.
    """

    version: int
    revision: int
    age_ms: int
    packed: bytes


_encoder = msgspec.msgpack.Encoder()
_heartbeats = msgspec.msgpack.Decoder(Heartbeat)
_states = msgspec.msgpack.Decoder(StateMessage)
_contents = msgspec.msgpack.Decoder(StateContent)
_LEVEL = 1
_MOST_BYTES = 64 * 1024 * 1024


def encode_message(message: Heartbeat | StateMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_heartbeat(raw: bytes) -> Heartbeat:
    """Return a heartbeat; raises `PeerMessageError`."""
    try:
        heartbeat = _heartbeats.decode(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
    if heartbeat.version != PROTOCOL_VERSION:
        raise PeerMessageError(f'version {heartbeat.version} is unknown')
    return heartbeat


def decode_state(raw: bytes) -> tuple[StateMessage, StateContent]:
    """Return a state and its content; raises `PeerMessageError`."""
    try:
        state = _states.decode(raw)
        if state.version != PROTOCOL_VERSION:
            raise PeerMessageError(f'version {state.version} is unknown')
        return state, _contents.decode(_unpack(state.packed))
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise PeerMessageError(str(error)) from error


def build_state_message(
    fleet_state: FleetState, held: StateFingerprint
) -> StateMessage:
    """Return the state for an asker that holds these parts."""
    return StateMessage(
        PROTOCOL_VERSION,
        fleet_state.revision,
        max(0, fleet_state.age_ms) + 1,
        zlib.compress(_encoder.encode(_content_of(fleet_state, held)), _LEVEL),
    )


def snapshot_from_message(
    state: StateMessage,
    content: StateContent,
    fleet_state: FleetState,
) -> FleetSnapshot | None:
    """
    Return a state as a reading; what it lacks is taken from what is held.

    Returns ``None`` where what is held has changed since the asking, so that
    the parts do not fit together.
    """
    own, other = fleet_state.fingerprint, content.fingerprint
    if content.servers is None and own.servers != other.servers:
        return None
    if content.vms is None and own.vms != other.vms:
        return None
    document = None
    if content.raw_tables is not None:
        document = TablesDocument(other.tables, content.raw_tables)
    servers = content.servers
    if servers is None:
        servers = _rows_of(fleet_state)
    return FleetSnapshot(
        state.revision,
        document,
        tuple(RegisteredServer(*row) for row in servers),
        fleet_state.vms if content.vms is None else content.vms,
    )


def _content_of(
    fleet_state: FleetState, held: StateFingerprint
) -> StateContent:
    fingerprint = fleet_state.fingerprint
    document = fleet_state.document
    has_newer = document is not None and document.revision > held.tables
    return StateContent(
        fingerprint,
        document.raw if document is not None and has_newer else None,
        None if fingerprint.servers == held.servers else _rows_of(fleet_state),
        None if fingerprint.vms == held.vms else fleet_state.vms,
    )


def _rows_of(fleet_state: FleetState) -> list[tuple[Server, str, int, float]]:
    return [
        (each.server, each.pool, each.started_ms, each.warm_up_seconds)
        for name, each in fleet_state.servers.items()
        if name not in fleet_state.grace_until
    ]


def _unpack(packed: bytes) -> bytes:
    """Return what was compressed; raises `ValueError` if it is too much."""
    unpacker = zlib.decompressobj()
    raw = unpacker.decompress(packed, _MOST_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError(f'the state is over {_MOST_BYTES} bytes')
    return raw
