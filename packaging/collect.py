"""Collect the modules and shared libraries of the one-file binary."""

__all__ = (
    'BuildError',
    'Member',
    'collect_members',
    'find_tool',
    'needed_libraries',
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
# Plots are drawn on the bench machine, where the package is installed.
EXCLUDED_PACKAGES = frozenset(('matplotlib',))
EXTENSION_SUFFIX = '.so'
DATA_SUFFIXES = frozenset(('.pem', '.json', '.yaml'))

_UNUSED_STDLIB_NAMES = frozenset(
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
_LDD_LINE = re.compile(r'^\s*(\S+) => (/\S+)', re.MULTILINE)
_READELF_NEEDED = re.compile(r'\(NEEDED\).*\[(.+)\]')


class BuildError(Exception):
    """The binary cannot be built on this machine."""


@dataclass(frozen=True, slots=True)
class Member:
    """A file to pack and its name in the archive."""

    name: str
    path: Path

    @property
    def module(self) -> str:
        """Return the dotted name of a module or extension module."""
        folder, _, _ = self.name.rpartition('/')
        module_name = Path(self.name).name.partition('.')[0]
        if folder == 'lib-dynload':
            return module_name
        return f'{folder}/{module_name}'.replace('/', '.').removeprefix('.')


def collect_members(project_root: Path) -> list[Member]:
    """Return the modules of the standard library, dependencies and project."""
    members = {
        standard_member.name: standard_member
        for standard_member in _standard_members()
    }
    for distribution in _walk_distributions(project_root):
        for member in _distribution_members(distribution):
            members[member.name] = member
    for path in sorted((project_root / PROJECT).rglob('*')):
        if path.suffix in {'.py', *DATA_SUFFIXES}:
            name = path.relative_to(project_root).as_posix()
            members[name] = Member(name, path)
    return [members[name] for name in sorted(members)]


def needed_libraries(path: Path) -> dict[str, Path]:
    """Return the shared libraries a file needs, without the C library's."""
    library_paths = dict(
        _LDD_LINE.findall(_tool_output(find_tool('ldd'), str(path)))
    )
    direct_names = _READELF_NEEDED.findall(
        _tool_output(find_tool('readelf'), '--dynamic', str(path))
    )
    return {
        name: Path(library_paths[name])
        for name in direct_names
        if _SYSTEM_LIBRARIES.match(name) is None
    }


def find_tool(name: str) -> str:
    """Return the path of a program; raise `BuildError` if it is missing."""
    path = shutil.which(name)
    if path is None:
        raise BuildError(f'program not found: {name}')
    return path


def _standard_members() -> Iterator[Member]:
    stdlib_root = Path(sysconfig.get_path('stdlib'))
    for path in sorted(stdlib_root.rglob('*')):
        relative_path = path.relative_to(stdlib_root)
        if _UNUSED_STDLIB_NAMES.intersection(relative_path.parts):
            continue
        if path.suffix == '.py':
            yield Member(relative_path.as_posix(), path)
        elif path.suffix == EXTENSION_SUFFIX:
            if _UNUSED_EXTENSIONS.match(path.name) is None:
                yield Member(relative_path.as_posix(), path)


def _walk_distributions(project_root: Path) -> Iterator[metadata.Distribution]:
    direct_names = _direct_names(project_root)
    pending_names = list(direct_names)
    visited_names = set(EXCLUDED_PACKAGES)
    while pending_names:
        distribution_name = pending_names.pop()
        normalized_name = re.sub('[-_.]+', '-', distribution_name).lower()
        if normalized_name in visited_names:
            continue
        visited_names.add(normalized_name)
        distribution = _find_distribution(
            distribution_name, is_direct=distribution_name in direct_names
        )
        if distribution is not None:
            yield distribution
            pending_names.extend(_transitive_names(distribution))


def _direct_names(project_root: Path) -> list[str]:
    project = tomllib.loads(
        (project_root / 'pyproject.toml').read_text('utf-8')
    )
    requirements = project['project']['dependencies']
    return [name for text in requirements for name in _required_name(text)]


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
    """Return the package's name without version, as a list of one or none."""
    return _REQUIREMENT.findall(requirement)[:1]


def _distribution_members(
    distribution: metadata.Distribution,
) -> Iterator[Member]:
    for packaged_file in distribution.files or ():
        path = Path(str(packaged_file.locate()))
        if '..' in packaged_file.parts or 'tests' in packaged_file.parts:
            continue
        is_wanted = packaged_file.suffix in {
            '.py',
            EXTENSION_SUFFIX,
            *DATA_SUFFIXES,
        }
        if (is_wanted or packaged_file.name == 'METADATA') and path.is_file():
            yield Member(packaged_file.as_posix(), path)


def _tool_output(*command: str) -> str:
    return subprocess.run(
        command,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
