"""Errors of the settings package."""

__all__ = ('SettingsError',)

from zinniaturn.errors import CodedError


class SettingsError(CodedError):
    """At least one setting is missing or invalid."""

    code = 'setting-invalid'
