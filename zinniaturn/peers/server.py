"""The gRPC server for calls from other entries."""

__all__ = ('PeerServer',)

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import grpc

from zinniaturn.configuration import InstalledTables
from zinniaturn.configuration.exceptions import StoredStateError
from zinniaturn.configuration.head import decode_head, encode_head
from zinniaturn.events import LogEvent, log_event
from zinniaturn.membership.domain import Address
from zinniaturn.peers import messages_pb2 as wire
from zinniaturn.peers import messages_pb2_grpc as service
from zinniaturn.peers.bulletin import (
    Bulletin,
    decode_bulletin,
    encode_bulletin,
)
from zinniaturn.peers.credentials import PeerSecurity, check_security
from zinniaturn.peers.exceptions import PeerListenError, PeerMessageError

_SHUTDOWN_GRACE_SECONDS = 0.2
_SERVER_OPTIONS = (('grpc.so_reuseport', 0),)

BulletinHandler = Callable[[Bulletin], Bulletin]


@dataclass
class PeerServer:
    """Serves peers; ``handle_bulletin`` returns the reply to a bulletin."""

    installed: InstalledTables
    handle_bulletin: BulletinHandler
    security: PeerSecurity = field(default_factory=PeerSecurity)
    server: grpc.aio.Server | None = None

    async def start(self, address: Address) -> int:
        """
        Start to listen and return the port; port 0 means any free port.

        Raises `PeersInsecureError` and `PeerListenError`.
        """
        check_security(self.security, address.host)
        server = grpc.aio.server(options=_SERVER_OPTIONS)
        service.add_PeersServicer_to_server(
            _Servicer(self.installed, self.handle_bulletin),
            server,
        )
        try:
            port = self._listen(server, str(address))
        except RuntimeError as error:
            raise PeerListenError(f'{address}: {error}') from error
        await server.start()
        self.server = server
        return port

    async def stop(self) -> None:
        """Stop after a short grace period for calls in flight."""
        if self.server is not None:
            await self.server.stop(_SHUTDOWN_GRACE_SECONDS)
            self.server = None

    def _listen(self, server: grpc.aio.Server, address: str) -> int:
        if self.security.server is None:
            return int(server.add_insecure_port(address))
        return int(server.add_secure_port(address, self.security.server))


class _Servicer(service.PeersServicer):
    def __init__(
        self, installed: InstalledTables, handle_bulletin: BulletinHandler
    ) -> None:
        self.installed = installed
        self.handle_bulletin = handle_bulletin

    async def Exchange(
        self,
        request: wire.Bulletin,
        context: grpc.aio.ServicerContext,
    ) -> wire.Bulletin:
        try:
            bulletin = decode_bulletin(request)
        except PeerMessageError as error:
            log_event(LogEvent.PEER_REFUSED, reason=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        return encode_bulletin(self.handle_bulletin(bulletin))

    async def ReadHead(
        self,
        request: wire.HeadRequest,
        context: grpc.aio.ServicerContext,
    ) -> wire.HeadReply:
        return wire.HeadReply(head=encode_head(self.installed.head))

    async def ReadSegments(
        self,
        request: wire.SegmentsRequest,
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[wire.SegmentReply]:
        texts = self.installed.segment_texts()
        for digest in request.digests:
            text = texts.get(digest)
            if text is not None:
                yield wire.SegmentReply(digest=digest, text=text)

    async def Offer(
        self,
        request: wire.OfferRequest,
        context: grpc.aio.ServicerContext,
    ) -> wire.OfferReply:
        texts = {segment.digest: segment.text for segment in request.segments}
        try:
            is_in_force = self.installed.install_head(
                decode_head(request.head), texts
            )
        except StoredStateError as error:
            log_event(LogEvent.PEER_REFUSED, reason=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        return wire.OfferReply(in_force=is_in_force)
