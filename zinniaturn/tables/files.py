"""Reads the text of table files."""

__all__ = ('read_table_file',)

import sys
from pathlib import Path

from zinniaturn.tables.exceptions import TableFileError

MAX_FILE_BYTES = 16_777_216
STANDARD_INPUT = '-'


def read_table_file(path: str) -> str:
    """
    Return the text of a table file, or of standard input for ``-``.

    Raises `TableFileError` if the file cannot be read, is over 16 MB or is not
    UTF-8.
    """
    content = _read_bytes(path)
    if len(content) > MAX_FILE_BYTES:
        raise TableFileError(f'{path}: over {MAX_FILE_BYTES} bytes')
    try:
        return content.decode('utf-8')
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        raise TableFileError(f'{path}:{line}: not UTF-8') from error


def _read_bytes(path: str) -> bytes:
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        with Path(path).open('rb') as file:
            return file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise TableFileError(f'{path}: {reason}') from error
