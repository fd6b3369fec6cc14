"""
Build the one-file binary: ``python packaging/build.py OUTPUT``.

The build needs a C compiler, ``ldd``, ``readelf``, ``strip`` and a Python
interpreter with its static library and headers.
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
    find_tool,
    needed_libraries,
)

PACKAGING_FOLDER = Path(__file__).parent
ZIP_TIMESTAMP = (1980, 1, 1, 0, 0, 0)
LOADER = 'bundle_loader.py'
MANIFEST = 'bundle.json'


def main(output: Path) -> None:
    """Build the binary and write it to ``output``."""
    members = collect_members(PACKAGING_FOLDER.parent)
    members.append(Member(LOADER, PACKAGING_FOLDER / LOADER))
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder_name:
        work_folder = Path(folder_name)
        launcher = work_folder / 'launcher'
        _compile_launcher(launcher)
        archive = _make_archive(members, work_folder)
        output.write_bytes(launcher.read_bytes() + archive)
    output.chmod(0o755)
    print(f'{output}: {output.stat().st_size} bytes, {len(members)} members')


def _compile_launcher(launcher: Path) -> None:
    static_library = Path(sysconfig.get_config_var('LIBPL')) / 'libpython3.11.a'
    if not static_library.is_file():
        raise BuildError(f'the Python interpreter has no {static_library.name}')
    subprocess.run(
        [
            find_tool('cc'),
            '-O2',
            '-o',
            str(launcher),
            str(PACKAGING_FOLDER / 'launcher.c'),
            f'-I{sysconfig.get_path("include")}',
            '-Wl,--export-dynamic',
            '-Wl,--whole-archive',
            str(static_library),
            '-Wl,--no-whole-archive',
            '-ldl',
            '-lm',
            '-lpthread',
            '-lutil',
            '-s',
        ],
        check=True,
    )


def _make_archive(members: list[Member], work_folder: Path) -> bytes:
    extension_members = [
        extension
        for extension in members
        if extension.path.suffix == EXTENSION_SUFFIX
    ]
    libraries: dict[str, Path] = {}
    needed_by_file: dict[str, list[str]] = {}
    for extension in extension_members:
        _add_needed_libraries(
            extension.name, extension.path, libraries, needed_by_file
        )
    manifest = {
        'extensions': {
            member.module: member.name for member in extension_members
        },
        'libraries': {name: f'libraries/{name}' for name in sorted(libraries)},
        'needed': needed_by_file,
    }
    members.extend(
        Member(f'libraries/{name}', path) for name, path in libraries.items()
    )
    return _build_zip(members, json.dumps(manifest).encode(), work_folder)


def _build_zip(
    members: list[Member], manifest: bytes, work_folder: Path
) -> bytes:
    """Return the archive, uncompressed because zlib is itself inside it."""
    content = io.BytesIO()
    with zipfile.ZipFile(content, 'w', zipfile.ZIP_STORED) as archive:
        _write_file(archive, MANIFEST, manifest)
        for folder_name in _parent_folders(members):
            _write_file(archive, folder_name, b'')
        for member in members:
            suffix = 'c' if member.path.suffix == '.py' else ''
            _write_file(
                archive,
                f'{member.name}{suffix}',
                _read_member(member, work_folder),
            )
    return content.getvalue()


def _parent_folders(members: list[Member]) -> list[str]:
    """Return the parent folders, which namespace packages need as members."""
    parents = {
        parent.as_posix()
        for member in members
        for parent in PurePosixPath(member.name).parents
    }
    return [f'{parent}/' for parent in sorted(parents - {'.'})]


def _add_needed_libraries(
    name: str,
    path: Path,
    libraries: dict[str, Path],
    needed_by_file: dict[str, list[str]],
) -> None:
    needed_paths = needed_libraries(path)
    if needed_paths:
        needed_by_file[name] = sorted(needed_paths)
    for library_name, library_path in needed_paths.items():
        if library_name not in libraries:
            libraries[library_name] = library_path
            _add_needed_libraries(
                f'libraries/{library_name}',
                library_path,
                libraries,
                needed_by_file,
            )


def _write_file(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    archive.writestr(zipfile.ZipInfo(name, ZIP_TIMESTAMP), content)


def _read_member(member: Member, work_folder: Path) -> bytes:
    if member.path.suffix == '.py':
        return _compile_module(member)
    if EXTENSION_SUFFIX in member.path.name:
        stripped = work_folder / 'stripped'
        subprocess.run(
            [
                find_tool('strip'),
                '--strip-unneeded',
                '-o',
                stripped,
                member.path,
            ],
            check=True,
        )
        return stripped.read_bytes()
    return member.path.read_bytes()


def _compile_module(member: Member) -> bytes:
    source = member.path.read_bytes()
    module_code = compile(source, member.name, 'exec', dont_inherit=True)
    source_digest = util.source_hash(source)
    encode_pyc = _bootstrap_external._code_to_hash_pyc
    return bytes(encode_pyc(module_code, source_digest, checked=False))


if __name__ == '__main__':
    try:
        main(Path(sys.argv[1]))
    except BuildError as error:
        sys.exit(f'build: {error}')
