"""Starts and stops the processes of a whole deployment on loopback."""

import asyncio
import hashlib
import os
import pathlib
import re
import secrets
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

import msgspec
import yaml

from godwitnotch import host_client
from godwitnotch.core import ids
from godwitnotch.core import model

ROOT = pathlib.Path(__file__).parent.parent
CALLER_TOKEN = "caller-of-the-bench"
START_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02
_CONFIG_TIMEOUT_S = 20.0
_SECRET_VARIABLE = "GODWITNOTCH_BENCH_SECRET"
_OPERATOR_VARIABLE = "GODWITNOTCH_BENCH_OPERATOR"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_Result = TypeVar("_Result")


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time and memory of a process, or of all hosts.

    Attributes:
        cpu_s: CPU time in user and kernel mode since the start, in seconds; for
            all hosts, the total.
        rss_bytes: Current resident memory; for all hosts, the maximum.
    """

    cpu_s: float
    rss_bytes: int


@dataclass(frozen=True, slots=True)
class MachineTime:
    """CPU time of the whole machine since boot, in clock ticks.

    Attributes:
        busy_ticks: Time in which the CPUs executed processes or interrupts.
        stolen_ticks: Steal time, in which this virtual machine was ready to
            run, but the hypervisor ran other machines.
    """

    busy_ticks: int
    stolen_ticks: int

    @classmethod
    def now(cls) -> "MachineTime":
        """Reads the current times."""
        line = pathlib.Path("/proc/stat").read_text().splitlines()[0]
        ticks = [int(field) for field in line.split()[1:]]
        user, nice, system, _, _, irq, softirq, stolen = ticks[:8]
        return cls(user + nice + system + irq + softirq, stolen)

    def stolen_share_until_now(self) -> float:
        """Returns the steal time since this reading, as a share of CPU time.

        CPU time is the sum of busy time and steal time.
        """
        current = MachineTime.now()
        stolen = current.stolen_ticks - self.stolen_ticks
        return stolen / max(current.busy_ticks - self.busy_ticks + stolen, 1)


class Process:
    """One `godwitnotch` process; its output goes to a file.

    Args:
        name: Name of the process and of its output file.
        arguments: Command-line arguments.
        folder: Where the output file is written.
        environment: Variables that are added to the environment.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        folder: pathlib.Path,
        environment: Mapping[str, str],
    ) -> None:
        self.name = name
        self._output_file = folder / f"{name}.log"
        with self._output_file.open("wb") as output:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "godwitnotch", *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env={**os.environ, **environment},
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    async def wait_for_line(self, pattern: str) -> re.Match[str]:
        """Waits until the output matches a pattern and returns the match.

        Raises:
            RuntimeError: The process ended before its output matched.
        """

        async def find_line() -> re.Match[str] | None:
            if self._popen.poll() is not None:
                raise RuntimeError(
                    f"{self.name} ended; see {self._output_file}: "
                    f"{self._output_file.read_text()[-500:]}"
                )
            return re.search(pattern, self._output_file.read_text())

        return await wait_until(find_line, f"{self.name} prints {pattern}")

    def count_lines(self, text: str) -> int:
        """Returns how many lines of the output contain a text."""
        with self._output_file.open(errors="replace") as output:
            return sum(text in line for line in output)

    def usage(self) -> Usage:
        """Returns CPU time and memory, zero if the process ended."""
        try:
            stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        except FileNotFoundError:
            return Usage(0.0, 0)
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return Usage(ticks / _TICKS_PER_S, int(fields[21]) * _PAGE_BYTES)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()


@dataclass(frozen=True, slots=True)
class Node:
    """A process and the address that it listens on."""

    name: str
    address: str
    process: Process


class Deployment:
    """The processes of a deployment: platform stand-in, upstreams and hosts.

    Args:
        folder: Where settings and outputs are written.
        policy: Scheduling policy of the hosts.

    Attributes:
        hosts: The hosts that were started.
        upstreams: The upstreams that were started.
        platform: The platform stand-in.
    """

    def __init__(self, folder: pathlib.Path, policy: str) -> None:
        self.hosts: dict[ids.HostId, Node] = {}
        self.upstreams: dict[ids.UpstreamId, Node] = {}
        self.platform: Node
        self._folder = folder
        self._policy = policy
        self._processes: list[Process] = []
        self._workspace_count = 0
        self._listed_only_upstreams: tuple[model.UpstreamEntry, ...] = ()
        self._operator_token = secrets.token_urlsafe()
        self._environment = {
            _SECRET_VARIABLE: secrets.token_hex(32),
            _OPERATOR_VARIABLE: self._operator_token,
        }

    async def start(
        self,
        hosts: Sequence[model.HostEntry],
        upstreams: Sequence[model.UpstreamEntry],
        speeds: Mapping[ids.UpstreamId, float],
        workspaces: Mapping[ids.WorkspaceId, Sequence[model.Template]],
        *,
        listed_only_upstreams: Sequence[model.UpstreamEntry] = (),
    ) -> None:
        """Starts all processes and waits until the hosts are ready.

        Every host then knows all hosts, upstreams and workspaces.

        Args:
            hosts: The hosts to start.
            upstreams: Upstreams that run as processes.
            speeds: Speed factor of each upstream; 1 is normal speed.
            workspaces: Templates of each workspace.
            listed_only_upstreams: Upstreams that the platform lists but that
                have no process.
        """
        self._listed_only_upstreams = tuple(listed_only_upstreams)
        await asyncio.gather(
            *(self._start_upstream(entry, speeds) for entry in upstreams)
        )
        await self._start_platform(upstreams)
        await asyncio.gather(*(self._start_host(entry) for entry in hosts))
        self._workspace_count = len(workspaces)
        for workspace, templates in workspaces.items():
            await self.put_workspace(workspace, templates, version=0)
        for node in self.hosts.values():
            await wait_until(
                lambda node=node: self._knows_deployment(node),  # type: ignore[misc]
                f"{node.name} knows all hosts, upstreams and workspaces",
            )

    def close(self) -> None:
        """Kills every process of the deployment."""
        for process in self._processes:
            process.kill()

    def host_usage(self) -> Usage:
        """Returns the total CPU time and the maximum memory of the hosts."""
        usages = [node.process.usage() for node in self.hosts.values()]
        return Usage(
            sum(usage.cpu_s for usage in usages),
            max(usage.rss_bytes for usage in usages),
        )

    def internal_fault_count(self) -> int:
        """Returns how often the hosts logged `internal_fault`."""
        return sum(
            node.process.count_lines(" event=internal_fault ")
            for node in self.hosts.values()
        )

    async def status(self, node: Node) -> dict[str, Any]:
        """Returns the status that a host reports to operators."""
        response = await self._operator_client(node).call_async(
            "GET", "/v1/host"
        )
        return response.value

    async def inject_faults(self, node: Node, **faults: object) -> None:
        """Tells a stand-in process to simulate faults."""
        client = host_client.HostClient(node.address, "")
        response = await client.call_async("POST", "/faults", value=faults)
        if not response.ok:
            raise RuntimeError(
                f"{node.name} rejected the faults: {response.error}"
            )

    async def start_log(self, node: Node) -> dict[str, Any] | None:
        """Returns an upstream's log of task starts, None if unreachable."""
        client = host_client.HostClient(node.address, "")
        try:
            return (await client.call_async("GET", "/starts")).value
        except host_client.HostUnreachable:
            return None

    async def _start_upstream(
        self,
        entry: model.UpstreamEntry,
        speeds: Mapping[ids.UpstreamId, float],
    ) -> None:
        node = await self._start_standin(
            entry.upstream,
            "upstream",
            "--slots",
            str(entry.slots),
            "--speed",
            str(speeds[entry.upstream]),
        )
        self.upstreams[entry.upstream] = node

    async def _start_platform(
        self, upstreams: Sequence[model.UpstreamEntry]
    ) -> None:
        listed_entries = [
            msgspec.to_builtins(
                msgspec.structs.replace(
                    entry, address=self.upstreams[entry.upstream].address
                )
            )
            for entry in upstreams
        ]
        listed_entries += [
            msgspec.to_builtins(entry) for entry in self._listed_only_upstreams
        ]
        file = self._folder / "upstreams.yaml"
        file.write_text(yaml.safe_dump(listed_entries))
        self.platform = await self._start_standin(
            "platform", "platform", "--upstreams", str(file)
        )

    async def _start_standin(self, name: str, *arguments: str) -> Node:
        process = self._start_process(name, "standin", *arguments)
        match = await process.wait_for_line(r"listening=(\S+)")
        return Node(name, match[1], process)

    async def _start_host(self, entry: model.HostEntry) -> None:
        settings = {
            "host": entry.host,
            "domain": entry.domain,
            "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
            "platform": self.platform.address,
            "secret": {"environment": _SECRET_VARIABLE},
            "operator_token": {"environment": _OPERATOR_VARIABLE},
            "policy": self._policy,
        }
        file = self._folder / f"{entry.host}.yaml"
        file.write_text(yaml.safe_dump(settings))
        process = self._start_process(
            entry.host, "host", "--settings", str(file)
        )
        match = await process.wait_for_line(
            r"event=host_started .*callers=(\S+)"
        )
        self.hosts[entry.host] = Node(entry.host, match[1], process)

    def _start_process(self, name: str, *arguments: str) -> Process:
        process = Process(name, arguments, self._folder, self._environment)
        self._processes.append(process)
        return process

    async def put_workspace(
        self,
        workspace: ids.WorkspaceId,
        templates: Sequence[model.Template],
        *,
        version: int,
    ) -> None:
        """Writes the settings of a workspace and waits until they are in force.

        Args:
            workspace: The workspace.
            templates: The templates of the workspace.
            version: The version that is replaced, 0 for a new workspace.
        """
        settings = {
            "workspace": workspace,
            "token_sha256": hashlib.sha256(CALLER_TOKEN.encode()).hexdigest(),
            "templates": {
                template.name: {
                    "path": template.path,
                    "max_wait_s": template.max_wait_s,
                }
                for template in templates
            },
        }
        node = next(iter(self.hosts.values()))

        async def put_settings() -> bool:
            response = await self._operator_client(node).call_async(
                "PUT",
                f"/v1/workspaces/{workspace}",
                value=settings,
                headers={"if-match": str(version)},
                timeout_s=_CONFIG_TIMEOUT_S,
            )
            # A version conflict means that an earlier attempt was stored.
            return response.ok or response.status in (409, 412)

        await wait_until(put_settings, f"workspace {workspace} is stored")

    async def _knows_deployment(self, node: Node) -> bool:
        """Returns whether a host knows all hosts, upstreams and workspaces."""
        status = await self.status(node)
        linked_peers = [peer for peer in status["peers"] if peer["linked"]]
        workspaces_response = await self._operator_client(node).call_async(
            "GET", "/v1/workspaces"
        )
        return (
            status["ready"]
            and len(linked_peers) == len(self.hosts) - 1
            and len(status["upstreams"])
            == len(self.upstreams) + len(self._listed_only_upstreams)
            and len(workspaces_response.value["workspaces"])
            == self._workspace_count
        )

    def _operator_client(self, node: Node) -> host_client.HostClient:
        return host_client.HostClient(node.address, self._operator_token)


def exit_on_sigterm() -> None:
    """Makes SIGTERM raise SystemExit, so that cleanup kills the processes."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))


async def wait_until(
    condition: Callable[[], Awaitable[_Result | None]],
    description: str,
    *,
    timeout_s: float = START_TIMEOUT_S,
) -> _Result:
    """Polls a condition until its result is true, and returns the result.

    Args:
        condition: Function whose result is polled.
        description: Text that names the condition in the error message.
        timeout_s: Maximum wait in seconds.

    Raises:
        TimeoutError: The result was still false at the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not (result := await condition()):
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"condition not met within {timeout_s:g} s: {description}"
            )
        await asyncio.sleep(_POLL_INTERVAL_S)
    return result
