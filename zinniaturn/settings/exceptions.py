"""Errors of the settings."""

__all__ = ('SettingsError',)

from zinniaturn.errors import CodedError


class SettingsError(CodedError):
    """A setting is not acceptable."""

    code = 'setting-invalid'
