"""
Requests that are repeated until the caller knows what became of them.

This is the caller guide as code: an idempotent request is repeated at any
entry; any other has a key, which is repeated at the entry that issued it and,
while that does not answer, at others, which pass it on.
"""

__all__ = (
    'CallOptions',
    'call_idempotent',
    'call_once',
    'call_with_key',
)

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaturn.caller.client import Address, Caller, CallerAnswer
from zinniaturn.caller.exceptions import CallerError

_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 1.0
_PASSING_STATUSES = frozenset((502, 503, 504))
_PASSING_CODES = frozenset(
    ('claim-unavailable', 'key-entry-unreachable', 'key-in-flight')
)


@dataclass(frozen=True, slots=True)
class CallOptions:
    """
    A request.

    It is repeated for at most ``patience_seconds``. ``try_seconds`` bounds one
    try, after which the caller asks again; ``key_seconds`` bounds one wait for
    keys.
    """

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    patience_seconds: float = 30
    try_seconds: float = 10
    key_seconds: float = 2


async def call_idempotent(
    caller: Caller,
    options: CallOptions,
) -> CallerAnswer:
    """
    Return the whole answer to a request that may run more than once.

    Raises `CallerError` where there is none in time.
    """
    tries = _Tries(caller, options)
    while True:
        answer = await tries.send(await caller.choose_address(), {})
        if answer is not None and not _is_passing(answer):
            return answer
        if not await tries.pause(answer):
            return tries.last_answer()


async def call_once(caller: Caller, options: CallOptions) -> CallerAnswer:
    """
    Return the answer to a request that runs at most once.

    It goes under keys that the system issues. An answer with outcome
    ``unknown`` or ``run`` is final: the system cannot say more. Raises
    `CallerError` where no answer at all came in time; the request may have run
    then.
    """
    tries = _Tries(caller, options)
    while True:
        issuer, key = await _fresh_key(caller, tries)
        answer = await _repeat_key(tries, key, issuer)
        if not _is_refused(answer):
            return answer
        if not await tries.pause(answer):
            return answer


async def call_with_key(
    caller: Caller,
    options: CallOptions,
    key: str,
) -> CallerAnswer:
    """Return the answer under a key of the caller's own, as `call_once`."""
    tries = _Tries(caller, options)
    while True:
        answer = await _repeat_key(tries, key, await caller.choose_address())
        if not _is_refused(answer):
            return answer
        if not await tries.pause(answer):
            return answer


async def _fresh_key(caller: Caller, tries: '_Tries') -> tuple[Address, str]:
    """Return a key and its issuer; nothing was sent under it so far."""
    while True:
        address = await caller.choose_address()
        try:
            async with asyncio.timeout(tries.options.key_seconds):
                return address, await caller.take_key(address)
        except (CallerError, TimeoutError) as error:
            if not await tries.pause(None):
                raise CallerError('no key was to be had', 'no-key') from error


async def _repeat_key(
    tries: '_Tries',
    key: str,
    address: Address,
) -> CallerAnswer:
    """
    Return the last word on a key.

    *Not run* is the last word only if no try was lost on its way: such a try
    may still arrive. Raises `CallerError` where there is no last word in time.
    """
    issuer = address
    lost = 0
    while True:
        answer = await tries.send(address, {'Idempotency-Key': key})
        if answer is None:
            lost += 1
        elif not _is_open(answer, lost):
            return answer
        if not await tries.pause(answer):
            raise CallerError('there was no last word in time')
        caller = tries.caller
        address = caller.source.choice((*caller.addresses, issuer))


def _is_open(answer: CallerAnswer, lost: int) -> bool:
    return answer.code in _PASSING_CODES or (lost > 0 and _is_refused(answer))


def _is_passing(answer: CallerAnswer) -> bool:
    return bool(answer.outcome) and answer.status in _PASSING_STATUSES


def _is_refused(answer: CallerAnswer) -> bool:
    return answer.outcome == 'not-run' and answer.status in _PASSING_STATUSES


class _Tries:
    """The tries of one request, and how long to go on."""

    def __init__(self, caller: Caller, options: CallOptions) -> None:
        self.caller = caller
        self.options = options
        self.ends_at = time.monotonic() + options.patience_seconds
        self.pauses = 0
        self.answer: CallerAnswer | None = None

    async def send(
        self,
        address: Address,
        more: Mapping[str, str],
    ) -> CallerAnswer | None:
        """Return the answer of one try, or nothing where none came."""
        options = self.options
        try:
            async with asyncio.timeout(options.try_seconds):
                self.answer = await self.caller.send(
                    address,
                    options.method,
                    options.path,
                    {**options.headers, **more},
                    options.body,
                )
        except (CallerError, TimeoutError):
            return None
        return self.answer

    async def pause(self, answer: CallerAnswer | None) -> bool:
        """Wait as long as was asked for; return whether patience is left."""
        self.pauses += 1
        seconds: float = 0
        if answer is not None:
            seconds = answer.retry_after_seconds
        if not seconds:
            longest = min(_MAX_PAUSE_SECONDS, _PAUSE_SECONDS * 2**self.pauses)
            seconds = longest * self.caller.source.random()
        if time.monotonic() + seconds >= self.ends_at:
            return False
        await asyncio.sleep(seconds)
        return True

    def last_answer(self) -> CallerAnswer:
        """Return the last answer; raises `CallerError` where none came."""
        if self.answer is None:
            raise CallerError('no whole answer came in time')
        return self.answer
