"""Implements a caller that follows the caller guide."""

__all__ = (
    'CallOptions',
    'Caller',
    'CallerError',
    'CallerResponse',
    'call_idempotent',
    'call_once',
    'call_with_key',
)

from zinniaturn.caller.client import Caller, CallerResponse
from zinniaturn.caller.exceptions import CallerError
from zinniaturn.caller.retrying import (
    CallOptions,
    call_idempotent,
    call_once,
    call_with_key,
)
