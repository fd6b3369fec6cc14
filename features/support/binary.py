"""The one-file binary, built once a run and started in an empty folder."""

import asyncio
import atexit
import functools
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

BUILD = ('packaging/build.py',)
PATIENCE_SECONDS = 120
_CHILD_FAULTS_FIELD = 10


@functools.cache
def build_binary():
    """Return the path of a binary made from this tree."""
    folder = Path(tempfile.mkdtemp())
    atexit.register(shutil.rmtree, folder)
    output = folder / 'zinniaturn'
    subprocess.run(
        [sys.executable, *BUILD, str(output)],
        check=True,
        timeout=PATIENCE_SECONDS,
        stdout=subprocess.DEVNULL,
    )
    return output


class RunningBinary:
    """A process of the binary whose home and temporary folder are empty."""

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

    def proc(self, name):
        return Path('/proc') / str(self.process.pid) / name

    def children(self):
        """Return the children that live, and the faults of those reaped."""
        living = ''.join(
            (task / 'children').read_text()
            for task in self.proc('task').iterdir()
        ).split()
        fields = self.proc('stat').read_text().rpartition(')')[2].split()
        return living, int(fields[_CHILD_FAULTS_FIELD - 2])

    def mapped(self):
        lines = self.proc('maps').read_text().splitlines()
        return {line.split(maxsplit=5)[5] for line in lines if '/' in line}

    def open_files(self):
        return [os.readlink(entry) for entry in self.proc('fd').iterdir()]

    def written(self):
        return sorted(str(path) for path in self.folder.rglob('*'))
