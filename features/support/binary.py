"""Build the one-file binary once per run and start it in an empty folder."""

import asyncio
import atexit
import contextlib
import functools
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

BUILD_SCRIPT = ('packaging/build.py',)
TIMEOUT_SECONDS = 120
_CHILD_FAULTS_FIELD = 10


@functools.cache
def build_binary():
    """Build the binary from this source tree and return its path."""
    folder = Path(tempfile.mkdtemp())
    atexit.register(shutil.rmtree, folder)
    output = folder / 'zinniaturn'
    subprocess.run(
        [sys.executable, *BUILD_SCRIPT, str(output)],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    return output


class RunningBinary:
    """A process of the binary with an empty home and temporary folder."""

    def __init__(self, folder):
        self.folder = Path(folder)

    async def start(self, *arguments):
        self.process = await asyncio.create_subprocess_exec(
            str(build_binary()),
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=self.folder,
            env={
                'HOME': str(self.folder),
                'TMPDIR': str(self.folder),
                'PATH': '/nowhere',
            },
        )

    async def close(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()

    def proc_path(self, name):
        return Path('/proc') / str(self.process.pid) / name

    def child_processes(self):
        """
        Return the running child processes and the reaped ones' page faults.

        Page faults above zero show that a child process has run and ended.
        """
        running_children = ''.join(
            (task / 'children').read_text()
            for task in self.proc_path('task').iterdir()
        ).split()
        fields = self.proc_path('stat').read_text().rpartition(')')[2].split()
        return running_children, int(fields[_CHILD_FAULTS_FIELD - 2])

    def mapped_files(self):
        lines = self.proc_path('maps').read_text().splitlines()
        return {line.split(maxsplit=5)[5] for line in lines if '/' in line}

    def open_files(self):
        """Return what is open; a file that is closed meanwhile is not."""
        files = []
        for descriptor_link in self.proc_path('fd').iterdir():
            with contextlib.suppress(FileNotFoundError):
                files.append(os.readlink(descriptor_link))
        return files

    def written_files(self):
        return sorted(str(path) for path in self.folder.rglob('*'))
