"""
Start, signal and stop processes of the program in experiments and tests.

Only experiments and tests start processes; the program itself starts none.
"""

__all__ = ('ProcessGroup', 'free_port')

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path

from zinniaturn.experiments.exceptions import ExperimentError

_TIMEOUT_SECONDS = 10.0
_POLL_INTERVAL_SECONDS = 0.05


def free_port() -> int:
    """Return a loopback port that is free at the moment."""
    with socket.socket() as tcp_socket:
        tcp_socket.bind(('127.0.0.1', 0))
        return int(tcp_socket.getsockname()[1])


class ProcessGroup:
    """Processes by name; each logs to a file of its own in ``log_folder``."""

    def __init__(self, log_folder: Path) -> None:
        self.log_folder = log_folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(
        self,
        name: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
        module: str = 'zinniaturn',
    ) -> None:
        """Start ``zinniaturn``, or another module, with the arguments."""
        log_path = self.log_folder / f'{name}.log'
        with log_path.open('ab') as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, **(environment or {})},
            )
        self.processes[name] = process

    async def wait_for_port(
        self,
        name: str,
        port: int,
        timeout_seconds: float = _TIMEOUT_SECONDS,
    ) -> None:
        """
        Wait until a process listens on a loopback port.

        Raises `ExperimentError` if it ends or does not listen in time.
        """
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        while asyncio.get_running_loop().time() < deadline:
            if self.processes[name].returncode is not None:
                break
            try:
                _, writer = await asyncio.open_connection('127.0.0.1', port)
            except OSError:
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                continue
            writer.close()
            return
        raise ExperimentError(f'{name} does not listen on port {port}')

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(signal_number)

    async def wait(self, name: str, timeout_seconds: float) -> int:
        """
        Wait for a process to end and return its exit status.

        Raises `ExperimentError` if it is still running after the timeout.
        """
        process = self.processes[name]
        try:
            return await asyncio.wait_for(process.wait(), timeout_seconds)
        except TimeoutError as error:
            raise ExperimentError(f'{name} did not end in time') from error

    async def terminate(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit status."""
        self.send_signal(name, signal.SIGTERM)
        return await self.wait(name, _TIMEOUT_SECONDS)

    async def stop_all(self) -> None:
        """Kill every running process and wait until all have ended."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await asyncio.wait_for(process.wait(), _TIMEOUT_SECONDS)
