"""Validates the settings given by flags and environment variables."""

__all__ = (
    'EntrySettings',
    'SettingsError',
    'check_settings',
    'check_store_url',
)

from zinniaturn.settings.checking import check_settings
from zinniaturn.settings.exceptions import SettingsError
from zinniaturn.settings.fields import check_store_url
from zinniaturn.settings.models import EntrySettings
