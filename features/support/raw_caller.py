"""A caller that writes its request byte by byte and sees every byte back."""

import asyncio
from dataclasses import dataclass


@dataclass
class RawAnswer:
    """An answer; ``is_whole`` is false where it was cut short."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def outcome(self):
        return self.headers.get('zinniaturn-outcome', '')

    @property
    def code(self):
        return self.headers.get('zinniaturn-code', '')


NOTHING = RawAnswer(0, {}, b'', is_whole=False)


class RawCaller:
    """One connection to an entry; `send` bytes, then `receive` an answer."""

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1',
            port,
        )

    async def close(self):
        self.writer.close()

    def send(self, content):
        self.writer.write(content)

    async def receive(self):
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
        except (OSError, asyncio.IncompleteReadError):
            return NOTHING
        first, *rows = head.decode('latin-1').rstrip().split('\r\n')
        headers = {
            name.lower(): text.strip()
            for name, _, text in (row.partition(':') for row in rows)
        }
        body, is_whole = await self.read_body(headers)
        return RawAnswer(int(first.split(' ')[1]), headers, body, is_whole)

    async def read_body(self, headers):
        body = b''
        try:
            if 'content-length' in headers:
                length = int(headers['content-length'])
                while len(body) < length:
                    chunk = await self.reader.read(length - len(body))
                    if not chunk:
                        return body, False
                    body += chunk
                return body, True
            while True:
                size = int(await self.reader.readline() or b'x', 16)
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                if not size:
                    return body, True
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return body, False


def head(method, path, request_id, **headers):
    rows = [f'{method} {path} HTTP/1.1', 'Host: entry']
    rows.append(f'X-Request-Id: {request_id}')
    rows.extend(
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    )
    return ('\r\n'.join(rows) + '\r\n\r\n').encode()
