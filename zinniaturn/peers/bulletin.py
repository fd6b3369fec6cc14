"""
Bulletins, the gossip messages between entries, and their encoding.

A bulletin contains the position of the revision in force but not its content; a
receiver that is behind fetches the content itself.
"""

__all__ = (
    'Bulletin',
    'NamedHeartbeat',
    'Note',
    'decode_bulletin',
    'encode_bulletin',
)

from dataclasses import dataclass

from zinniaturn.configuration.head import ChainPosition
from zinniaturn.membership.domain import Address, Heartbeat, Member
from zinniaturn.peers import messages_pb2 as wire
from zinniaturn.peers.exceptions import PeerMessageError

_MILLISECONDS_PER_SECOND = 1000
_MAX_NAME_LENGTH = 63


@dataclass(frozen=True, slots=True)
class NamedHeartbeat:
    """A member's name and heartbeat, for receivers that know the rest."""

    name: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class Note:
    """A message of another component, identified by its topic."""

    topic: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Bulletin:
    """
    A gossip message from one entry to another.

    ``confirmed_age`` is in seconds since the store last confirmed the
    position, or ``None`` if it never did. ``wants_members`` asks the receiver
    to send all its members.
    """

    sender: Member
    position: ChainPosition
    confirmed_age: float | None = None
    heartbeats: tuple[NamedHeartbeat, ...] = ()
    members: tuple[Member, ...] = ()
    notes: tuple[Note, ...] = ()
    wants_members: bool = False


def encode_bulletin(bulletin: Bulletin) -> wire.Bulletin:
    """Return the bulletin as a protobuf message."""
    # The field is the age plus one, since 0 means that there is none.
    age = bulletin.confirmed_age
    return wire.Bulletin(
        sender=_encode_member(bulletin.sender),
        position=wire.Position(
            revision=bulletin.position.revision,
            chain=bulletin.position.chain,
        ),
        confirmed_age_ms=0
        if age is None
        else int(age * _MILLISECONDS_PER_SECOND) + 1,
        heartbeats=[
            _encode_heartbeat(named.name, named.heartbeat)
            for named in bulletin.heartbeats
        ],
        members=[_encode_member(member) for member in bulletin.members],
        notes=[
            wire.Note(topic=note.topic, payload=note.payload)
            for note in bulletin.notes
        ],
        wants_members=bulletin.wants_members,
    )


def decode_bulletin(message: wire.Bulletin) -> Bulletin:
    """Return the bulletin in a protobuf message; raises `PeerMessageError`."""
    age_ms = message.confirmed_age_ms
    return Bulletin(
        sender=_decode_member(message.sender),
        position=ChainPosition(
            message.position.revision, message.position.chain
        ),
        confirmed_age=(age_ms - 1) / _MILLISECONDS_PER_SECOND
        if age_ms
        else None,
        heartbeats=tuple(
            NamedHeartbeat(heartbeat.name, _decode_heartbeat(heartbeat))
            for heartbeat in message.heartbeats
        ),
        members=tuple(_decode_member(member) for member in message.members),
        notes=tuple(Note(note.topic, note.payload) for note in message.notes),
        wants_members=message.wants_members,
    )


def _encode_member(member: Member) -> wire.Member:
    return wire.Member(
        name=member.name,
        data_center=member.data_center,
        vm=member.vm,
        host=member.callers.host,
        port=member.callers.port,
        peer_host=member.peers.host,
        peer_port=member.peers.port,
        admin_host=member.admin.host,
        admin_port=member.admin.port,
        heartbeat=_encode_heartbeat('', member.heartbeat),
    )


def _decode_member(message: wire.Member) -> Member:
    if not message.name or len(message.name) > _MAX_NAME_LENGTH:
        raise PeerMessageError(f'{message.name!r} is no name of a member')
    return Member(
        name=message.name,
        callers=Address(message.host, message.port),
        peers=Address(message.peer_host, message.peer_port),
        admin=Address(message.admin_host, message.admin_port),
        data_center=message.data_center,
        vm=message.vm,
        heartbeat=_decode_heartbeat(message.heartbeat),
    )


def _encode_heartbeat(name: str, heartbeat: Heartbeat) -> wire.Heartbeat:
    return wire.Heartbeat(
        name=name,
        incarnation=heartbeat.incarnation,
        count=heartbeat.count,
        leaving=heartbeat.leaving,
    )


def _decode_heartbeat(message: wire.Heartbeat) -> Heartbeat:
    return Heartbeat(message.incarnation, message.leaving, message.count)
