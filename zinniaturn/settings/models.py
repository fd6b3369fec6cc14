"""Validated models of the settings."""

__all__ = ('EntrySettings',)

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class EntrySettings(BaseModel):
    """
    Settings of ``zinniaturn entry``.

    Addresses are IP numbers. Times are in seconds unless the name says
    otherwise.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: str = Field(pattern='^[a-z0-9][a-z0-9.-]{0,61}$')
    data_center: str = Field(default='', max_length=63)
    host: str = Field(default='127.0.0.1', min_length=1)
    port: int = Field(default=8080, ge=0, le=65_535)
    admin_host: str = Field(default='127.0.0.1', min_length=1)
    admin_port: int = Field(default=8081, ge=0, le=65_535)
    store_url: str = Field(pattern='^https?://')
    policy: str = 'estimated-wait'
    address_lifetime_seconds: float = Field(default=5, gt=0, le=3600)
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    event_loop: Literal['uvloop', 'asyncio'] = 'uvloop'
    seed: int | None = None
