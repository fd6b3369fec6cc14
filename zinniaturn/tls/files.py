"""Reads a certificate, its key and its authority from files and checks them."""

__all__ = ('KeyFiles', 'KeyPair', 'read_key_pair')

from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)

from zinniaturn.tls.exceptions import TlsError


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """
    Paths of PEM files.

    ``authority`` has the CA certificates that the peer's certificate is
    verified against; it is empty if the peer needs no certificate.
    """

    certificate: str
    key: str
    authority: str = ''

    def paths(self) -> tuple[str, ...]:
        """Return the paths that are set."""
        return tuple(
            path
            for path in (self.certificate, self.key, self.authority)
            if path
        )


@dataclass(frozen=True, slots=True)
class KeyPair:
    """A checked certificate and key in PEM; ``repr`` leaves out the key."""

    certificate: bytes
    key: bytes = field(repr=False)
    authority: bytes
    expires: datetime


def read_key_pair(files: KeyFiles, now: datetime | None = None) -> KeyPair:
    """
    Return the key pair in the files.

    Raises `TlsError` with the code ``tls-unreadable``, ``tls-malformed``,
    ``tls-mismatch``, ``tls-expired`` or ``tls-not-yet-valid``.
    """
    certificate_pem = _read(files.certificate)
    key_pem = _read(files.key)
    authority_pem = _read(files.authority) if files.authority else b''
    certificate = _parse_certificate(certificate_pem, files.certificate)
    _check_key(certificate, key_pem, files)
    if files.authority:
        _parse_certificate(authority_pem, files.authority)
    _check_validity_period(
        certificate, files.certificate, now or datetime.now(UTC)
    )
    return KeyPair(
        certificate_pem,
        key_pem,
        authority_pem,
        certificate.not_valid_after_utc,
    )


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise TlsError(f'{path}: {error.strerror}') from error


def _parse_certificate(pem: bytes, path: str) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificates(pem)[0]
    except ValueError as error:
        raise TlsError(
            f'{path}: has no PEM certificate',
            'tls-malformed',
        ) from error


def _check_key(
    certificate: x509.Certificate,
    key_pem: bytes,
    files: KeyFiles,
) -> None:
    try:
        key = load_pem_private_key(key_pem, password=None)
    except (TypeError, ValueError) as error:
        raise TlsError(
            f'{files.key}: has no unencrypted PEM private key',
            'tls-malformed',
        ) from error
    encoding = (Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    public_key = key.public_key().public_bytes(*encoding)
    if public_key != certificate.public_key().public_bytes(*encoding):
        raise TlsError(
            f'{files.key}: is not the key of {files.certificate}',
            'tls-mismatch',
        )


def _check_validity_period(
    certificate: x509.Certificate,
    path: str,
    now: datetime,
) -> None:
    if now >= certificate.not_valid_after_utc:
        raise TlsError(
            f'{path}: expired at {certificate.not_valid_after_utc}',
            'tls-expired',
        )
    if now < certificate.not_valid_before_utc:
        raise TlsError(
            f'{path}: is valid only from {certificate.not_valid_before_utc}',
            'tls-not-yet-valid',
        )
