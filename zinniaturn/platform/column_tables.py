"""The tables of the operators' document: column names, and rows of cells."""

__all__ = ('ColumnTable', 'Priority', 'Rate', 'decode_row', 'decode_rows')

from typing import Annotated, Any, TypeVar

import msgspec

Priority = Annotated[int, msgspec.Meta(ge=-(10**6), le=10**6)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=10**9)]

Row = TypeVar('Row', bound=msgspec.Struct)


class ColumnTable(msgspec.Struct):
    """Column names, and rows that hold a value for each column."""

    columns: list[str]
    rows: list[list[Any]]


def decode_rows(table: ColumnTable, row_type: type[Row]) -> list[Row]:
    """Return the rows as structs; raises `ValueError`."""
    return [decode_row(table, row, row_type) for row in table.rows]


def decode_row(table: ColumnTable, row: list[Any], row_type: type[Row]) -> Row:
    """
    Return a row as a struct; a null cell takes the field's default.

    Raises `ValueError`, whose text holds no cell.
    """
    if len(row) != len(table.columns):
        raise ValueError(
            f'the row has {len(row)} cells for {len(table.columns)} columns'
        )
    return msgspec.convert(
        {
            name: cell
            for name, cell in zip(table.columns, row, strict=True)
            if cell is not None
        },
        row_type,
    )
