"""
Builds the one-file binary: ``python packaging/build.py OUTPUT``.

It needs a C compiler, ``ldd``, ``readelf``, ``strip`` and an interpreter that
has its static library and headers.
"""

__all__ = ('main',)

import io
import json
import subprocess
import sys
import sysconfig
import tempfile
import zipfile
from importlib import _bootstrap_external, util
from pathlib import Path, PurePosixPath

from collect import (
    EXTENSION_SUFFIX,
    BuildError,
    Member,
    collect_members,
    needed_libraries,
    tool,
)

HERE = Path(__file__).parent
EPOCH = (1980, 1, 1, 0, 0, 0)
LOADER = 'bundle_loader.py'
MANIFEST = 'bundle.json'


def main(output: Path) -> None:
    """Write the binary to ``output``."""
    members = collect_members(HERE.parent)
    members.append(Member(LOADER, HERE / LOADER))
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        work = Path(folder)
        launcher = work / 'launcher'
        _compile_launcher(launcher)
        archive = _make_archive(members, work)
        output.write_bytes(launcher.read_bytes() + archive)
    output.chmod(0o755)
    print(f'{output}: {output.stat().st_size} bytes, {len(members)} members')


def _compile_launcher(launcher: Path) -> None:
    library = Path(sysconfig.get_config_var('LIBPL')) / 'libpython3.11.a'
    if not library.is_file():
        raise BuildError(f'the interpreter has no {library.name}')
    subprocess.run(
        [
            tool('cc'),
            '-O2',
            '-o',
            str(launcher),
            str(HERE / 'launcher.c'),
            f'-I{sysconfig.get_path("include")}',
            '-Wl,--export-dynamic',
            '-Wl,--whole-archive',
            str(library),
            '-Wl,--no-whole-archive',
            '-ldl',
            '-lm',
            '-lpthread',
            '-lutil',
            '-s',
        ],
        check=True,
    )


def _make_archive(members: list[Member], work: Path) -> bytes:
    shared = [
        extension
        for extension in members
        if extension.path.suffix == EXTENSION_SUFFIX
    ]
    libraries: dict[str, Path] = {}
    needed: dict[str, list[str]] = {}
    for extension in shared:
        _add_needed(extension.name, extension.path, libraries, needed)
    manifest = {
        'extensions': {each.module: each.name for each in shared},
        'libraries': {name: f'libraries/{name}' for name in sorted(libraries)},
        'needed': needed,
    }
    members.extend(
        Member(f'libraries/{name}', path) for name, path in libraries.items()
    )
    return _zip(members, json.dumps(manifest).encode(), work)


def _zip(members: list[Member], manifest: bytes, work: Path) -> bytes:
    """Return the archive, uncompressed, since zlib stands in it too."""
    content = io.BytesIO()
    with zipfile.ZipFile(content, 'w', zipfile.ZIP_STORED) as archive:
        _write(archive, MANIFEST, manifest)
        for folder in _folders(members):
            _write(archive, folder, b'')
        for member in members:
            suffix = 'c' if member.path.suffix == '.py' else ''
            _write(archive, f'{member.name}{suffix}', _bytes_of(member, work))
    return content.getvalue()


def _folders(members: list[Member]) -> list[str]:
    """Return the folders, which packages without a module of their own need."""
    parents = {
        parent.as_posix()
        for member in members
        for parent in PurePosixPath(member.name).parents
    }
    return [f'{parent}/' for parent in sorted(parents - {'.'})]


def _add_needed(
    name: str,
    path: Path,
    libraries: dict[str, Path],
    needed: dict[str, list[str]],
) -> None:
    found = needed_libraries(path)
    if found:
        needed[name] = sorted(found)
    for library, place in found.items():
        if library not in libraries:
            libraries[library] = place
            _add_needed(f'libraries/{library}', place, libraries, needed)


def _write(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    archive.writestr(zipfile.ZipInfo(name, EPOCH), content)


def _bytes_of(member: Member, work: Path) -> bytes:
    if member.path.suffix == '.py':
        return _compiled(member)
    if EXTENSION_SUFFIX in member.path.name:
        stripped = work / 'stripped'
        subprocess.run(
            [tool('strip'), '--strip-unneeded', '-o', stripped, member.path],
            check=True,
        )
        return stripped.read_bytes()
    return member.path.read_bytes()


def _compiled(member: Member) -> bytes:
    source = member.path.read_bytes()
    code = compile(source, member.name, 'exec', dont_inherit=True)
    check = util.source_hash(source)
    make = _bootstrap_external._code_to_hash_pyc
    return bytes(make(code, check, checked=False))


if __name__ == '__main__':
    try:
        main(Path(sys.argv[1]))
    except BuildError as error:
        sys.exit(f'build: {error}')
