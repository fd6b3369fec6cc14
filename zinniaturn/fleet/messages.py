"""
What VMs send each other, as MessagePack.

Every message begins with the protocol's version; one of another version is
refused as a whole.
"""

__all__ = (
    'Beat',
    'StateMessage',
    'decode_beat',
    'decode_state',
    'encode_message',
    'reading_of',
    'state_of',
)

import msgspec

from zinniaturn.fleet.domain import (
    FleetReading,
    ListedVm,
    RegisteredServer,
    TablesDocument,
    VmRecord,
    VmStage,
)
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.knowledge import Knowledge
from zinniaturn.tables.domain import Server

PROTOCOL_VERSION = 1


class Beat(msgspec.Struct, array_like=True, frozen=True):
    """
    A heartbeat with the state that its sender holds.

    ``digest`` and ``revision`` name the state, ``age_ms`` says for how long it
    has not been confirmed.
    """

    version: int
    record: VmRecord
    stage: VmStage
    revision: int
    digest: int
    age_ms: int


class StateMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    The state that a VM holds.

    ``raw_tables`` is empty where the asker holds that revision already.
    """

    version: int
    revision: int
    age_ms: int
    tables_revision: int
    raw_tables: bytes
    servers: list[tuple[Server, str, int, float]]
    vms: tuple[ListedVm, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_beats = msgspec.msgpack.Decoder(Beat)
_states = msgspec.msgpack.Decoder(StateMessage)
_MILLISECONDS = 1000


def encode_message(message: Beat | StateMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_beat(raw: bytes) -> Beat:
    """Return a heartbeat; raises `PeerMessageError`."""
    try:
        beat = _beats.decode(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
    if beat.version != PROTOCOL_VERSION:
        raise PeerMessageError(f'version {beat.version} is unknown')
    return beat


def decode_state(raw: bytes) -> StateMessage:
    """Return a state; raises `PeerMessageError`."""
    try:
        state = _states.decode(raw)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
    if state.version != PROTOCOL_VERSION:
        raise PeerMessageError(f'version {state.version} is unknown')
    return state


def state_of(knowledge: Knowledge, held_tables: int) -> StateMessage:
    """Return the state for an asker that holds the tables of a revision."""
    document = knowledge.document or TablesDocument(0, b'')
    is_known = document.revision <= held_tables
    return StateMessage(
        PROTOCOL_VERSION,
        knowledge.revision,
        max(0, int(knowledge.age_seconds * _MILLISECONDS) + 1),
        document.revision,
        b'' if is_known else document.raw,
        [
            (each.server, each.pool, each.born_ms, each.warm_up_seconds)
            for name, each in knowledge.servers.items()
            if name not in knowledge.lapsed
        ],
        knowledge.vms,
    )


def reading_of(state: StateMessage) -> FleetReading:
    """Return a state as a reading, without tables if it brought none."""
    document = None
    if state.raw_tables:
        document = TablesDocument(state.tables_revision, state.raw_tables)
    return FleetReading(
        state.revision,
        document,
        tuple(RegisteredServer(*row) for row in state.servers),
        state.vms,
    )
