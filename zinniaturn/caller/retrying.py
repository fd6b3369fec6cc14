"""
Retries requests until their outcome is known.

This implements the caller guide. An idempotent request is retried at any
entry. Any other request carries an idempotency key and is retried at the entry
that issued the key or, while that one does not respond, at other entries,
which forward it.
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

from zinniaturn.caller.client import Address, Caller, CallerResponse
from zinniaturn.caller.exceptions import CallerError

_BASE_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
_TRANSIENT_STATUSES = frozenset((502, 503, 504))
_TRANSIENT_CODES = frozenset(
    ('claim-unavailable', 'key-entry-unreachable', 'key-in-flight')
)


@dataclass(frozen=True, slots=True)
class CallOptions:
    """
    A request and its time limits.

    It is retried for at most ``timeout_seconds``. ``attempt_timeout_seconds``
    limits one attempt and ``key_timeout_seconds`` one wait for keys; after
    either, the caller retries.
    """

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    timeout_seconds: float = 30
    attempt_timeout_seconds: float = 10
    key_timeout_seconds: float = 2


async def call_idempotent(
    caller: Caller,
    options: CallOptions,
) -> CallerResponse:
    """
    Return the complete response to a request that may run more than once.

    Raises `CallerError` if there is none in time.
    """
    attempts = _Attempts(caller, options)
    while True:
        response = await attempts.send(await caller.choose_address(), {})
        if response is not None and not _is_transient(response):
            return response
        if not await attempts.back_off(response):
            return attempts.last_response()


async def call_once(caller: Caller, options: CallOptions) -> CallerResponse:
    """
    Return the response to a request that runs at most once.

    The request is sent with idempotency keys that the system issues. A
    response with outcome ``unknown`` or ``run`` is final, since the system has
    no further information. Raises `CallerError` if there is no final response
    in time; the request may have run then.
    """
    attempts = _Attempts(caller, options)
    while True:
        issuer, key = await _acquire_key(caller, attempts)
        response = await _send_with_key(attempts, key, issuer)
        if not _is_rejected(response):
            return response
        if not await attempts.back_off(response):
            return response


async def call_with_key(
    caller: Caller,
    options: CallOptions,
    key: str,
) -> CallerResponse:
    """Do the same as `call_once` with an idempotency key of the caller."""
    attempts = _Attempts(caller, options)
    while True:
        response = await _send_with_key(
            attempts, key, await caller.choose_address()
        )
        if not _is_rejected(response):
            return response
        if not await attempts.back_off(response):
            return response


async def _acquire_key(
    caller: Caller, attempts: '_Attempts'
) -> tuple[Address, str]:
    """Return the issuer of an unused key and the key."""
    while True:
        address = await caller.choose_address()
        try:
            async with asyncio.timeout(attempts.options.key_timeout_seconds):
                return address, await caller.take_key(address)
        except (CallerError, TimeoutError) as error:
            if not await attempts.back_off(None):
                raise CallerError(
                    'no entry issued a key in time', 'no-key'
                ) from error


async def _send_with_key(
    attempts: '_Attempts',
    key: str,
    address: Address,
) -> CallerResponse:
    """
    Send a request with a key until the response is final, and return that.

    *Not run* is final only if no attempt was lost, because a lost attempt may
    still arrive. Raises `CallerError` if there is no final response in time.
    """
    issuer = address
    lost_attempts = 0
    while True:
        response = await attempts.send(address, {'Idempotency-Key': key})
        if response is None:
            lost_attempts += 1
        elif not _is_inconclusive(response, lost_attempts):
            return response
        if not await attempts.back_off(response):
            raise CallerError('no final response was received in time')
        caller = attempts.caller
        address = caller.random_source.choice((*caller.addresses, issuer))


def _is_inconclusive(response: CallerResponse, lost_attempts: int) -> bool:
    return response.code in _TRANSIENT_CODES or (
        lost_attempts > 0 and _is_rejected(response)
    )


def _is_transient(response: CallerResponse) -> bool:
    return bool(response.outcome) and response.status in _TRANSIENT_STATUSES


def _is_rejected(response: CallerResponse) -> bool:
    return (
        response.outcome == 'not-run' and response.status in _TRANSIENT_STATUSES
    )


class _Attempts:
    """The attempts of one request, their backoff and their deadline."""

    def __init__(self, caller: Caller, options: CallOptions) -> None:
        self.caller = caller
        self.options = options
        self.deadline = time.monotonic() + options.timeout_seconds
        self.backoff_count = 0
        self.response: CallerResponse | None = None

    async def send(
        self,
        address: Address,
        extra_headers: Mapping[str, str],
    ) -> CallerResponse | None:
        """Return the response to one attempt, or ``None`` if there is none."""
        options = self.options
        try:
            async with asyncio.timeout(options.attempt_timeout_seconds):
                self.response = await self.caller.send(
                    address,
                    options.method,
                    options.path,
                    {**options.headers, **extra_headers},
                    options.body,
                )
        except (CallerError, TimeoutError):
            return None
        return self.response

    async def back_off(self, response: CallerResponse | None) -> bool:
        """
        Wait before the next attempt; return whether there is time for one.

        The delay is the one that the response asks for, or else a random share
        of an exponential backoff.
        """
        self.backoff_count += 1
        delay_seconds: float = 0
        if response is not None:
            delay_seconds = response.retry_after_seconds
        if not delay_seconds:
            max_backoff = min(
                _MAX_BACKOFF_SECONDS,
                _BASE_BACKOFF_SECONDS * 2**self.backoff_count,
            )
            delay_seconds = max_backoff * self.caller.random_source.random()
        if time.monotonic() + delay_seconds >= self.deadline:
            return False
        await asyncio.sleep(delay_seconds)
        return True

    def last_response(self) -> CallerResponse:
        """Return the last response; raises `CallerError` if there is none."""
        if self.response is None:
            raise CallerError('no complete response was received in time')
        return self.response
