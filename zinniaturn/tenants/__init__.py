"""Tenants: whom a request's key belongs to, and what each tenant is allowed."""

from zinniaturn.tenants.table import Tenant, TenantTable

__all__ = ('Tenant', 'TenantTable')
