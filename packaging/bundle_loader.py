"""
Import system of the one-file binary.

The interpreter's zip importer loads pure Python modules from the archive
appended to the launcher. An extension module is a shared object, which the C
library can open only by path. Its bytes are written to an anonymous memory
file (memfd), which no other process sees; its descriptor is closed as soon as
the library is loaded.
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
    """Meta path finder for the extension modules in the manifest."""

    def __init__(self, archive, manifest):
        self.archive = archive
        self.extensions = manifest['extensions']
        self.libraries = manifest['libraries']
        self.needed = manifest['needed']
        self.opened_libraries = set()
        self.opened_count = 0

    def find_spec(self, name, path=None, target=None) -> ModuleSpec | None:
        """Return the spec of an extension module in the archive, if any."""
        member = self.extensions.get(name)
        if member is None:
            return None
        self.open_needed_libraries(member)
        memory_path = self.write_to_memory(member)
        loader = _ClosingLoader(name, memory_path)
        return spec_from_file_location(name, memory_path, loader=loader)

    def open_needed_libraries(self, member):
        """Load the shared libraries that a member needs, dependencies first."""
        for library in self.needed.get(member, ()):
            if library in self.opened_libraries:
                continue
            self.opened_libraries.add(library)
            library_member = self.libraries[library]
            self.open_needed_libraries(library_member)
            memory_path = self.write_to_memory(library_member)
            _bundle.open_library(memory_path)
            _close_descriptor(memory_path)

    def write_to_memory(self, member):
        """Write a member to an anonymous memory file and return its path."""
        unwritten_bytes = memoryview(self.archive.get_data(member))
        descriptor = os.memfd_create(
            os.path.basename(member),
            os.MFD_CLOEXEC,
        )
        while unwritten_bytes:
            unwritten_bytes = unwritten_bytes[
                os.write(descriptor, unwritten_bytes) :
            ]
        # The C library takes a path it has already opened for the same
        # library, and descriptor numbers are reused: dots make paths unique.
        self.opened_count += 1
        dot_segments = './' * self.opened_count
        return f'/proc/self/fd/{dot_segments}{descriptor}'


class _ClosingLoader(ExtensionFileLoader):
    def create_module(self, spec):
        try:
            return super().create_module(spec)
        finally:
            _close_descriptor(self.path)


def _close_descriptor(memory_path):
    os.close(int(os.path.basename(memory_path)))


def main():
    """Install the finder and run the command line."""
    archive = zipimport.zipimporter(sys.executable)
    manifest = json.loads(archive.get_data(MANIFEST))
    sys.meta_path.insert(0, ExtensionFinder(archive, manifest))
    if sys.argv[1:3] == ['-m', 'zinniaturn']:
        del sys.argv[1:3]
    from zinniaturn.commands.main import main as run

    run()
