"""Starts and ends real host and stand-in processes on loopback."""

import asyncio
import hashlib
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import yaml

from godwitnotch import host_client
from tests.process import caller
from tests.process import evidence

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
OPERATOR_TOKEN = "operator-of-the-process-tests"
ROOT = pathlib.Path(__file__).parent.parent.parent
SECRET = "0123456789abcdef" * 3
WORKSPACE = "orders"
TEMPLATE = "confirm"


async def wait_until(
    condition: Callable[[], Awaitable[object]],
    description: str,
    *,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> None:
    """Waits until a condition is met.

    Args:
        condition: Returns whether the condition is met.
        description: Names the condition in the error.
        timeout_s: Maximum wait in seconds.

    Raises:
        AssertionError: The condition was not met in time.
    """
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_s:g} s: {description}")
        await asyncio.sleep(POLL_INTERVAL_S)


def upstream_names(
    domains: Sequence[str], *, per_domain: int
) -> list[tuple[str, str]]:
    """Returns names and domains of `per_domain` upstreams in each domain."""
    return [
        (f"{domain}-u{number}", domain)
        for domain in domains
        for number in range(1, per_domain + 1)
    ]


class Process:
    """A child process of the tests; its own children get no signals.

    Attributes:
        name: Name in error messages.
        lines: Lines of output so far.
    """

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.lines: list[str] = []
        self._child = child
        self._readers = [
            asyncio.create_task(self._collect(stream))
            for stream in (child.stdout, child.stderr)
            if stream is not None
        ]

    @property
    def child_pids(self) -> list[int]:
        """Ids of the running child processes of this process."""
        pid = self._child.pid
        tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
        listed = [(task / "children").read_text().split() for task in tasks]
        return [int(child) for each in listed for child in each]

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self._child.returncode

    async def _collect(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.lines.append(line.decode(errors="replace").rstrip())

    async def wait_for_line(self, pattern: str) -> re.Match[str]:
        """Waits for a line of output that matches; returns the match."""
        found: list[re.Match[str]] = []

        async def seen() -> bool:
            if self.exit_code is not None:
                raise AssertionError(f"{self.name} ended: {self.lines}")
            for line in self.lines:
                if match := re.search(pattern, line):
                    found.append(match)
                    return True
            return False

        await wait_until(seen, f"{self.name} prints {pattern}")
        return found[0]

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.exit_code is None:
            self._child.send_signal(number)

    async def wait(self, *, timeout_s: float = WAIT_TIMEOUT_S) -> int:
        """Waits until the process has ended; returns the exit code."""
        async with asyncio.timeout(timeout_s):
            return await self._child.wait()

    async def kill(self) -> None:
        """Kills the process if it still runs, and waits for its end."""
        self.send_signal(signal.SIGKILL)
        await self._child.wait()
        await asyncio.gather(*self._readers)

    def log_lines(self, event: str) -> list[str]:
        """Returns the log lines of one event."""
        return [line for line in self.lines if f" event={event} " in f"{line} "]


@dataclass(slots=True)
class Upstream:
    """A stand-in of an upstream and its process."""

    name: str
    domain: str
    address: str
    process: Process

    async def starts(self) -> list[evidence.Start]:
        """Returns the task starts that the upstream logged."""
        answer = await host_client.HostClient(self.address, "").call_async(
            "GET", "/starts"
        )
        return [
            evidence.Start(
                start["submission_id"], start["task_index"], start["started_at"]
            )
            for start in answer.value["starts"]
        ]


@dataclass(slots=True)
class Host:
    """A host and its process.

    Attributes:
        name: Host id.
        domain: Failure domain.
        address: Address for callers and operators.
        peers: Address for peers.
        process: The process.
    """

    name: str
    domain: str
    address: str
    peers: str
    process: Process

    async def ready(self) -> bool:
        """Returns whether the host reports that it is ready."""
        try:
            answer = await self.operator().call_async("GET", "/readyz")
        except host_client.HostUnreachable:
            return False
        return answer.ok

    async def status(self) -> dict[str, Any]:
        """Returns the state that the host reports to operators."""
        return (await self.operator().call_async("GET", "/v1/host")).value

    def operator(self) -> host_client.HostClient:
        """Returns a client with the operator token."""
        return host_client.HostClient(self.address, OPERATOR_TOKEN)


class Cluster:
    """The processes of one test.

    Attributes:
        processes: All processes started so far.
        upstreams: The stand-ins of upstreams.
        hosts: The hosts started so far.
        platform: Address of the stand-in of the platform.
        platform_process: Process of the stand-in of the platform.
        caller: The caller of the tests' workspace.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="godwitnotch-test-")
        self.processes: list[Process] = []
        self.upstreams: list[Upstream] = []
        self.hosts: list[Host] = []
        self.platform = ""
        self.platform_process: Process | None = None
        self.caller = caller.Caller(WORKSPACE, TEMPLATE)

    async def close(self) -> None:
        """Ends every process that the cluster started."""
        await self.caller.close()
        for process in self.processes:
            await process.kill()
        self._folder.cleanup()

    async def start_upstreams(
        self, domains: Sequence[str], *, per_domain: int = 2, slots: int = 8
    ) -> None:
        """Starts `per_domain` stand-ins of upstreams in each domain."""
        self.upstreams += await asyncio.gather(
            *(
                self._start_upstream(*name, slots)
                for name in upstream_names(domains, per_domain=per_domain)
            )
        )

    async def _start_upstream(
        self, name: str, domain: str, slots: int
    ) -> Upstream:
        process = await self._start(
            name, "standin", "upstream", "--slots", str(slots)
        )
        match = await process.wait_for_line(r"listening=(\S+)")
        return Upstream(name, domain, match[1], process)

    async def start_platform(
        self,
        *,
        listen: str = "127.0.0.1:0",
        upstreams: Sequence[tuple[str, str, str]] = (),
    ) -> None:
        """Starts the stand-in of the platform, which lists the upstreams.

        Args:
            listen: Address to listen on.
            upstreams: Name, domain and address of each listed upstream; by
                default the upstreams that were started.
        """
        started = [
            (each.name, each.domain, each.address) for each in self.upstreams
        ]
        listed = [
            {
                "upstream": name,
                "domain": domain,
                "rack": "r1",
                "address": address,
                "slots": 8,
                "connections": 64,
            }
            for name, domain, address in upstreams or started
        ]
        file = self._write("upstreams.yaml", listed)
        process = await self._start(
            "platform",
            "standin",
            "platform",
            "--listen",
            listen,
            "--upstreams",
            str(file),
        )
        match = await process.wait_for_line(r"listening=(\S+)")
        self.platform = match[1]
        self.platform_process = process

    async def start_host(
        self,
        name: str,
        domain: str,
        *,
        platform: str = "",
        peers: str = "127.0.0.1:0",
        advertised: str = "",
        drain_timeout_s: float = 30.0,
        wait_ready: bool = True,
    ) -> Host:
        """Starts a host.

        Args:
            name: Host id.
            domain: Failure domain.
            platform: Address of the platform; by default the stand-in's own.
            peers: Address to listen on for peers.
            advertised: Address for peers in the directory; by default `peers`.
            drain_timeout_s: Maximum duration of a drain.
            wait_ready: Whether to wait until the host is ready.
        """
        listen = {"callers": "127.0.0.1:0", "peers": peers}
        if advertised:
            listen["advertised"] = advertised
        settings = {
            "host": name,
            "domain": domain,
            "listen": listen,
            "platform": platform or self.platform,
            "secret": {"environment": "GODWITNOTCH_TEST_SECRET"},
            "operator_token": {"environment": "GODWITNOTCH_TEST_OPERATOR"},
            "limits": {"drain_timeout_s": drain_timeout_s},
        }
        file = self._write(f"{name}-{len(self.processes)}.yaml", settings)
        process = await self._start(name, "host", "--settings", str(file))
        match = await process.wait_for_line(
            r"event=host_started .*callers=(\S+) peers=(\S+)"
        )
        host = Host(name, domain, match[1], match[2], process)
        self.hosts.append(host)
        if wait_ready:
            await wait_until(host.ready, f"{name} is ready")
        return host

    async def wait_linked(self, *hosts: Host) -> None:
        """Waits until the given hosts, by default all, are linked."""
        wanted = hosts or tuple(self.hosts)
        names = {host.name for host in wanted}

        async def linked() -> bool:
            for host in wanted:
                peers = (await host.status())["peers"]
                open_to = {peer["host"] for peer in peers if peer["linked"]}
                if not names - {host.name} <= open_to:
                    return False
            return True

        try:
            await wait_until(linked, f"{sorted(names)} are linked")
        except AssertionError as error:
            lines = [
                f"{host.name} ({host.process.exit_code}): {line}"
                for host in wanted
                for line in host.process.lines[-40:]
            ]
            raise AssertionError("\n".join([str(error), *lines])) from None

    def link_counts(self) -> dict[tuple[str, str], int]:
        """Returns how many links each host has opened to each other host."""
        return {
            (host.name, other.name): sum(
                line.endswith(f"peer={other.name}")
                for line in host.process.log_lines("peer_link_up")
            )
            for host in self.hosts
            for other in self.hosts
            if other is not host
        }

    async def wait_relinked(self, before: dict[tuple[str, str], int]) -> None:
        """Waits until each host has a new link to each other host.

        A link whose bytes are lost counts as linked until it is noticed as
        silent, so `wait_linked` alone may return too early.

        Args:
            before: `link_counts` when the old links broke.
        """

        async def relinked() -> bool:
            now = self.link_counts()
            return all(now[pair] > before[pair] for pair in before)

        await wait_until(relinked, "all hosts have new links")
        await self.wait_linked()

    async def put_workspace(self, host: Host) -> None:
        """Creates the tests' workspace; fails unless it is in force."""
        answer = await self.change_workspace(host, version=0)
        assert answer.status == 200, answer

    async def change_workspace(
        self, host: Host, *, version: int, **changes: Any
    ) -> host_client.HostResponse:
        """Replaces a version of the settings of the tests' workspace."""
        settings = {
            "workspace": WORKSPACE,
            "token_sha256": hashlib.sha256(caller.TOKEN.encode()).hexdigest(),
            "templates": {TEMPLATE: {"path": "/confirm", "max_wait_s": 60}},
            **changes,
        }
        return await host.operator().call_async(
            "PUT",
            f"/v1/workspaces/{WORKSPACE}",
            value=settings,
            headers={"if-match": str(version)},
            timeout_s=WAIT_TIMEOUT_S,
        )

    async def set_faults(self, address: str, **faults: object) -> None:
        """Sets the faults of a stand-in."""
        answer = await host_client.HostClient(address, "").call_async(
            "POST", "/faults", value=faults
        )
        assert answer.ok, answer

    async def starts(self) -> list[evidence.Start]:
        """Returns the task starts that all upstreams logged."""
        logs = await asyncio.gather(*(each.starts() for each in self.upstreams))
        return [start for log in logs for start in log]

    def unexpected_exceptions(self) -> list[str]:
        """Returns the log lines about unexpected exceptions."""
        return [
            f"{process.name}: {line}"
            for process in self.processes
            for event in ("internal_fault", "request_failed")
            for line in process.log_lines(event)
        ]

    def _write(self, name: str, value: object) -> pathlib.Path:
        path = pathlib.Path(self._folder.name) / name
        path.write_text(yaml.safe_dump(value))
        return path

    async def _start(self, name: str, *arguments: str) -> Process:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "godwitnotch",
            *arguments,
            cwd=ROOT,
            env={
                **os.environ,
                "GODWITNOTCH_TEST_SECRET": SECRET,
                "GODWITNOTCH_TEST_OPERATOR": OPERATOR_TOKEN,
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        process = Process(name, child)
        self.processes.append(process)
        return process
