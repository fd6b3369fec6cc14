"""
Bulletins: what one entry tells another, as data classes.

A bulletin names the revision in force, not its content; the receiver asks for
that if it needs it.
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

_MILLISECONDS = 1000
_MAX_NAME = 63


@dataclass(frozen=True, slots=True)
class NamedHeartbeat:
    """A member's name and heartbeat, for receivers that know the rest."""

    name: str
    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class Note:
    """A message of another subsystem that travels along, by topic."""

    topic: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Bulletin:
    """
    What an entry tells another one.

    ``confirmed_age`` is in seconds since the store last confirmed the
    position, ``None`` where it never did.
    """

    sender: Member
    position: ChainPosition
    confirmed_age: float | None = None
    beats: tuple[NamedHeartbeat, ...] = ()
    members: tuple[Member, ...] = ()
    notes: tuple[Note, ...] = ()
    wants_members: bool = False


def encode_bulletin(bulletin: Bulletin) -> wire.Bulletin:
    """Return the bulletin as a message."""
    age = bulletin.confirmed_age
    return wire.Bulletin(
        sender=_encode_member(bulletin.sender),
        position=wire.Position(
            revision=bulletin.position.revision,
            chain=bulletin.position.chain,
        ),
        confirmed_age_ms=0 if age is None else int(age * _MILLISECONDS) + 1,
        heartbeats=[
            _encode_heartbeat(beat.name, beat.heartbeat)
            for beat in bulletin.beats
        ],
        members=[_encode_member(member) for member in bulletin.members],
        notes=[
            wire.Note(topic=note.topic, payload=note.payload)
            for note in bulletin.notes
        ],
        wants_members=bulletin.wants_members,
    )


def decode_bulletin(message: wire.Bulletin) -> Bulletin:
    """Return the bulletin in a message; raises `PeerMessageError`."""
    age_ms = message.confirmed_age_ms
    return Bulletin(
        sender=_decode_member(message.sender),
        position=ChainPosition(
            message.position.revision, message.position.chain
        ),
        confirmed_age=(age_ms - 1) / _MILLISECONDS if age_ms else None,
        beats=tuple(
            NamedHeartbeat(beat.name, _decode_heartbeat(beat))
            for beat in message.heartbeats
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
    if not message.name or len(message.name) > _MAX_NAME:
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
