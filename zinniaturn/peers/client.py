"""The gRPC client for calls to other entries."""

__all__ = ('PeerClient',)

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import grpc

from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.head import Head, decode_head, encode_head
from zinniaturn.configuration.snapshot import Snapshot
from zinniaturn.membership.domain import Address
from zinniaturn.peers import messages_pb2 as wire
from zinniaturn.peers import messages_pb2_grpc as service
from zinniaturn.peers.bulletin import (
    Bulletin,
    decode_bulletin,
    encode_bulletin,
)
from zinniaturn.peers.credentials import PeerSecurity
from zinniaturn.peers.exceptions import PeerError, PeerMessageError

EXCHANGE_TIMEOUT_SECONDS = 1.0
CONTENT_TIMEOUT_SECONDS = 1.5

_MAX_CHANNELS = 32
_MAX_MESSAGE_BYTES = 4_194_304
_CHANNEL_OPTIONS: tuple[tuple[str, int | str], ...] = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
)


@dataclass
class PeerClient:
    """
    Calls peers over a bounded number of channels.

    Every call raises `PeerError` if the peer does not answer in time. Beyond
    the bound, the channel that was used least recently is closed.
    """

    security: PeerSecurity = field(default_factory=PeerSecurity)
    channels: dict[Address, grpc.aio.Channel] = field(default_factory=dict)

    async def exchange(self, address: Address, bulletin: Bulletin) -> Bulletin:
        """Send a bulletin to a peer and return the peer's bulletin."""
        try:
            reply = await (await self._stub(address)).Exchange(
                encode_bulletin(bulletin),
                timeout=EXCHANGE_TIMEOUT_SECONDS,
            )
        except grpc.aio.AioRpcError as error:
            raise _peer_error(address, error) from error
        return decode_bulletin(reply)

    async def read_head(self, address: Address) -> Head:
        """Return the head of the tables that a peer has in force."""
        try:
            reply = await (await self._stub(address)).ReadHead(
                wire.HeadRequest(),
                timeout=CONTENT_TIMEOUT_SECONDS,
            )
        except grpc.aio.AioRpcError as error:
            raise _peer_error(address, error) from error
        try:
            return decode_head(reply.head)
        except StoredStateError as error:
            raise PeerMessageError(error.message) from error

    async def read_segments(
        self,
        address: Address,
        digests: Iterable[str],
    ) -> Mapping[str, str]:
        """Return the texts of those segments that the peer has, by digest."""
        call = (await self._stub(address)).ReadSegments(
            wire.SegmentsRequest(digests=list(digests)),
            timeout=CONTENT_TIMEOUT_SECONDS,
        )
        try:
            return {reply.digest: reply.text async for reply in call}
        except grpc.aio.AioRpcError as error:
            raise _peer_error(address, error) from error

    async def offer(self, address: Address, snapshot: Snapshot) -> bool:
        """Send a snapshot to a peer; return whether it is in force there."""
        request = wire.OfferRequest(
            head=encode_head(snapshot.head),
            segments=[
                wire.SegmentReply(digest=segment.digest, text=segment.text)
                for segment in snapshot.segments.values()
            ],
        )
        try:
            reply = await (await self._stub(address)).Offer(
                request,
                timeout=CONTENT_TIMEOUT_SECONDS,
            )
        except grpc.aio.AioRpcError as error:
            raise _peer_error(address, error) from error
        return bool(reply.in_force)

    async def replace_credentials(self, security: PeerSecurity) -> None:
        """
        Use new credentials for all further calls.

        Calls in flight continue with the old credentials for at most
        `EXCHANGE_TIMEOUT_SECONDS`.
        """
        self.security = security
        old_channels = list(self.channels.values())
        self.channels.clear()
        for channel in old_channels:
            await channel.close(EXCHANGE_TIMEOUT_SECONDS)

    async def close(self) -> None:
        """Close all channels."""
        while self.channels:
            _, channel = self.channels.popitem()
            await channel.close(None)

    async def _stub(self, address: Address) -> service.PeersStub:
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = self._open_channel(address)
        self.channels[address] = channel
        if len(self.channels) > _MAX_CHANNELS:
            oldest = next(iter(self.channels))
            await self.channels.pop(oldest).close(EXCHANGE_TIMEOUT_SECONDS)
        return service.PeersStub(channel)

    def _open_channel(self, address: Address) -> grpc.aio.Channel:
        credentials = self.security.channel
        if credentials is None:
            return grpc.aio.insecure_channel(str(address), _CHANNEL_OPTIONS)
        options = _CHANNEL_OPTIONS
        if self.security.server_name:
            name = self.security.server_name
            options = (
                *_CHANNEL_OPTIONS,
                ('grpc.ssl_target_name_override', name),
            )
        return grpc.aio.secure_channel(str(address), credentials, options)


def _peer_error(address: Address, error: grpc.aio.AioRpcError) -> PeerError:
    return PeerError(f'{address}: {error.code().name}')
