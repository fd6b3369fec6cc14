"""
Idempotency keys that the system issues.

A key contains the address of the entry process that issued it, a random number
drawn at the start of this process, and the time of issue by its own clock. No
other process ever runs the key's request, so neither a store nor a lease is
needed. A message authentication code over the fields prevents forged keys.

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

_BOOT_ID_BYTES = 8
_MAC_BYTES = 12
_PACKED_FIELDS = struct.Struct(f'>{_BOOT_ID_BYTES}sQIH')
_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """
    The fields of an issued key.

    ``host`` and ``port`` are the issuer's address, and ``boot`` is the random
    number drawn at its start. ``issued_at`` is in seconds of the issuer's
    monotonic clock.
    """

    host: str
    port: int
    boot: bytes
    issued_at: float
    serial: int


def is_issued_key(text: str) -> bool:
    """Return whether a key has the prefix of issued keys."""
    return text.startswith(ISSUED_KEY_PREFIX)


class KeyIssuer:
    """
    Issues keys and decodes them.

    ``secret`` is shared by all entries; if it is empty, a process can only
    decode its own keys. ``boot`` is drawn at random for each process.
    """

    def __init__(self, secret: bytes, clock: Clock) -> None:
        self.secret = hashlib.blake2b(
            secret or secrets.token_bytes(),
            digest_size=hashlib.blake2b.MAX_KEY_SIZE,
        ).digest()
        self.clock = clock
        self.boot = secrets.token_bytes(_BOOT_ID_BYTES)
        self.serial_numbers = itertools.count(1)

    def issue(self, host: str, port: int) -> str:
        """Return a new key for the process that listens on this address."""
        fields = _PACKED_FIELDS.pack(
            self.boot,
            int(self.clock.monotonic() * _MILLISECONDS_PER_SECOND),
            next(self.serial_numbers),
            port,
        )
        payload = fields + host.encode()
        token = base64.urlsafe_b64encode(self._mac(payload) + payload)
        return ISSUED_KEY_PREFIX + token.decode().rstrip('=')

    def read(self, text: str) -> IssuedKey:
        """Return the fields of an issued key; raises `UnreadableKeyError`."""
        token = text.removeprefix(ISSUED_KEY_PREFIX)
        padding = '=' * (-len(token) % 4)
        try:
            raw = base64.b64decode(token + padding, b'-_', validate=True)
        except ValueError as error:
            raise UnreadableKeyError('the key is malformed') from error
        mac, payload = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise UnreadableKeyError('the code of the key does not fit')
        boot, issued_ms, serial, port = _PACKED_FIELDS.unpack_from(payload)
        return IssuedKey(
            host=payload[_PACKED_FIELDS.size :].decode(),
            port=port,
            boot=boot,
            issued_at=issued_ms / _MILLISECONDS_PER_SECOND,
            serial=serial,
        )

    def is_own(self, key: IssuedKey) -> bool:
        """Return whether this process issued the key."""
        return key.boot == self.boot

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload,
            key=self.secret,
            digest_size=_MAC_BYTES,
        ).digest()
