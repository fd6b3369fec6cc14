"""
Parses the requests of one connection, and bounds what one may take.

Bytes are given to the parser in slices, so that a request is checked against
the limits, and the next one held back, before much more has been parsed.
"""

__all__ = ('LimitsSource', 'RequestReader', 'RequestReceiver')

import asyncio
from collections.abc import Callable
from types import MappingProxyType
from typing import Protocol

import httptools

from zinniaturn.http1.byte_budget import BodyBuffer
from zinniaturn.http1.limits import CallerLimits
from zinniaturn.http1.messages import Fields, Request, head_size
from zinniaturn.http1.upgrade_offers import head_without_offer

# A slice has at most 256 of the shortest requests, or 1,000 header fields.
_SLICE_BYTES = 4096
# Chunked bodies don't tell where the next request begins.
_CHUNKED_SLICE_BYTES = 16 * 1024
# What a header field takes as objects, beside its bytes: a tuple, its place in
# the list and the heads of two bytes objects.
_FIELD_BYTES = 130
# What is rejected if too much else than a body arrives, by whether the head has
# been read.
_EXCESS_REJECTIONS = MappingProxyType(
    {
        False: (431, b'the head is too large'),
        True: (413, b'the framing of the body is too large'),
    }
)


class RequestReceiver(Protocol):
    """The connection that gets the requests."""

    is_closing: bool

    def reject(self, status: int, detail: bytes) -> None:
        """Answer the request that is being received, and read no more."""

    def invite_body(self) -> None:
        """Tell the client that its body is waited for."""


class LimitsSource(Protocol):
    """Whatever has the limits on requests."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""


class RequestReader:
    """
    Reads one request after the other.

    ``is_receiving`` is set from the first byte of a request to its last one,
    ``has_begun`` from the first byte of the connection. ``on_request`` is
    called with each complete request and the bytes that it takes. A service's
    limits may change, so they are read from ``source``.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receiver: RequestReceiver,
        source: LimitsSource,
    ) -> None:
        self.source = source
        self.on_request: Callable[[Request, int], None] | None = None
        self.loop = loop
        self.receiver = receiver
        self.parser = httptools.HttpRequestParser(self)
        self.has_begun = False
        self.is_receiving = False
        self.is_head_done = False
        self.started_at = loop.time()
        self.target = b''
        self.fields: Fields = []
        self.head_bytes = 0
        self.declared_bytes: int | None = None
        self.body = BodyBuffer()

    @property
    def held_bytes(self) -> int:
        """Return what the request that is being received takes."""
        return (
            self.head_bytes + len(self.fields) * _FIELD_BYTES + self.body.size
        )

    def slice_bytes(self) -> int:
        """Return how many bytes to give to `feed` at most."""
        if not self.is_head_done:
            return _SLICE_BYTES
        if self.declared_bytes is None:
            return _CHUNKED_SLICE_BYTES
        return max(_SLICE_BYTES, self.declared_bytes - self.body.size)

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes; reject a request that is malformed or too large."""
        if self.is_receiving:
            self.body.received_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self.receiver.reject(400, str(error).encode())
        if self.is_receiving and self.body.has_excess(
            self.source.limits.header_bytes
        ):
            self.receiver.reject(*_EXCESS_REJECTIONS[self.is_head_done])

    def drop(self) -> None:
        """Forget the request that is being received."""
        self.is_receiving = False
        self._forget()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.has_begun = True
        if self.receiver.is_closing:
            return
        self.is_receiving = True
        self.started_at = self.loop.time()
        self._forget()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        if not self.receiver.is_closing:
            self.target += url
            self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are counted and dropped."""
        if self.receiver.is_closing:
            return
        if not self.is_head_done:
            self.fields.append((name, value))
            if name.lower() == b'content-length':
                # The parser has made sure that it is a number.
                self.declared_bytes = int(value)
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Check the sizes of head and body; answer an expectation."""
        if self.parser.should_upgrade() or self.receiver.is_closing:
            return
        self.is_head_done = True
        limits = self.source.limits
        if head_size(self.target, self.fields) > limits.header_bytes:
            self.receiver.reject(431, b'the head is too large')
        elif (self.declared_bytes or 0) > limits.body_bytes:
            self.receiver.reject(413, b'the body is too large')
        elif self._expects_answer():
            self.receiver.invite_body()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.receiver.is_closing:
            return
        if self.body.size + len(body) > self.source.limits.body_bytes:
            self.receiver.reject(413, b'the body is too large')
        else:
            self.body.add(body)

    def on_message_complete(self) -> None:
        """Hand over a complete request."""
        if self.parser.should_upgrade():
            # Only the head has been read; it is parsed again.
            return
        self.is_receiving = False
        if self.receiver.is_closing:
            return
        held_bytes = self.held_bytes
        request = Request(
            self.parser.get_method(),
            self.target,
            self.fields,
            self.body.take_all(),
            self.parser.should_keep_alive(),
            self.started_at,
        )
        self._forget()
        if self.on_request is not None:
            self.on_request(request, held_bytes)

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes; raises `HttpParserError`."""
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                head = head_without_offer(
                    self.parser.get_method(), self.target, self.fields
                )
                data = head + bytes(data[offer.args[0] :])
                self.parser = httptools.HttpRequestParser(self)
            else:
                return

    def _count_head(self, count: int) -> None:
        self.head_bytes += count
        if self.head_bytes > self.source.limits.header_bytes:
            self.receiver.reject(*_EXCESS_REJECTIONS[self.is_head_done])

    def _expects_answer(self) -> bool:
        return any(
            name.lower() == b'expect' and text.lower() == b'100-continue'
            for name, text in self.fields
        )

    def _forget(self) -> None:
        self.is_head_done = False
        self.target = b''
        self.fields = []
        self.head_bytes = 0
        self.declared_bytes = None
        self.body.clear()
