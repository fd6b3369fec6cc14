"""Runs the program's command line as a subprocess."""

import asyncio
import os
import sys
from dataclasses import dataclass

from features.support.time_limits import time_limit

TIMEOUT_SECONDS = 60


@dataclass
class CommandResult:
    """The exit status and the output of a command that has ended."""

    status: int
    output: str
    errors: str


async def run_command(*arguments, standard_input='', variables=None):
    """Run ``zinniaturn`` with these arguments and wait until it ends."""
    inherited_variables = {
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
        env={**inherited_variables, **(variables or {})},
    )
    try:
        async with time_limit(TIMEOUT_SECONDS):
            output, errors = await process.communicate(standard_input.encode())
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    return CommandResult(process.returncode, output.decode(), errors.decode())
