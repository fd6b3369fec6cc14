"""
The links between VMs and backend servers, which can be cut by VM.

A `LinkProxy` stands in front of a server and tells VMs apart by the address
that they connect from. All proxies of a test share one `VmLinks`.
"""

__all__ = ('CutShape', 'LinkProxy', 'VmLinks')

import asyncio
import enum
from dataclasses import dataclass, field

from zinniaturn.http1.connections import Address
from zinniaturn.standins.connection_reset import reset_connection


class CutShape(enum.Enum):
    """
    What becomes of a VM's connections when its links are cut.

    With ``HANG`` bytes are held up until the links are back, on new connections
    too. With ``RESET`` open connections are reset and new ones refused, and
    with ``REFUSE_NEW`` the open ones live on. A proxy accepts before it
    refuses.
    """

    HANG = 'hang'
    RESET = 'reset'
    REFUSE_NEW = 'refuse-new'


@dataclass(slots=True)
class VmLinks:
    """
    The cuts by the VM's host.

    ``connections`` are all open ones, and ``held_bytes`` counts the bytes that
    were held up.
    """

    cuts: dict[str, CutShape] = field(default_factory=dict)
    connections: set['_Link'] = field(default_factory=set)
    held_bytes: int = 0

    def cut(self, host: str, shape: CutShape) -> None:
        """Cut a VM off from all servers."""
        self.cuts[host] = shape
        if shape is CutShape.RESET:
            for link in self._of(host):
                link.reset()

    def restore(self, host: str) -> None:
        """End a VM's cut; bytes that were held up arrive now."""
        self.cuts.pop(host, None)
        for link in self._of(host):
            link.deliver_held()

    def shape(self, host: str) -> CutShape | None:
        """Return a VM's cut, ``None`` if its links work."""
        return self.cuts.get(host)

    def _of(self, host: str) -> list['_Link']:
        return [link for link in self.connections if link.host == host]


class LinkProxy:
    """Forwards connections to a server as the links of their VM allow."""

    def __init__(self, target: Address, links: VmLinks) -> None:
        self.target = target
        self.links = links
        self.listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the listening port."""
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: _VmSide(self), '127.0.0.1', 0
        )

    async def stop(self) -> None:
        """Stop listening and reset the connections to this server."""
        if self.listener is not None:
            self.listener.close()
        for link in list(self.links.connections):
            if link.proxy is self:
                link.reset()


@dataclass(slots=True, eq=False)
class _Link:
    """One connection of a VM, and the proxy's own one to the server."""

    proxy: LinkProxy
    vm: asyncio.Transport
    host: str
    server: asyncio.Transport | None = None
    to_server: list[bytes] = field(default_factory=list)
    to_vm: list[bytes] = field(default_factory=list)
    connect_task: 'asyncio.Task[None] | None' = None

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_connection(
                lambda: _ServerSide(self), *self.proxy.target
            )
        except OSError:
            self.reset()
            return
        self.server = transport
        if self.vm.is_closing():
            self.reset()
        self.deliver_held()

    def is_held(self) -> bool:
        shape = self.proxy.links.shape(self.host)
        return shape is CutShape.HANG

    def send_to_server(self, chunk: bytes) -> None:
        if self.server is None or self.is_held():
            self.proxy.links.held_bytes += len(chunk)
            self.to_server.append(chunk)
        else:
            self.server.write(chunk)

    def send_to_vm(self, chunk: bytes) -> None:
        if self.is_held():
            self.proxy.links.held_bytes += len(chunk)
            self.to_vm.append(chunk)
        else:
            self.vm.write(chunk)

    def deliver_held(self) -> None:
        if self.server is None or self.is_held():
            return
        _write_all(self.to_server, self.server)
        _write_all(self.to_vm, self.vm)

    def reset(self) -> None:
        self.proxy.links.connections.discard(self)
        for transport in (self.vm, self.server):
            if transport is not None:
                reset_connection(transport)

    def on_vm_lost(self) -> None:
        """Close the server's side, unless a silent cut keeps it from it."""
        self.proxy.links.connections.discard(self)
        if self.server is not None and not self.is_held():
            self.server.abort()

    def on_server_lost(self, reason: Exception | None) -> None:
        """Close or reset the VM's side as the server did its own."""
        self.proxy.links.connections.discard(self)
        if self.is_held():
            return
        if reason is None:
            self.vm.close()
        else:
            reset_connection(self.vm)


class _VmSide(asyncio.Protocol):
    def __init__(self, proxy: LinkProxy) -> None:
        self.proxy = proxy
        self.link: _Link | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        host = transport.get_extra_info('peername')[0]
        shape = self.proxy.links.shape(host)
        if shape in {CutShape.RESET, CutShape.REFUSE_NEW}:
            reset_connection(transport)
            return
        self.link = _Link(self.proxy, transport, host)
        self.proxy.links.connections.add(self.link)
        loop = asyncio.get_running_loop()
        self.link.connect_task = loop.create_task(self.link.connect())

    def data_received(self, chunk: bytes) -> None:
        if self.link is not None:
            self.link.send_to_server(chunk)

    def connection_lost(self, reason: Exception | None) -> None:
        if self.link is not None:
            self.link.on_vm_lost()


class _ServerSide(asyncio.Protocol):
    def __init__(self, link: _Link) -> None:
        self.link = link

    def data_received(self, chunk: bytes) -> None:
        self.link.send_to_vm(chunk)

    def connection_lost(self, reason: Exception | None) -> None:
        self.link.on_server_lost(reason)


def _write_all(chunks: list[bytes], transport: asyncio.Transport) -> None:
    for chunk in chunks:
        transport.write(chunk)
    chunks.clear()
