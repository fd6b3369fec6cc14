"""
The fleet state as VMs send it to each other, encoded as MessagePack.

Every message begins with the protocol version, and a message of another
version is rejected as a whole.
"""

__all__ = (
    'StateContent',
    'StateMessage',
    'build_content',
    'build_state_message',
    'decode_state',
    'encode_message',
    'snapshot_from_message',
)

import contextlib
import zlib
from collections.abc import Iterable

import msgspec

from zinniaturn.errors import cause_of
from zinniaturn.fleet.checks import check_record, check_server
from zinniaturn.fleet.datagrams import PROTOCOL_VERSION
from zinniaturn.fleet.domain import (
    FleetSnapshot,
    RegisteredServer,
    StoredVm,
    TablesDocument,
)
from zinniaturn.fleet.evacuation_messages import (
    EvacuationsPart,
    evacuations_part,
)
from zinniaturn.fleet.exceptions import PeerMessageError
from zinniaturn.fleet.figures import Milliseconds, Revision
from zinniaturn.fleet.fleet_state import (
    FleetState,
    StateFingerprint,
    StateIdentity,
)
from zinniaturn.fleet.packing import decompress
from zinniaturn.tables.domain import Server


class ServerRows(msgspec.Struct, array_like=True, frozen=True):
    """
    The servers of a state, or those that differ from an older one.

    ``base`` is the digest of the older state's servers, or ``None`` if the rows
    are all servers. ``removed`` names servers that are gone since.
    """

    base: int | None
    rows: list[tuple[Server, str, int, float]]
    removed: tuple[str, ...] = ()


class StateContent(msgspec.Struct, array_like=True, frozen=True):
    """
    The parts of a state that its requester lacks; the others are ``None``.

    ``parts`` is the fingerprint of the whole state. It has no part for
    ``evacuations``, which an older build doesn't tell: ``None`` says nothing of
    them, an empty part that there are none.
    """

    parts: StateFingerprint
    raw_tables: bytes | None
    servers: ServerRows | None
    vms: tuple[StoredVm, ...] | None
    evacuations: EvacuationsPart | None = None


class StateMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    The state that a VM holds, with its age.

    ``packed`` is a compressed `StateContent`. ``proof_age_ms`` is the age of
    the proof of its tables, ``None`` if there is none or it isn't told.
    """

    version: int
    revision: Revision
    age_ms: Milliseconds
    packed: bytes
    proof_age_ms: Milliseconds | None = None


_encoder = msgspec.msgpack.Encoder()
_state_decoder = msgspec.msgpack.Decoder(StateMessage)
_content_decoder = msgspec.msgpack.Decoder(StateContent)
_COMPRESSION_LEVEL = 1
_MAX_STATE_BYTES = 64 * 1024 * 1024


def encode_message(message: StateMessage) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_state(raw: bytes) -> tuple[StateMessage, StateContent]:
    """Return a state and its content; raises `PeerMessageError`."""
    try:
        state = _state_decoder.decode(raw)
        if state.version != PROTOCOL_VERSION:
            raise PeerMessageError(
                f'protocol version {state.version} is not supported',
            )
        return state, _content_decoder.decode(
            decompress(state.packed, _MAX_STATE_BYTES)
        )
    except (
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
        zlib.error,
    ) as error:
        raise PeerMessageError(cause_of(error)) from error


def build_state_message(
    fleet_state: FleetState,
    held: StateFingerprint,
    follows_eras: bool = True,
) -> StateMessage:
    """
    Return the state for a requester that holds ``held``.

    ``follows_eras`` tells whether it knows the store's eras.
    """
    identity = fleet_state.identity(follows_eras)
    return StateMessage(
        PROTOCOL_VERSION,
        identity.revision,
        max(0, fleet_state.age_ms) + 1,
        zlib.compress(
            _encoder.encode(build_content(fleet_state, held, identity)),
            _COMPRESSION_LEVEL,
        ),
        fleet_state.proof.age_ms,
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
    if content.vms is None and own.vms != other.vms:
        return None
    servers = _complete_servers(content, fleet_state)
    if servers is None:
        return None
    document = None
    if content.raw_tables is not None:
        document = TablesDocument(other.tables, content.raw_tables)
    return FleetSnapshot(
        state.revision,
        document,
        servers,
        fleet_state.vms if content.vms is None else _usable_vms(content.vms),
    )


def _complete_servers(
    content: StateContent, fleet_state: FleetState
) -> tuple[RegisteredServer, ...] | None:
    """Return all servers of a received state, ``None`` if some are missing."""
    own = fleet_state.fingerprint.servers
    received = content.servers
    if received is None:
        is_same = own == content.parts.servers
        return tuple(fleet_state.shared_servers.values()) if is_same else None
    rows = _usable_servers(received)
    if received.base is None:
        return tuple(rows)
    if received.base != own:
        return None
    servers = dict(fleet_state.shared_servers)
    servers.update((row.server.name, row) for row in rows)
    for name in received.removed:
        servers.pop(name, None)
    return tuple(servers.values())


def _usable_servers(received: ServerRows) -> list[RegisteredServer]:
    """Return the servers without those that this VM can't use."""
    servers = []
    for row in received.rows:
        registered = RegisteredServer(*row)
        with contextlib.suppress(ValueError):
            check_server(registered)
            servers.append(registered)
    return servers


def _usable_vms(stored_vms: Iterable[StoredVm]) -> tuple[StoredVm, ...]:
    """Return the listed VMs without those that can't be reached."""
    usable = []
    for stored in stored_vms:
        with contextlib.suppress(ValueError):
            check_record(stored.record)
            usable.append(stored)
    return tuple(usable)


def build_content(
    fleet_state: FleetState,
    held: StateFingerprint,
    identity: StateIdentity,
) -> StateContent:
    """Return the parts of a state that a requester lacks."""
    fingerprint = identity.fingerprint
    document = fleet_state.document
    has_newer = fingerprint.tables > held.tables
    return StateContent(
        fingerprint,
        document.raw if document is not None and has_newer else None,
        None
        if fingerprint.servers == held.servers
        else _server_rows(fleet_state, held),
        None if fingerprint.vms == held.vms else fleet_state.vms,
        evacuations_part(fleet_state.evacuations),
    )


def _server_rows(fleet_state: FleetState, held: StateFingerprint) -> ServerRows:
    """Return the servers that changed since the held ones, or all of them."""
    servers = fleet_state.shared_servers
    names = fleet_state.server_changes.since(held.servers)
    if names is None:
        return ServerRows(
            None, [_row(fleet_state, server) for server in servers.values()]
        )
    return ServerRows(
        held.servers,
        [
            _row(fleet_state, servers[name])
            for name in sorted(names)
            if name in servers
        ],
        tuple(sorted(names - servers.keys())),
    )


def _row(
    fleet_state: FleetState, registered: RegisteredServer
) -> tuple[Server, str, int, float]:
    now = fleet_state.clock.monotonic()
    return (
        registered.server,
        registered.pool,
        registered.started_ms,
        fleet_state.warm_ups.seconds_left(registered.server.name, now),
    )
