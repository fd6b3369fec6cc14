"""
A TCP proxy that injects faults, exchange by exchange.

It stands before any server that speaks request and answer in turn. An exchange
begins with the first request byte after an answer; the proxy then asks its
``choose`` for the fault of this exchange.

>>> proxy = FaultProxy(('127.0.0.1', 9000), choose=lambda: CutAnswer(0))
>>> proxy.applied
Counter()
"""

__all__ = ('FaultProxy',)

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Callable

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

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def _choose_nothing() -> Fault:
    return NoFault()


class FaultProxy:
    """
    Passes connections on to ``target``; `start` it, then use `port`.

    ``applied`` counts the faults that were brought about, by class name.
    """

    def __init__(
        self,
        target: Address,
        choose: Callable[[], Fault] = _choose_nothing,
    ) -> None:
        self.target = target
        self.choose = choose
        self.applied: Counter[str] = Counter()
        self.links: set[_Link] = set()
        self.listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the port; it stays the same while connections are refused."""
        assert self.listener is not None
        return self.bound_port

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 takes any free one."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: _CallerSide(self),
            '127.0.0.1',
            port,
        )
        self.bound_port = int(self.listener.sockets[0].getsockname()[1])

    async def refuse_connections(self) -> None:
        """Reset what is open and refuse new connections from now on."""
        assert self.listener is not None
        self.listener.close()
        self.cut_all()
        await asyncio.sleep(0)

    async def accept_connections(self) -> None:
        """Listen again on the same port."""
        await self.start(self.bound_port)

    async def stop(self) -> None:
        """Stop at once."""
        if self.listener is not None:
            self.listener.close()
        self.cut_all()

    def cut_all(self) -> None:
        """Reset every open connection."""
        for link in list(self.links):
            link.reset_both()


class _Link:
    """A caller's connection, the server's and the exchange on them."""

    def __init__(self, proxy: FaultProxy, caller: asyncio.Transport) -> None:
        self.proxy = proxy
        self.caller = caller
        self.server: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.fault: Fault = NoFault()
        self.is_answering = True
        self.request_bytes = 0
        self.answer_bytes = 0
        self.is_counted = False
        self.ignores_answers = False
        proxy.links.add(self)
        self.connecting = asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_connection(
                lambda: _ServerSide(self),
                *self.proxy.target,
            )
        except OSError:
            _reset(self.caller)
            return
        self.server = transport
        for chunk in self.waiting:
            transport.write(chunk)
        self.waiting.clear()
        if self.caller.is_closing():
            transport.close()

    def reset_both(self) -> None:
        _reset(self.caller)
        if self.server is not None:
            _reset(self.server)

    def count(self) -> None:
        if not self.is_counted:
            self.proxy.applied[type(self.fault).__name__] += 1
        self.is_counted = True

    def take_request(self, chunk: bytes) -> None:
        if self.is_answering:
            self.begin_exchange()
        self.request_bytes += len(chunk)
        match self.fault:
            case CutRequest(limit) if self.request_bytes > limit:
                self.count()
                self.send_to_server(self.within(chunk, limit))
                self.reset_both()
            case BlackHole(limit):
                self.count()
                self.send_to_server(self.within(chunk, limit))
            case _:
                self.send_to_server(chunk)

    def within(self, chunk: bytes, limit: int) -> bytes:
        before = self.request_bytes - len(chunk)
        return chunk[: max(0, limit - before)]

    def begin_exchange(self) -> None:
        self.fault = self.proxy.choose()
        self.is_answering = False
        self.is_counted = False
        self.request_bytes = 0
        self.answer_bytes = 0
        if isinstance(self.fault, CutWhileRunning):
            asyncio.get_running_loop().call_later(
                self.fault.after_seconds,
                self.cut_running,
                self.fault,
            )

    def cut_running(self, fault: Fault) -> None:
        if self.fault is fault and not self.is_answering:
            self.count()
            self.ignores_answers = True
            _reset(self.caller)

    def take_answer(self, chunk: bytes) -> None:
        self.is_answering = True
        if self.ignores_answers:
            return
        sent = self.answer_bytes
        self.answer_bytes += len(chunk)
        loop = asyncio.get_running_loop()
        match self.fault:
            case CutAnswer(limit, reset) if self.answer_bytes > limit:
                self.count()
                self.caller.write(chunk[: max(0, limit - sent)])
                self.end_answer(reset)
            case HalfClose(limit) if self.answer_bytes > limit:
                self.count()
                self.caller.write(chunk[: max(0, limit - sent)])
                self.ignores_answers = True
                self.caller.write_eof()
            case LoseAnswer():
                self.count()
            case DelayAnswer(seconds):
                self.count()
                loop.call_later(seconds, self.send_to_caller, chunk)
            case ExtraBytes(payload, seconds) if not sent:
                self.count()
                self.caller.write(chunk)
                if seconds:
                    loop.call_later(seconds, self.send_to_caller, payload)
                else:
                    self.caller.write(payload)
            case RepeatAnswer(seconds) if not sent:
                self.count()
                self.caller.write(chunk)
                loop.call_later(seconds, self.send_to_caller, chunk)
            case _:
                self.caller.write(chunk)

    def end_answer(self, reset: bool) -> None:
        self.ignores_answers = True
        if reset:
            _reset(self.caller)
        else:
            self.caller.close()

    def send_to_caller(self, chunk: bytes) -> None:
        if not self.caller.is_closing():
            self.caller.write(chunk)

    def send_to_server(self, chunk: bytes) -> None:
        if not chunk:
            return
        if self.server is None:
            self.waiting.append(chunk)
        elif not self.server.is_closing():
            self.server.write(chunk)

    def caller_lost(self) -> None:
        self.proxy.links.discard(self)
        if isinstance(self.fault, CutWhileRunning | CutAnswer):
            if self.ignores_answers:
                return
        if self.server is not None:
            self.server.close()

    def server_lost(self, reason: Exception | None) -> None:
        """End the caller's side in the way in which the server's ended."""
        self.proxy.links.discard(self)
        if reason is not None and isinstance(self.fault, NoFault):
            _reset(self.caller)
            return
        match self.fault:
            case BlackHole() | LoseAnswer() | HalfClose():
                return
            case DelayAnswer(seconds):
                loop = asyncio.get_running_loop()
                loop.call_later(seconds, self.caller.close)
            case _:
                self.caller.close()


class _CallerSide(asyncio.Protocol):
    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self.link: _Link | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.link = _Link(self.proxy, transport)

    def data_received(self, chunk: bytes) -> None:
        if self.link is not None:
            self.link.take_request(chunk)

    def connection_lost(self, reason: Exception | None) -> None:
        if self.link is not None:
            self.link.caller_lost()


class _ServerSide(asyncio.Protocol):
    def __init__(self, link: _Link) -> None:
        self.link = link

    def data_received(self, chunk: bytes) -> None:
        self.link.take_answer(chunk)

    def connection_lost(self, reason: Exception | None) -> None:
        self.link.server_lost(reason)


def _reset(transport: asyncio.Transport) -> None:
    if transport.is_closing():
        return
    connection = transport.get_extra_info('socket')
    connection.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        _RESET_ON_CLOSE,
    )
    transport.abort()
