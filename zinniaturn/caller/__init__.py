"""A caller that follows the caller guide."""

__all__ = ('Caller', 'CallerAnswer', 'CallerError')

from zinniaturn.caller.client import Caller, CallerAnswer
from zinniaturn.caller.exceptions import CallerError
