"""
Reads the tenants of the operators' document, for VMs and for a check before.

Both read a row by the same functions. A VM refuses a document at the first
fault; a check goes on, and also tells what a VM ignores. No text holds a key.
"""

__all__ = (
    'TenantCheck',
    'TenantProblem',
    'TenantRow',
    'build_tenants',
    'check_tenants',
)

from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from zinniaturn.platform.column_tables import (
    ColumnTable,
    Priority,
    Rate,
    decode_row,
)
from zinniaturn.tenants import Tenant, TenantTable

# What a header field can hold: no control characters, no space at either end.
HeaderText = Annotated[
    str,
    msgspec.Meta(
        max_length=1024,
        pattern=r'^(?!\s)[^\x00-\x1f\x7f]+(?<!\s)\Z',
    ),
]


class TenantRow(msgspec.Struct):
    """A tenant; its keys are secret."""

    name: HeaderText
    api_keys: list[HeaderText] = []
    # Replaces the route's.
    priority: Priority | None = None
    # The allowance over all VMs; 0 means that there is none.
    rate_per_s: Rate = 0
    burst: Rate = 0


class TenantProblem(msgspec.Struct):
    """
    A fault of a document's tenants.

    ``row`` counts from 1 and is 0 for a fault of the table. With ``is_refused``
    VMs refuse the whole document for it, else they ignore what is wrong.
    """

    row: int
    text: str
    is_refused: bool


@dataclass(slots=True)
class TenantCheck:
    """What a check has found: the readable tenants, their keys, the faults."""

    tenants: int = 0
    keys: int = 0
    problems: list[TenantProblem] = field(default_factory=list)

    @property
    def is_accepted(self) -> bool:
        """Return whether VMs accept the tenants."""
        return not any(problem.is_refused for problem in self.problems)


@dataclass(slots=True)
class _TenantReader:
    """The tenants that have been read so far."""

    by_key: dict[bytes, Tenant] = field(default_factory=dict)
    names: set[str] = field(default_factory=set)
    without_keys: list[Tenant] = field(default_factory=list)

    def add(self, row: TenantRow) -> None:
        """Add a tenant; raises `ValueError` if it contradicts another one."""
        if row.name in self.names:
            raise ValueError(f'there are two tenants "{row.name}"')
        self.names.add(row.name)
        tenant = Tenant(row.name, row.priority, row.rate_per_s, row.burst)
        if not row.api_keys:
            self.without_keys.append(tenant)
        for key in row.api_keys:
            if self.by_key.setdefault(key.encode(), tenant) is not tenant:
                raise ValueError(f'tenant "{row.name}" has a key of another')


def build_tenants(table: ColumnTable | None) -> TenantTable | None:
    """Return the tenants; raises `ValueError` at the first fault."""
    if table is None:
        return None
    reader = _TenantReader()
    for row in table.rows:
        reader.add(decode_row(table, row, TenantRow))
    return TenantTable(reader.by_key, tuple(reader.without_keys))


def check_tenants(table: ColumnTable) -> TenantCheck:
    """Return all faults of the tenants, in the order of the rows."""
    check = TenantCheck(problems=_column_problems(table))
    reader = _TenantReader()
    for number, cells in enumerate(table.rows, 1):
        try:
            row = decode_row(table, cells, TenantRow)
            reader.add(row)
        except ValueError as error:
            check.problems.append(TenantProblem(number, str(error), True))
            continue
        check.tenants += 1
        repeated = len(row.api_keys) - len(set(row.api_keys))
        if repeated:
            text = f'tenant "{row.name}" has {repeated} of its keys twice'
            check.problems.append(TenantProblem(number, text, False))
    check.keys = len(reader.by_key)
    return check


def _column_problems(table: ColumnTable) -> list[TenantProblem]:
    """Return which columns VMs ignore; their names are not repeated."""
    known = TenantRow.__struct_fields__
    problems = []
    for position, column in enumerate(table.columns):
        text = ''
        if column not in known:
            text = f'is unknown; known are {", ".join(known)}'
        elif column in table.columns[:position]:
            text = f'is a second "{column}", and the last one counts'
        if text:
            text = f'column {position + 1} {text}'
            problems.append(TenantProblem(0, text, False))
    return problems
