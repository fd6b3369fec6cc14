"""Clients that keep to no limits, for a gateway process of its own."""

import asyncio
import itertools
from contextlib import suppress
from dataclasses import dataclass, field
from types import MappingProxyType

from features.support.gateway import HOST
from zinniaturn.experiments.soak.vms import VM_PORTS
from zinniaturn.relay.messages import RELAY_PATH

BODY_BYTES = 1_000_000
METRICS_PORT = 7640

_PIECE = b'x' * 1000
_CHUNK = b'1000\r\n%b\r\n' % (b'x' * 4096)
_BLOCK = b'x' * 65_536
# Of the 16,384 bytes of a head, so short that their objects take most room.
_SHORT_FIELDS = b''.join(b'%x:\r\n' % (number % 16) for number in range(3900))
_PIPELINED_FIELDS = b''.join(
    b'%x:y\r\n' % (number % 16) for number in range(200)
)
_BIG_ID = b'big'
_SLOW_SECONDS = 0.05
_STEP_BYTES = 65_536

PLACES = MappingProxyType(
    {
        'posts': (VM_PORTS.front, b'POST', b'/posts/1'),
        'reads': (VM_PORTS.front, b'GET', b'/reads/1'),
        'no route': (VM_PORTS.front, b'POST', b'/nowhere/1'),
        'readiness': (VM_PORTS.readiness, b'GET', b'/readyz'),
        'look-ups': (
            VM_PORTS.directory,
            b'GET',
            b'/resolve?name=%b&region=r&zone=dc-0' % HOST.encode(),
        ),
        'metrics': (METRICS_PORT, b'GET', b'/metrics'),
        'VM states': (VM_PORTS.range_start + 1, b'GET', b'/state?held=0,0,0'),
        'relay': (VM_PORTS.range_start + 1, b'POST', RELAY_PATH),
    }
)


def _head(place, *lines):
    _, method, target = PLACES[place]
    first = b'%b %b HTTP/1.1' % (method, target)
    fields = (
        b'Host: %b' % HOST.encode(),
        b'X-Attempt-Id: crowd',
        b'X-Request-Deadline-Ms: 3000',
    )
    return b'\r\n'.join((first, *fields, *lines, b''))


def _length(count):
    return b'Content-Length: %d' % count


_CHUNKED = b'Transfer-Encoding: chunked\r\n'


def _body_in_one_piece(place):
    body = b'x' * (BODY_BYTES - 1)
    yield b'%b%b' % (_head(place, _length(BODY_BYTES), b''), body)


def _body_in_small_pieces(place):
    yield _head(place, _length(BODY_BYTES), b'')
    yield from itertools.repeat(_PIECE, BODY_BYTES // len(_PIECE) - 1)
    yield _PIECE[1:]


def _body_in_chunks(place):
    yield _head(place, _CHUNKED)
    yield from itertools.repeat(_CHUNK, BODY_BYTES // 4096)


def _one_byte_chunks(place):
    yield _head(place, _CHUNKED)
    yield from itertools.repeat(b'1\r\nx\r\n' * 1000, 150)


def _declared_too_large(place):
    yield _head(place, _length(10**9), b'')
    yield from itertools.repeat(_BLOCK, 100)


def _chunked_too_large(place):
    yield _head(place, _CHUNKED)
    yield from itertools.repeat(_CHUNK, 5000)


def _head_not_ended(place):
    yield b'%b%b' % (_head(place), _SHORT_FIELDS[:16_000])


def _with_short_fields(head):
    """Return a head's bytes with short fields, and 99 bytes of a body."""
    return b'%b%b\r\n%b' % (head, _SHORT_FIELDS[:16_000], b'x' * 99)


def _fields_and_body(place):
    yield _with_short_fields(_head(place, _length(100)))


def _trailers(place):
    yield _head(place, _CHUNKED)
    yield b'%x\r\n%b\r\n0\r\n' % (len(_BLOCK), _BLOCK)
    yield from itertools.repeat(_SHORT_FIELDS, 60)


def _protocol_offer(place):
    offer = b'Connection: Upgrade\r\nUpgrade: h2c'
    yield _with_short_fields(_head(place, offer, _length(100)))


def _many_requests(place):
    one = b'%b%b\r\n' % (_head(place), _PIPELINED_FIELDS)
    yield from itertools.repeat(one * 20, 200)


def _many_posts(place):
    one = b'%b%b' % (_head(place, _length(100_000), b''), b'x' * 100_000)
    yield from itertools.repeat(one, 80)


def _downloads(place):
    yield _head(place, b'X-Body: big', b'') * 20


def _nothing(place):
    yield b''


def _half_a_head(place):
    yield _head(place)[:40]


def _byte_by_byte(place):
    whole = b'%b%b' % (_head(place, _length(100), b''), b'x' * 99)
    return (bytes((byte,)) for byte in whole)


@dataclass(frozen=True)
class Shape:
    """
    What a client sends, as blocks of bytes for a place.

    It waits ``pause_seconds`` before each block, and reads a byte at a time
    if ``is_slow_reader``, else nothing.
    """

    blocks: object
    pause_seconds: float = 0
    is_slow_reader: bool = False


SHAPES = MappingProxyType(
    {
        'send a body in one piece, one byte short': Shape(_body_in_one_piece),
        'send a body in small pieces, one byte short': Shape(
            _body_in_small_pieces
        ),
        'send a body in chunks, without the last': Shape(_body_in_chunks),
        'send a body in chunks of one byte': Shape(_one_byte_chunks),
        'declare a body of 1 GB and send it': Shape(_declared_too_large),
        'send a chunked body without end': Shape(_chunked_too_large),
        'send short fields, head not ended': Shape(_head_not_ended),
        'send short fields, body one byte short': Shape(_fields_and_body),
        'send short trailers without end': Shape(_trailers),
        'offer a protocol, with short fields': Shape(_protocol_offer),
        'send 4000 requests and read nothing': Shape(_many_requests),
        'send 80 posts of 100 KB and read nothing': Shape(_many_posts),
        'ask for 20 downloads of 1 MB and read nothing': Shape(_downloads),
        'send nothing': Shape(_nothing),
        'send half a head': Shape(_half_a_head),
        'send one byte at a time': Shape(_byte_by_byte, _SLOW_SECONDS),
        'read 20 downloads a byte at a time': Shape(_downloads, 0, True),
    }
)
MIXTURE = 'do each of these in turn'


@dataclass
class Crowd:
    """The clients that a scenario has opened, until `close`."""

    host: str
    tasks: list = field(default_factory=list)
    writers: list = field(default_factory=list)

    def open(self, count, name, place):
        """Start the clients; their tasks send until they are done."""
        if name == MIXTURE:
            shapes = list(SHAPES.values())
        else:
            shapes = [SHAPES[name]]
        for _, shape in zip(range(count), itertools.cycle(shapes)):
            self.tasks.append(asyncio.ensure_future(self._run(shape, place)))

    async def close(self):
        """Reset all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _run(self, shape, place):
        # The process refuses and closes such clients, as it may.
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(
                self.host, PLACES[place][0], limit=1
            )
            self.writers.append(writer)
            if not shape.is_slow_reader:
                writer.transport.pause_reading()
            for block in shape.blocks(place):
                await asyncio.sleep(shape.pause_seconds)
                await _write(writer, block)
            while shape.is_slow_reader and await reader.read(1):
                await asyncio.sleep(_SLOW_SECONDS)


async def _write(writer, block):
    """Write a block in steps, so that the client buffers little itself."""
    for start in range(0, len(block), _STEP_BYTES):
        writer.write(block[start : start + _STEP_BYTES])
        await writer.drain()
