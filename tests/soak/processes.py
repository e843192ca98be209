"""Starts, pauses and ends the processes of a soak, each by its id."""

import asyncio
import contextlib
import os
import pathlib
import signal as signals
import sys
import time
from collections.abc import Mapping

ROOT = pathlib.Path(__file__).parent.parent.parent
START_TIMEOUT_S = 60.0
END_TIMEOUT_S = 10.0


class Process:
    """A process that can be started again under the same name.

    Args:
        name: Name of the process and of its log.
        folder: Folder of the log.

    Attributes:
        ended: When each process of this name was ended, by its id.
    """

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self.ended: dict[int, float] = {}
        self._child: asyncio.subprocess.Process | None = None
        self._pauses = 0
        self._log_bytes = 0

    @property
    def pid(self) -> int:
        """Id of the current process; 0 if it doesn't run."""
        if self._child is None or self._child.returncode is not None:
            return 0
        return self._child.pid

    async def start(
        self,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
        root: pathlib.Path = ROOT,
    ) -> None:
        """Starts `python -m ARGUMENTS`; its output goes to the log.

        Args:
            arguments: A module and its arguments.
            environment: Variables that are added.
            root: Checkout of the build that runs.
        """
        self._pauses = 0
        with self.log.open("ab") as output:
            self._log_bytes = output.tell()
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=output,
                stderr=output,
                cwd=root,
                env={**os.environ, **(environment or {})},
            )

    async def wait_for(self, text: str) -> None:
        """Waits until the current process has written a text to the log."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while text.encode() not in self.log.read_bytes()[self._log_bytes :]:
            if not self.pid or time.monotonic() > deadline:
                raise RuntimeError(f"{self.name} didn't start; see {self.log}")
            await asyncio.sleep(0.05)

    def write_line(self, text: str) -> None:
        """Writes a line to the standard input of the process."""
        assert self._child is not None
        assert self._child.stdin is not None
        self._child.stdin.write(text.encode() + b"\n")

    def pause(self) -> None:
        """Stops the process until `resume` was called as often."""
        self._pauses += 1
        self.signal(signals.SIGSTOP)

    def resume(self) -> None:
        """Ends a pause, unless another one lasts."""
        self._pauses = max(0, self._pauses - 1)
        if not self._pauses:
            self.signal(signals.SIGCONT)

    async def pause_for(self, duration_s: float) -> None:
        """Stops the process for a time."""
        self.pause()
        await asyncio.sleep(duration_s)
        self.resume()

    async def end(self, number: signals.Signals = signals.SIGKILL) -> None:
        """Ends the process with a signal and waits for its end."""
        pid, child = self.pid, self._child
        if not pid or child is None:
            return
        self.signal(number)
        try:
            await asyncio.wait_for(child.wait(), END_TIMEOUT_S)
        except TimeoutError:
            self.signal(signals.SIGKILL)
            await child.wait()
        self.ended[pid] = time.monotonic()

    def signal(self, number: signals.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.pid:
            # The process may have ended, which asyncio has yet to notice.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)
