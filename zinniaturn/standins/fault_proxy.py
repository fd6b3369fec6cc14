"""
TCP proxy that injects faults, one for each exchange.

It stands in front of a server whose protocol alternates requests and
responses. An exchange begins with the first request byte after a response; the
proxy then calls ``choose_fault`` for the fault of this exchange.

>>> proxy = FaultProxy(('127.0.0.1', 9000), choose_fault=lambda: CutAnswer(0))
>>> proxy.applied
Counter()
"""

__all__ = ('FaultProxy',)

import asyncio
from collections import Counter
from collections.abc import Callable

from zinniaturn.standins.connection_reset import reset_connection
from zinniaturn.standins.faults import (
    BlackHole,
    CutAnswer,
    CutRequest,
    CutWhileRunning,
    DelayAnswer,
    ExtraBytes,
    Fault,
    HalfClose,
    LoseAnswer,
    NoFault,
    RepeatAnswer,
)

Address = tuple[str, int]


def _choose_no_fault() -> Fault:
    return NoFault()


class FaultProxy:
    """
    Forwards connections to ``target``; `start` it, then use `port`.

    ``applied`` counts the injected faults by class name.
    """

    def __init__(
        self,
        target: Address,
        choose_fault: Callable[[], Fault] = _choose_no_fault,
    ) -> None:
        self.target = target
        self.choose_fault = choose_fault
        self.applied: Counter[str] = Counter()
        self.connections: set[_ProxiedConnection] = set()
        self.listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port; refusing connections does not change it."""
        assert self.listener is not None
        return self.bound_port

    async def start(self, port: int = 0) -> None:
        """Start listening; port 0 takes any free port."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: _CallerProtocol(self),
            '127.0.0.1',
            port,
        )
        self.bound_port = int(self.listener.sockets[0].getsockname()[1])

    async def refuse_connections(self) -> None:
        """Reset the open connections and refuse new ones from now on."""
        assert self.listener is not None
        self.listener.close()
        self.reset_all_connections()
        await asyncio.sleep(0)

    async def accept_connections(self) -> None:
        """Listen again on the same port."""
        await self.start(self.bound_port)

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self.listener is not None:
            self.listener.close()
        self.reset_all_connections()

    def reset_all_connections(self) -> None:
        """Reset every open connection."""
        for connection in list(self.connections):
            connection.reset_both_sides()


class _ProxiedConnection:
    """
    The connections to caller and server, and the current exchange.

    ``has_response_begun`` is true also before the first exchange, so that the
    next request byte starts one.
    """

    def __init__(self, proxy: FaultProxy, caller: asyncio.Transport) -> None:
        self.proxy = proxy
        self.caller = caller
        self.server: asyncio.Transport | None = None
        self.pending_chunks: list[bytes] = []
        self.fault: Fault = NoFault()
        self.has_response_begun = True
        self.request_bytes = 0
        self.response_bytes = 0
        self.is_fault_counted = False
        self.discards_response = False
        proxy.connections.add(self)
        self.connect_task = asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_connection(
                lambda: _ServerProtocol(self),
                *self.proxy.target,
            )
        except OSError:
            reset_connection(self.caller)
            return
        self.server = transport
        for chunk in self.pending_chunks:
            transport.write(chunk)
        self.pending_chunks.clear()
        if self.caller.is_closing():
            transport.close()

    def reset_both_sides(self) -> None:
        reset_connection(self.caller)
        if self.server is not None:
            reset_connection(self.server)

    def count_fault(self) -> None:
        if not self.is_fault_counted:
            self.proxy.applied[type(self.fault).__name__] += 1
        self.is_fault_counted = True

    def forward_request(self, chunk: bytes) -> None:
        if self.has_response_begun:
            self.start_exchange()
        self.request_bytes += len(chunk)
        match self.fault:
            case CutRequest(limit) if self.request_bytes > limit:
                self.count_fault()
                self.write_to_server(self.truncate_request(chunk, limit))
                self.reset_both_sides()
            case BlackHole(limit):
                self.count_fault()
                self.write_to_server(self.truncate_request(chunk, limit))
            case _:
                self.write_to_server(chunk)

    def truncate_request(self, chunk: bytes, limit: int) -> bytes:
        already_received = self.request_bytes - len(chunk)
        return chunk[: max(0, limit - already_received)]

    def start_exchange(self) -> None:
        self.fault = self.proxy.choose_fault()
        self.has_response_begun = False
        self.is_fault_counted = False
        self.request_bytes = 0
        self.response_bytes = 0
        if isinstance(self.fault, CutWhileRunning):
            asyncio.get_running_loop().call_later(
                self.fault.after_seconds,
                self.reset_running_exchange,
                self.fault,
            )

    def reset_running_exchange(self, fault: Fault) -> None:
        if self.fault is fault and not self.has_response_begun:
            self.count_fault()
            self.discards_response = True
            reset_connection(self.caller)

    def forward_response(self, chunk: bytes) -> None:
        self.has_response_begun = True
        if self.discards_response:
            return
        already_sent = self.response_bytes
        self.response_bytes += len(chunk)
        loop = asyncio.get_running_loop()
        match self.fault:
            case CutAnswer(limit, reset) if self.response_bytes > limit:
                self.count_fault()
                self.caller.write(chunk[: max(0, limit - already_sent)])
                self.end_response(reset)
            case HalfClose(limit) if self.response_bytes > limit:
                self.count_fault()
                self.caller.write(chunk[: max(0, limit - already_sent)])
                self.discards_response = True
                self.caller.write_eof()
            case LoseAnswer():
                self.count_fault()
            case DelayAnswer(seconds):
                self.count_fault()
                loop.call_later(seconds, self.write_to_caller, chunk)
            case ExtraBytes(payload, seconds) if not already_sent:
                self.count_fault()
                self.caller.write(chunk)
                if seconds:
                    loop.call_later(seconds, self.write_to_caller, payload)
                else:
                    self.caller.write(payload)
            case RepeatAnswer(seconds) if not already_sent:
                self.count_fault()
                self.caller.write(chunk)
                loop.call_later(seconds, self.write_to_caller, chunk)
            case _:
                self.caller.write(chunk)

    def end_response(self, reset: bool) -> None:
        self.discards_response = True
        if reset:
            reset_connection(self.caller)
        else:
            self.caller.close()

    def write_to_caller(self, chunk: bytes) -> None:
        if not self.caller.is_closing():
            self.caller.write(chunk)

    def write_to_server(self, chunk: bytes) -> None:
        if not chunk:
            return
        if self.server is None:
            self.pending_chunks.append(chunk)
        elif not self.server.is_closing():
            self.server.write(chunk)

    def on_caller_lost(self) -> None:
        self.proxy.connections.discard(self)
        if isinstance(self.fault, CutWhileRunning | CutAnswer):
            if self.discards_response:
                return
        if self.server is not None:
            self.server.close()

    def on_server_lost(self, reason: Exception | None) -> None:
        """Close or reset the caller's connection as the server did its own."""
        self.proxy.connections.discard(self)
        if reason is not None and isinstance(self.fault, NoFault):
            reset_connection(self.caller)
            return
        match self.fault:
            case BlackHole() | LoseAnswer() | HalfClose():
                return
            case DelayAnswer(seconds):
                loop = asyncio.get_running_loop()
                loop.call_later(seconds, self.caller.close)
            case _:
                self.caller.close()


class _CallerProtocol(asyncio.Protocol):
    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self.connection: _ProxiedConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.connection = _ProxiedConnection(self.proxy, transport)

    def data_received(self, chunk: bytes) -> None:
        if self.connection is not None:
            self.connection.forward_request(chunk)

    def connection_lost(self, reason: Exception | None) -> None:
        if self.connection is not None:
            self.connection.on_caller_lost()


class _ServerProtocol(asyncio.Protocol):
    def __init__(self, connection: _ProxiedConnection) -> None:
        self.connection = connection

    def data_received(self, chunk: bytes) -> None:
        self.connection.forward_response(chunk)

    def connection_lost(self, reason: Exception | None) -> None:
        self.connection.on_server_lost(reason)
