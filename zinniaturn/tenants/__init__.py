"""Tenants: whom a request's key belongs to, and what each tenant is allowed."""

from zinniaturn.tenants.revocation import KeyRuling, RevocationRule, Standing
from zinniaturn.tenants.table import Tenant, TenantTable

__all__ = (
    'KeyRuling',
    'RevocationRule',
    'Standing',
    'Tenant',
    'TenantTable',
)
