"""
Keys that the system issues.

A key names the entry process that issued it, by address and by a random number
drawn at its start, and the time of issue on that process's own clock. No other
process ever runs it, so that no store and no lease are needed. A code over the
fields keeps callers from making up keys.

References
----------
.. [1] J.-P. Aumasson, S. Neves, Z. Wilcox-O'Hearn and C. Winnerlein, "BLAKE2:
   simpler, smaller, fast as MD5", 2013.

"""

__all__ = ('IssuedKey', 'KeyIssuer', 'is_issued_key')

import base64
import hashlib
import hmac
import itertools
import secrets
import struct
from dataclasses import dataclass

from zinniaturn.clock import Clock
from zinniaturn.idempotency.exceptions import UnreadableKeyError

ISSUED_KEY_PREFIX = 'zk1.'

_BOOT_BYTES = 8
_CODE_BYTES = 12
_FIELDS = struct.Struct(f'>{_BOOT_BYTES}sQIH')
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """
    What a key says: its issuer's address and start, and its own issue time.

    ``issued_at`` is in seconds of the issuer's monotonic clock.
    """

    host: str
    port: int
    boot: bytes
    issued_at: float
    serial: int


def is_issued_key(text: str) -> bool:
    """Return whether a key looks like one of the system's own."""
    return text.startswith(ISSUED_KEY_PREFIX)


class KeyIssuer:
    """
    Issues and reads keys.

    ``secret`` is shared by all entries; without one a process can read its own
    keys only. ``boot`` is drawn anew for every process.
    """

    def __init__(self, secret: bytes, clock: Clock) -> None:
        self.secret = hashlib.blake2b(
            secret or secrets.token_bytes(),
            digest_size=hashlib.blake2b.MAX_KEY_SIZE,
        ).digest()
        self.clock = clock
        self.boot = secrets.token_bytes(_BOOT_BYTES)
        self.serials = itertools.count(1)

    def issue(self, host: str, port: int) -> str:
        """Return a new key for the process that listens on this address."""
        fields = _FIELDS.pack(
            self.boot,
            int(self.clock.monotonic() * _MILLISECONDS),
            next(self.serials),
            port,
        )
        payload = fields + host.encode()
        token = base64.urlsafe_b64encode(self._code(payload) + payload)
        return ISSUED_KEY_PREFIX + token.decode().rstrip('=')

    def read(self, text: str) -> IssuedKey:
        """Return what an issued key says; raises `UnreadableKeyError`."""
        token = text.removeprefix(ISSUED_KEY_PREFIX)
        padding = '=' * (-len(token) % 4)
        try:
            raw = base64.b64decode(token + padding, b'-_', validate=True)
        except ValueError as error:
            raise UnreadableKeyError('the key is malformed') from error
        code, payload = raw[:_CODE_BYTES], raw[_CODE_BYTES:]
        if not hmac.compare_digest(code, self._code(payload)):
            raise UnreadableKeyError('the code of the key does not fit')
        boot, issued_ms, serial, port = _FIELDS.unpack_from(payload)
        return IssuedKey(
            host=payload[_FIELDS.size :].decode(),
            port=port,
            boot=boot,
            issued_at=issued_ms / _MILLISECONDS,
            serial=serial,
        )

    def is_own(self, key: IssuedKey) -> bool:
        """Return whether this very process issued the key."""
        return key.boot == self.boot

    def _code(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload,
            key=self.secret,
            digest_size=_CODE_BYTES,
        ).digest()
