"""
The directory of members in the store.

There is one key for each data centre, which lives by its reporter's lease, and
one that names the data centres.
"""

__all__ = (
    'DATA_CENTERS_KEY',
    'Directory',
    'add_data_center',
    'decode_directory',
    'directory_key',
    'encode_directory',
    'read_directories',
)

from dataclasses import dataclass

import msgspec

from zinniaturn.membership.domain import Member
from zinniaturn.membership.exceptions import DirectoryError
from zinniaturn.store import ConfigurationStore, VersionedValue

DATA_CENTERS_KEY = 'zinniaturn/data-centers'

_DEFAULT = 'default'


@dataclass(frozen=True, slots=True)
class Directory:
    """The members of a data centre as its reporter saw them."""

    data_center: str
    reporter: str
    fencing: int
    members: tuple[Member, ...]


def directory_key(data_center: str) -> str:
    """Return the key of a data centre's directory."""
    return f'zinniaturn/members/{data_center or _DEFAULT}'


def encode_directory(directory: Directory) -> str:
    """Return the directory as JSON text."""
    return msgspec.json.encode(directory).decode()


def decode_directory(entry: VersionedValue) -> Directory | None:
    """Return the directory in a key; raises `DirectoryError`."""
    if not entry.version:
        return None
    try:
        return msgspec.json.decode(entry.value, type=Directory)
    except msgspec.DecodeError as error:
        raise DirectoryError(str(error)) from error


async def read_directories(
    store: ConfigurationStore,
) -> tuple[Directory, ...]:
    """Return the directories of all data centres; raises store errors."""
    found = []
    names = _decode_names(await store.read(DATA_CENTERS_KEY))
    for name in names:
        directory = decode_directory(await store.read(directory_key(name)))
        if directory is not None:
            found.append(directory)
    return tuple(found)


async def add_data_center(store: ConfigurationStore, name: str) -> None:
    """Name a data centre; raises `StoreConflictError` if others do too."""
    entry = await store.read(DATA_CENTERS_KEY)
    names = _decode_names(entry)
    if name not in names:
        await store.compare_and_swap(
            DATA_CENTERS_KEY,
            entry.version,
            msgspec.json.encode([*names, name]).decode(),
        )


def _decode_names(entry: VersionedValue) -> tuple[str, ...]:
    if not entry.version:
        return ()
    try:
        return msgspec.json.decode(entry.value, type=tuple[str, ...])
    except msgspec.DecodeError as error:
        raise DirectoryError(str(error)) from error
