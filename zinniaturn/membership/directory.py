"""
Reads and writes the directories of members in the store.

Each data centre has one key, bound to the lease of its reporter, so the store
deletes it when the lease expires. A further key lists the data centres.
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

_DEFAULT_DATA_CENTER = 'default'


@dataclass(frozen=True, slots=True)
class Directory:
    """The members of a data centre as seen by its reporter."""

    data_center: str
    reporter: str
    fencing: int
    members: tuple[Member, ...]


def directory_key(data_center: str) -> str:
    """Return the store key of a data centre's directory."""
    return f'zinniaturn/members/{data_center or _DEFAULT_DATA_CENTER}'


def encode_directory(directory: Directory) -> str:
    """Return the directory as JSON text."""
    return msgspec.json.encode(directory).decode()


def decode_directory(stored: VersionedValue) -> Directory | None:
    """
    Return the stored directory, or ``None`` if the key does not exist.

    Raises `DirectoryError` if the value cannot be decoded.
    """
    if not stored.version:
        return None
    try:
        return msgspec.json.decode(stored.value, type=Directory)
    except msgspec.DecodeError as error:
        raise DirectoryError(str(error)) from error


async def read_directories(
    store: ConfigurationStore,
) -> tuple[Directory, ...]:
    """Return the directories of all data centres; raises store errors."""
    directories = []
    names = _decode_names(await store.read(DATA_CENTERS_KEY))
    for name in names:
        directory = decode_directory(await store.read(directory_key(name)))
        if directory is not None:
            directories.append(directory)
    return tuple(directories)


async def add_data_center(store: ConfigurationStore, name: str) -> None:
    """
    Add a data centre to the list of data centres.

    Raises `StoreConflictError` if another entry changes the list at the same
    time.
    """
    stored = await store.read(DATA_CENTERS_KEY)
    names = _decode_names(stored)
    if name not in names:
        await store.compare_and_swap(
            DATA_CENTERS_KEY,
            stored.version,
            msgspec.json.encode([*names, name]).decode(),
        )


def _decode_names(stored: VersionedValue) -> tuple[str, ...]:
    if not stored.version:
        return ()
    try:
        return msgspec.json.decode(stored.value, type=tuple[str, ...])
    except msgspec.DecodeError as error:
        raise DirectoryError(str(error)) from error
