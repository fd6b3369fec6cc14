"""
Packs the fleet state once for all VMs that lack the same parts of it.

Anyone who reaches the port between VMs may ask for the state, and a VM that
joins is unknown to the others, so all are answered. To encode and compress the
state of a large fleet takes long, so the packed parts are kept until they
change, and only what has an age is added to each message.

Work: a copy of the packed bytes for each request. The state is packed at most
once a change for each combination of missing parts that other VMs ask for.
"""

__all__ = ('StatePacker',)

import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from zinniaturn.fleet.datagrams import PROTOCOL_VERSION
from zinniaturn.fleet.evacuation_messages import evacuations_part
from zinniaturn.fleet.fleet_state import (
    FleetState,
    StateFingerprint,
    StateIdentity,
)
from zinniaturn.fleet.messages import StateMessage, build_content

_COMPRESSION_LEVEL = 1
# A requester lacks all parts, or those of the last change or two.
_MOST_KEPT = 4
# How a content without evacuations ends in MessagePack.
_NOTHING = b'\xc0'

_PartsKey = tuple[StateFingerprint, bool, int | None, bool]


@dataclass(frozen=True, slots=True)
class _PackedParts:
    """The compressed parts, and a compressor that can add the rest."""

    start: bytes
    compressor: 'zlib._Compress'

    def complete(self, rest: bytes) -> bytes:
        """Return all parts compressed."""
        compressor = self.compressor.copy()
        end = compressor.compress(rest) + compressor.flush()
        return self.start + end


@dataclass(slots=True)
class StatePacker:
    """
    Builds the messages with which a VM answers requests for its state.

    ``kept`` has the parts that were asked for last, and ``packed_count`` counts
    how often parts were packed.
    """

    fleet_state: FleetState
    kept: 'OrderedDict[_PartsKey, _PackedParts]' = field(
        default_factory=OrderedDict
    )
    packed_count: int = 0
    encode: Callable[[object], bytes] = msgspec.msgpack.encode

    def build(self, held: StateFingerprint, follows_eras: bool) -> StateMessage:
        """
        Return the state for a requester that holds ``held``.

        ``follows_eras`` tells whether it knows the store's eras.
        """
        state = self.fleet_state
        identity = state.identity(follows_eras)
        parts = self._parts(held, identity)
        evacuations = evacuations_part(state.evacuations)
        return StateMessage(
            PROTOCOL_VERSION,
            identity.revision,
            max(0, state.age_ms) + 1,
            parts.complete(self.encode(evacuations)),
            state.proof.age_ms,
        )

    def _parts(
        self, held: StateFingerprint, identity: StateIdentity
    ) -> _PackedParts:
        key = self._key(held, identity.fingerprint)
        parts = self.kept.get(key)
        if parts is None:
            parts = self._pack(held, identity)
            self.kept[key] = parts
            if len(self.kept) > _MOST_KEPT:
                self.kept.popitem(last=False)
        self.kept.move_to_end(key)
        return parts

    def _key(self, held: StateFingerprint, own: StateFingerprint) -> _PartsKey:
        """Return what identifies the parts that a requester lacks."""
        knows = self.fleet_state.server_changes.knows
        is_known = held.servers == own.servers or knows(held.servers)
        return (
            own,
            own.tables > held.tables,
            held.servers if is_known else None,
            own.vms != held.vms,
        )

    def _pack(
        self, held: StateFingerprint, identity: StateIdentity
    ) -> _PackedParts:
        self.packed_count += 1
        content = build_content(self.fleet_state, held, identity)
        bare = msgspec.structs.replace(content, evacuations=None)
        compressor = zlib.compressobj(_COMPRESSION_LEVEL)
        start = compressor.compress(self.encode(bare).removesuffix(_NOTHING))
        return _PackedParts(start, compressor)
