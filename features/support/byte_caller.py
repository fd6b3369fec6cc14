"""A caller that sends raw bytes and parses answers without a library."""

import asyncio
from dataclasses import dataclass


@dataclass
class ByteAnswer:
    """An answer: its status, its unparsed header lines and its body."""

    status: int
    lines: list[str]
    body: bytes

    def values(self, name):
        prefix = f'{name.lower()}:'
        return [
            line[len(prefix) :].strip()
            for line in self.lines
            if line.lower().startswith(prefix)
        ]


class ByteCaller:
    """One connection to an entry."""

    async def open(self, port):
        connection = await asyncio.open_connection(
            '127.0.0.1',
            port,
            limit=1_048_576,
        )
        self.reader = connection[0]
        self.writer = connection[1]

    async def close(self):
        self.writer.transport.abort()
        await asyncio.sleep(0)

    def send(self, text):
        self.writer.write(text)

    async def read_head(self):
        raw = await self.reader.readuntil(b'\r\n\r\n')
        status, *lines = raw.decode('latin-1').strip().split('\r\n')
        return ByteAnswer(int(status.split()[1]), lines, b'')

    async def read_answer(self, bodyless=False):
        answer = await self.read_head()
        if bodyless or answer.status in {100, 204, 304}:
            return answer
        answer.body = await self._read_body(answer)
        return answer

    async def read_to_end(self):
        return await self.reader.read()

    async def _read_body(self, answer):
        if answer.values('Content-Length'):
            length = int(answer.values('Content-Length')[0])
            return await self.reader.readexactly(length)
        if answer.values('Transfer-Encoding') == ['chunked']:
            return await self._read_chunks()
        return await self.reader.read()

    async def _read_chunks(self):
        body = b''
        while True:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if not size:
                return body
