"""Running the program's command line as a process."""

import asyncio
import os
import sys
from dataclasses import dataclass

PATIENCE_SECONDS = 60


@dataclass
class Finished:
    """What a command that has ended printed, and its status."""

    status: int
    output: str
    errors: str


async def run_command(*arguments, given='', variables=None):
    """Run ``zinniaturn`` with these arguments to its end."""
    kept = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('ZINNIATURN_')
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'zinniaturn',
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**kept, **(variables or {})},
    )
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            output, errors = await process.communicate(given.encode())
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    return Finished(process.returncode, output.decode(), errors.decode())
