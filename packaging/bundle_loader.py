"""
Imports of the one-file binary.

Pure modules come out of the archive behind the launcher through the
interpreter's own zip importer. An extension module is a shared object, which
the C library opens only by a path: its bytes go into an anonymous file in
memory that no other process sees, and the file is closed once it is open.
"""

__all__ = ('main',)

import json
import os
import sys
import zipimport
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location

import _bundle

MANIFEST = 'bundle.json'


class ExtensionFinder:
    """Finds the extension modules that the manifest names."""

    def __init__(self, archive, manifest):
        self.archive = archive
        self.extensions = manifest['extensions']
        self.libraries = manifest['libraries']
        self.needed = manifest['needed']
        self.opened = set()
        self.count = 0

    def find_spec(self, name, path=None, target=None) -> ModuleSpec | None:
        """Return the spec of an extension module of the bundle."""
        member = self.extensions.get(name)
        if member is None:
            return None
        self.open_needed(member)
        place = self.place(member)
        loader = _ClosingLoader(name, place)
        return spec_from_file_location(name, place, loader=loader)

    def open_needed(self, member):
        """Open the shared libraries that a member needs, deepest first."""
        for library in self.needed.get(member, ()):
            if library in self.opened:
                continue
            self.opened.add(library)
            inner = self.libraries[library]
            self.open_needed(inner)
            place = self.place(inner)
            _bundle.open_library(place)
            _close(place)

    def place(self, member):
        """Put a member into an anonymous file and return its path."""
        content = memoryview(self.archive.get_data(member))
        descriptor = os.memfd_create(
            os.path.basename(member),
            os.MFD_CLOEXEC,
        )
        while content:
            content = content[os.write(descriptor, content) :]
        # The C library takes a path that it has seen for the same library.
        self.count += 1
        dots = './' * self.count
        return f'/proc/self/fd/{dots}{descriptor}'


class _ClosingLoader(ExtensionFileLoader):
    def create_module(self, spec):
        try:
            return super().create_module(spec)
        finally:
            _close(self.path)


def _close(place):
    os.close(int(os.path.basename(place)))


def main():
    """Run the command line."""
    archive = zipimport.zipimporter(sys.executable)
    manifest = json.loads(archive.get_data(MANIFEST))
    sys.meta_path.insert(0, ExtensionFinder(archive, manifest))
    if sys.argv[1:3] == ['-m', 'zinniaturn']:
        del sys.argv[1:3]
    from zinniaturn.commands.main import main as run

    run()
