"""A small deployment: a store, workers, and hosts in processes of their own."""

import asyncio
import base64
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from review.bed import record as record_module
from review.bed import store as store_module
from review.bed import web
from review.bed import worker as worker_module

ROOT = pathlib.Path(__file__).parent.parent.parent
ZONES = ("ch-mitte-olten", "ch-mitte-aarau", "ch-mitte-zofingen")
AUTHORITY = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
READY_TIMEOUT_S = 30.0
# Not 1, with which Python ends after an error of the program itself.
_BROKEN_EXIT_CODE = 10
KINDS = ("a", "b")
TASK_CPU = 14_000


class CannotRunError(Exception):
    """The case can't run here; it says nothing about the rule."""


class Host:
    """One host, started with the command of the deploy file.

    Args:
        name: Its name.
        zone: Its zone.
        folder: Where its settings and its log go.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        ports = [web.free_port() for _ in range(4)]
        self.front, self.ready, self.control = (
            f"{web.IP}:{port}" for port in ports[:3]
        )
        self.metrics = f"{web.IP}:{ports[3]}"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs or before its start."""
        return None if self._process is None else self._process.poll()

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file, with the fields that DEPLOY.md shows."""
        lines = {
            "node": self.name,
            "role": "host",
            "machine_class": "front",
            "serves": "front,control",
            "ip": web.IP,
            "zone": self.zone,
            "region": "ch-mitte",
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "port_range": f"{self.metrics.rpartition(':')[2]},65535",
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1500",
            "bounds.grace_s": "6",
            "bounds.slowdown_factor": "1.5",
            "control_mode": "request",
            "platform.address": store,
            "platform.form": "table",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self._settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Starts the process."""
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GODWITNOTCH_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                ["python3", "-m", "godwitnotch.platform"],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Ends the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the readiness check responds with 200."""
        response = await web.call(
            self.ready, "GET", "/readiness", timeout_s=1.0
        )
        return response.status == 200

    async def leads(self) -> bool:
        """Returns whether its metrics say that it leads."""
        response = await web.call(
            self.metrics, "GET", "/metrics", timeout_s=1.0
        )
        lines = response.body.decode().splitlines()
        return any(
            line.partition(" ")[0].endswith("_leads")
            and float(line.split()[-1]) == 1
            for line in lines
            if line and not line.startswith("#")
        )


class Fleet:
    """The deployment of one case.

    Args:
        record: The record of the case.
        hosts: How many hosts, dealt to the zones in turn.
        worker_count: How many workers, dealt likewise.
        timeout_ms: The timeout of the route.
        target_duration_ms: The target that is added to the run time.
    """

    def __init__(
        self,
        record: record_module.Record,
        *,
        hosts: int,
        worker_count: int,
        timeout_ms: int = 1_500,
        target_duration_ms: int = 60,
    ) -> None:
        # So that a script which is told to end ends its hosts as well.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = store_module.Store()
        self.workers = [
            worker_module.Worker(
                f"i-{number:08x}",
                zone=ZONES[number % len(ZONES)],
                service=SERVICE,
                record=record,
                labels=(KINDS[number % len(KINDS)], "r1-1"),
            )
            for number in range(worker_count)
        ]
        self.hosts = [
            Host(f"front-{number}", ZONES[number % len(ZONES)], self.folder)
            for number in range(hosts)
        ]
        self._route = {
            "name": "r-3hwrr6x",
            "host": AUTHORITY,
            "prefix": PREFIX,
            "kind": "unsafe",
            "timeout_ms": timeout_ms,
            "target_duration_ms": target_duration_ms,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 1.6,
        }

    async def start(self) -> None:
        """Starts all, and waits until each host is ready.

        Raises:
            CannotRunError: A host isn't ready in time.
        """
        await self.store.start()
        self._put_configuration()
        for worker in self.workers:
            await worker.start(self.store)
        seeds = [host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(self.store.address, seeds)
            host.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all([await host.is_ready() for host in self.hosts]):
            if time.monotonic() > deadline:
                raise CannotRunError("the hosts aren't ready in time")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        self.record.add("ready", hosts=len(self.hosts))

    def _put_configuration(self) -> None:
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "enforces_capacity": True,
            "standby": False,
        }
        limits = {"max_header_bytes": 16_384, "max_body_bytes": 262_144}
        document = {
            "version": 7,
            "routes": [self._route],
            "services": [service],
            "limits": limits,
        }
        data = json.dumps(document).encode()
        self.store.put("op", "config", base64.b64encode(data).decode())

    async def leader(self) -> Host:
        """Returns the host that leads.

        Raises:
            CannotRunError: Not exactly one does.
        """
        leading = [host for host in self.hosts if await host.leads()]
        if len(leading) != 1:
            raise CannotRunError(f"{len(leading)} hosts lead")
        return leading[0]

    async def submit(
        self,
        host: Host,
        job: str,
        *,
        count: int,
        run_s: float,
        wait_s: float,
        cpu: int = TASK_CPU,
        label: str = "",
    ) -> web.Response:
        """Sends a job that needn't be kept, and returns its answer."""
        step: dict[str, object] = {
            "count": count,
            "cpu": cpu,
            "mem_mb": 64,
            "estimate_ms": round(run_s * 1_000),
        }
        if label:
            step["required_label"] = label
        body = {
            "spec": f"{run_s} {cpu} {label}".strip(),
            "steps": [step],
            "best_effort": True,
        }
        self.record.add("send", job=job, host=host.name, tasks=count)
        response = await web.call(
            host.front,
            "POST",
            PREFIX + job,
            headers={
                "host": AUTHORITY,
                "content-type": "application/json",
                "x-request-deadline": str(round(wait_s * 1_000)),
            },
            body=json.dumps(body).encode(),
            timeout_s=wait_s,
        )
        text = response.body.decode().replace(" ", "")
        self.record.add(
            "answer", job=job, host=host.name, status=response.status, body=text
        )
        return response

    async def cancel(self, host: Host, job: str) -> web.Response:
        """Cancels a job, and returns the answer to that."""
        self.record.add("cancel", job=job, host=host.name)
        response = await web.call(
            host.front,
            "DELETE",
            PREFIX + job,
            headers={"host": AUTHORITY},
            timeout_s=2.0,
        )
        self.record.add(
            "cancel_answer", job=job, host=host.name, status=response.status
        )
        return response

    def close(self) -> None:
        """Ends all processes and stand-ins."""
        for host in self.hosts:
            host.end()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            pathlib.Path(kept).mkdir(parents=True, exist_ok=True)
            for host in self.hosts:
                target = pathlib.Path(kept) / host.log.name
                target.write_bytes(host.log.read_bytes())
        for worker in self.workers:
            worker.close()
        self.store.close()
        self._temporary.cleanup()


def has_trouble() -> bool:
    """Returns whether the case makes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def finish(broken: bool) -> None:
    """Ends the program with the exit code that says whether the rule held."""
    print("the rule was broken" if broken else "the rule held")
    sys.exit(_BROKEN_EXIT_CODE if broken else 0)
