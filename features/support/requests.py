"""Raw requests and the results that a caller gets."""

import asyncio
from dataclasses import dataclass

from features.support.byte_caller import ByteCaller
from features.support.time_limits import time_limit


@dataclass
class RequestResult:
    """The result of a request; an answer that was cut has status 0."""

    status: int = 0
    body: bytes = b''
    outcome: str = ''
    code: str = ''


def head(method, path, request_id, **headers):
    rows = [
        f'{method} {path} HTTP/1.1',
        'Host: entry',
        f'X-Request-Id: {request_id}',
    ]
    for name, text in headers.items():
        dashed = name.replace('_', '-')
        rows.append(f'{dashed}: {text}')
    return '\r\n'.join((*rows, '', '')).encode()


async def receive(caller: ByteCaller):
    """Return the result of the request, also if the answer was cut."""
    try:
        async with time_limit(10):
            answer = await caller.read_answer()
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return RequestResult()
    return RequestResult(
        answer.status,
        answer.body,
        ''.join(answer.values('Zinniaturn-Outcome')),
        ''.join(answer.values('Zinniaturn-Code')),
    )
