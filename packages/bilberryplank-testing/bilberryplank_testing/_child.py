"""A process under test: started, frozen, killed and stopped by its id."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

STOP_TIMEOUT_SECONDS = 30.0


class Child:
    """One child process whose output goes to a file.

    Args:
        arguments: Name of the module to run, and what it is given.
        directory: Folder of its output.
        environment: Variables beside this process's own.

    Attributes:
        name: Name in reports.
        log: File that holds its standard output and error.
    """

    __slots__ = ("name", "log", "_process", "_arguments", "_environment")

    def __init__(
        self,
        name: str,
        arguments: list[str],
        directory: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log = directory / f"{name}.log"
        self._arguments = arguments
        self._environment = {**os.environ, **(environment or {})}
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """True until the process has ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts `python -m ...`."""
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)

    def freeze(self) -> None:
        """Stops the process from running until `thaw`."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process run on."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Ends the process at once."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> int:
        """Asks the process to stop and returns its exit code; kills it where it does not."""
        self.signal(signal.SIGTERM)
        return await self.wait()

    async def wait(self) -> int:
        """Returns the exit code; kills the process after a bounded time."""
        if self._process is None:
            return 0
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                return await self._process.wait()
        except TimeoutError:
            self._process.kill()
            return await self._process.wait()
