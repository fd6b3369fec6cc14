"""Defines field types that several settings share."""

__all__ = ('IpAddress', 'StoreUrl', 'VmListUrl', 'check_store_url')

import ipaddress
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

_SCHEMES = frozenset(('http', 'https'))


def normalize_ip_address(text: str) -> str:
    """
    Return an IP address in canonical form; raises `ValueError` if invalid.

    >>> normalize_ip_address('::0001')
    '::1'
    """
    return str(ipaddress.ip_address(text))


def check_store_url(text: str) -> str:
    """
    Return a URL of the store without trailing slashes.

    Raises `ValueError` unless it is an ``http`` or ``https`` URL with a host
    and without query, fragment and user name.
    """
    parts = urlsplit(text)
    if parts.scheme not in _SCHEMES or not parts.hostname:
        raise ValueError('not http://ADDRESS:PORT')
    if parts.port == 0:
        raise ValueError('the port is 0')
    if parts.query or parts.fragment or parts.username is not None:
        raise ValueError('has parts other than an address and a path')
    if not text.isprintable() or ' ' in text:
        raise ValueError('contains spaces or control characters')
    return text.rstrip('/')


def _check_optional_url(text: str) -> str:
    return check_store_url(text) if text else ''


IpAddress = Annotated[
    str,
    AfterValidator(normalize_ip_address),
    Field(json_schema_extra={'allowed': 'an IP address'}),
]
StoreUrl = Annotated[
    str,
    AfterValidator(check_store_url),
    Field(json_schema_extra={'allowed': 'http://ADDRESS:PORT or https'}),
]
VmListUrl = Annotated[
    str,
    AfterValidator(_check_optional_url),
    Field(json_schema_extra={'allowed': 'http://ADDRESS:PORT or https'}),
]
