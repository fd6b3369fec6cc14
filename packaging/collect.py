"""What goes into the one-file binary: modules and shared libraries."""

__all__ = (
    'BuildError',
    'Member',
    'collect_members',
    'needed_libraries',
    'tool',
)

import re
import shutil
import subprocess
import sysconfig
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from importlib import metadata
from pathlib import Path

PROJECT = 'zinniaturn'
# Plots are made on the bench machine, from an installed package.
LEFT_OUT = frozenset(('matplotlib',))
EXTENSION_SUFFIX = '.so'
DATA_SUFFIXES = frozenset(('.pem', '.json', '.yaml'))

_UNUSED_STANDARD = frozenset(
    (
        '__pycache__',
        'config-3.11-x86_64-linux-gnu',
        'curses',
        'distutils',
        'ensurepip',
        'idlelib',
        'lib2to3',
        'pydoc_data',
        'site-packages',
        'sqlite3',
        'test',
        'tests',
        'tkinter',
        'turtledemo',
        'venv',
    )
)
_UNUSED_EXTENSIONS = re.compile(
    r'^(_test|xx|_xx|_tkinter|_curses|_sqlite3|nis|ossaudiodev|readline|'
    r'_crypt|_dbm|_gdbm|_ctypes_test)',
)
_SYSTEM_LIBRARIES = re.compile(
    r'^(ld-linux|libc\.so|libm\.so|libdl\.so|libpthread\.so|librt\.so|'
    r'libutil\.so|linux-vdso)',
)
_REQUIREMENT = re.compile(r'^[A-Za-z0-9._-]+')
_LINKED = re.compile(r'^\s*(\S+) => (/\S+)', re.MULTILINE)
_NEEDED = re.compile(r'\(NEEDED\).*\[(.+)\]')


class BuildError(Exception):
    """The binary cannot be built here."""


@dataclass(frozen=True, slots=True)
class Member:
    """A file of the bundle and its name in the archive."""

    name: str
    path: Path

    @property
    def module(self) -> str:
        """Return the module's name, also of an extension module."""
        stem, _, _ = self.name.rpartition('/')
        base = Path(self.name).name.partition('.')[0]
        if stem == 'lib-dynload':
            return base
        return f'{stem}/{base}'.replace('/', '.').removeprefix('.')


def collect_members(root: Path) -> list[Member]:
    """Return the project's, its dependencies' and the standard modules."""
    members = {found.name: found for found in _standard_members()}
    for distribution in _distributions(root):
        for member in _distribution_members(distribution):
            members[member.name] = member
    for path in sorted((root / PROJECT).rglob('*')):
        if path.suffix in {'.py', *DATA_SUFFIXES}:
            name = path.relative_to(root).as_posix()
            members[name] = Member(name, path)
    return [members[name] for name in sorted(members)]


def needed_libraries(path: Path) -> dict[str, Path]:
    """Return the libraries besides the C library's that a file needs."""
    linked = dict(_LINKED.findall(_output(tool('ldd'), str(path))))
    direct = _NEEDED.findall(_output(tool('readelf'), '--dynamic', str(path)))
    return {
        name: Path(linked[name])
        for name in direct
        if _SYSTEM_LIBRARIES.match(name) is None
    }


def tool(name: str) -> str:
    """Return the path of a program; raises `BuildError`."""
    path = shutil.which(name)
    if path is None:
        raise BuildError(f'there is no {name}')
    return path


def _standard_members() -> Iterator[Member]:
    root = Path(sysconfig.get_path('stdlib'))
    for path in sorted(root.rglob('*')):
        relative = path.relative_to(root)
        if _UNUSED_STANDARD.intersection(relative.parts):
            continue
        if path.suffix == '.py':
            yield Member(relative.as_posix(), path)
        elif path.suffix == EXTENSION_SUFFIX:
            if _UNUSED_EXTENSIONS.match(path.name) is None:
                yield Member(relative.as_posix(), path)


def _distributions(root: Path) -> Iterator[metadata.Distribution]:
    direct = _direct_names(root)
    waiting = list(direct)
    seen = set(LEFT_OUT)
    while waiting:
        current = waiting.pop()
        normal = re.sub('[-_.]+', '-', current).lower()
        if normal in seen:
            continue
        seen.add(normal)
        distribution = _find_distribution(current, is_direct=current in direct)
        if distribution is not None:
            yield distribution
            waiting.extend(_transitive_names(distribution))


def _direct_names(root: Path) -> list[str]:
    project = tomllib.loads((root / 'pyproject.toml').read_text('utf-8'))
    stated = project['project']['dependencies']
    return [name for text in stated for name in _required_name(text)]


def _transitive_names(distribution: metadata.Distribution) -> list[str]:
    return [
        name
        for requirement in distribution.requires or ()
        if 'extra ==' not in requirement
        for name in _required_name(requirement)
    ]


def _find_distribution(
    name: str,
    is_direct: bool,
) -> metadata.Distribution | None:
    try:
        return metadata.distribution(name)
    except metadata.PackageNotFoundError as error:
        if is_direct:
            raise BuildError(f'{name} is not installed') from error
        return None


def _required_name(requirement: str) -> list[str]:
    """Return the package's name without its versions, in a list."""
    return _REQUIREMENT.findall(requirement)[:1]


def _distribution_members(
    distribution: metadata.Distribution,
) -> Iterator[Member]:
    for file in distribution.files or ():
        path = Path(str(file.locate()))
        if '..' in file.parts or 'tests' in file.parts:
            continue
        is_wanted = file.suffix in {'.py', EXTENSION_SUFFIX, *DATA_SUFFIXES}
        if (is_wanted or file.name == 'METADATA') and path.is_file():
            yield Member(file.as_posix(), path)


def _output(*command: str) -> str:
    return subprocess.run(
        command,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
