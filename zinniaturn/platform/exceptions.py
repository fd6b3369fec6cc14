"""Errors of the platform's adapter."""

__all__ = ('SettingsFileError',)

from zinniaturn.gateway.exceptions import GatewaySettingsError


class SettingsFileError(GatewaySettingsError):
    """The settings file is missing, truncated or lacks a field."""

    code = 'settings-file-invalid'
