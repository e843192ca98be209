"""Composition root of a host: creates its parts and runs them."""

import asyncio
import contextlib
import logging
import random
import secrets
import signal
import socket

from godwitnotch import event_ring
from godwitnotch import log
from godwitnotch import metrics
from godwitnotch import process
from godwitnotch import settings as settings_module
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host as host_module
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import scheduler
from godwitnotch.net import caller_api
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import listeners
from godwitnotch.net import peer_links
from godwitnotch.net import platform_client
from godwitnotch.net import runtime as runtime_module
from godwitnotch.net import upstream_client

# Minimum time between the start of a drain and the closing of connections, so
# that the load balancer notices that the host isn't ready.
MIN_DRAIN_S = 2.0
# Time after the drain deadline to write the last outcomes.
OUTCOME_WRITE_GRACE_S = 3.0
# Time for the host core to answer the aborted jobs.
ABORT_GRACE_S = 1.0
# Time for the last answers to reach their callers.
LAST_ANSWERS_GRACE_S = 2.0

_RANDOM_SEED_BITS = 128


async def run_host(settings: settings_module.HostSettings) -> None:
    """Runs a host until it has drained after SIGTERM.

    A second SIGTERM, or the drain deadline, aborts the remaining jobs.

    Raises:
        OSError: A listening address can't be bound.
    """
    log.configure(level=settings.log_level)
    host = await start_host(settings)
    signals = _SignalHandler(host, settings.limits.drain_timeout_s)
    drained = asyncio.create_task(_wait_drained(host))
    aborted = asyncio.create_task(signals.abort.wait())
    await asyncio.wait((drained, aborted), return_when=asyncio.FIRST_COMPLETED)
    if signals.abort.is_set():
        host.log_abort("second_signal")
        await host.abort_jobs()
    drained.cancel()
    aborted.cancel()
    await host.close()
    log.event("host_exited", host=settings.host)


async def start_host(settings: settings_module.HostSettings) -> "Host":
    """Starts a host on the running event loop.

    Raises:
        OSError: A listening address can't be bound.
    """
    host = Host(settings)
    await host.start()
    return host


class Host:
    """A host: creates its parts and connects them.

    Args:
        settings: Settings of the host.
    """

    def __init__(self, settings: settings_module.HostSettings) -> None:
        self._settings = settings
        self._metrics = metrics.Metrics()
        self._event_ring = event_ring.EventRing(
            max_notes=settings.limits.event_ring_events
        )
        self._loop = asyncio.get_running_loop()
        self._loop.set_exception_handler(
            process.loop_exception_handler(self._record_fault)
        )
        self._peer_socket = listeners.bind(
            settings.peers.ip, settings.peers.port
        )
        self._identity = self._make_identity()
        self._core = self._make_core()
        self._links = self._make_links()
        self._platform = platform_client.PlatformClient(str(settings.platform))
        self._upstreams = upstream_client.UpstreamClient()
        self._runtime = runtime_module.HostRuntime(
            core=self._core,
            identity=self._identity,
            clients=runtime_module.Clients(
                self._platform, self._upstreams, self._links
            ),
            on_note=self._record_note,
            on_fault=self._record_fault,
        )
        self._server = self._make_server()
        self._callers_port = 0
        self._aborted_jobs = 0

    @property
    def runtime(self) -> runtime_module.HostRuntime:
        """The runtime that executes the actions of the host core."""
        return self._runtime

    @property
    def aborted_jobs(self) -> int:
        """Number of jobs that were aborted at the end of a drain."""
        return self._aborted_jobs

    @property
    def callers(self) -> settings_module.Address:
        """Address that serves callers and operators."""
        return settings_module.Address(
            self._settings.callers.ip, self._callers_port
        )

    async def start(self) -> None:
        """Starts to listen, then starts the host core."""
        await self._links.start(self._peer_socket)
        self._callers_port = await self._server.start(
            self._settings.callers.ip, self._settings.callers.port
        )
        self._runtime.start()
        log.event(
            "host_started",
            host=self._identity.host,
            domain=self._identity.domain,
            incarnation=self._identity.incarnation,
            callers=self.callers,
            peers=_bound_address(self._peer_socket, self._settings.peers.ip),
            advertised=self._identity.address,
        )

    def drain(self, *, deadline: float) -> None:
        """Starts a graceful shutdown.

        Args:
            deadline: Loop time at which the remaining jobs are aborted.
        """
        self._runtime.drain(deadline=deadline)

    async def wait_draining(self) -> float:
        """Waits until a drain starts; returns its deadline as loop time."""
        return await self._runtime.wait_draining()

    async def wait_drained(self) -> None:
        """Waits until the drain is complete."""
        await self._runtime.wait_stopped()

    async def abort_jobs(self) -> None:
        """Aborts the remaining jobs and answers their callers."""
        self.drain(deadline=self._loop.time())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ABORT_GRACE_S):
                await self.wait_drained()

    def log_abort(self, cause: str) -> None:
        """Logs the cause of an abort and the numbers of unfinished operations.

        These are jobs, attempts, forwarded calls and unwritten outcomes.
        """
        status = self._core.status
        log.event(
            "shutdown_cut",
            severity=logging.WARNING,
            cause=cause,
            jobs=status.jobs + self._aborted_jobs,
            attempts=status.attempts,
            forwards=status.forwards,
            unwritten_outcomes=status.unwritten_outcomes,
        )

    async def close(self) -> None:
        """Sends the last answers and closes all connections."""
        await self._server.stop(
            deadline=self._loop.time() + LAST_ANSWERS_GRACE_S
        )
        await self._links.close()
        await self._runtime.close()
        await self._upstreams.close()
        await self._platform.close()

    def _make_identity(self) -> model.HostEntry:
        bound = _bound_address(self._peer_socket, self._settings.peers.ip)
        return model.HostEntry(
            host=self._settings.host,
            domain=self._settings.domain,
            incarnation=process.new_incarnation(),
            address=str(self._settings.advertised or bound),
        )

    def _make_core(self) -> host_module.HostCore:
        rng = random.Random(secrets.randbits(_RANDOM_SEED_BITS))
        return host_module.HostCore(
            identity=self._identity,
            issuer=ids.IdIssuer(secret=self._settings.secret),
            scheduler=scheduler.create(
                self._settings.policy,
                host=self._identity.host,
                domain=self._identity.domain,
                rng=rng,
            ),
            rng=rng,
            limits=self._settings.limits.host,
        )

    def _make_links(self) -> peer_links.PeerLinks:
        return peer_links.PeerLinks(
            hello=messages.Hello(
                messages.PROTOCOL_VERSION,
                self._identity.host,
                self._identity.domain,
                self._identity.incarnation,
            ),
            secret=self._settings.secret,
            heartbeat=self._core.heartbeat,
            on_event=self._on_peer_event,
            on_note=self._record_note,
            rng=random.Random(secrets.randbits(_RANDOM_SEED_BITS)),
        )

    def _make_server(self) -> http_server.HttpServer:
        limits = self._settings.limits
        api = caller_api.CallerApi(
            self._runtime,
            operator_token_sha256=self._settings.operator_token_sha256,
            counts=self._metrics,
            ring=self._event_ring,
            drain_timeout_s=limits.drain_timeout_s,
        )
        return http_server.HttpServer(
            api.handle,
            limits=http_types.HttpLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                receive_timeout_s=limits.receive_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
                max_connections=limits.max_connections,
            ),
        )

    def _on_peer_event(self, event: events.LinkEvent) -> None:
        if not isinstance(event, events.LeasedPeerSaid):
            self._runtime.feed_peer(event)

    def _record_note(self, note: actions.Note) -> None:
        log.note(note)
        self._aborted_jobs += note.event == "job_cut"
        self._metrics.count_note(note)
        self._event_ring.add(note, now=self._loop.time())

    def _record_fault(self, where: str, error: BaseException) -> None:
        self._metrics.count_note(actions.Note("internal_fault"))
        process.log_fault(where, error)


class _SignalHandler:
    """Starts a drain on SIGTERM or SIGINT, and an abort on a second signal."""

    def __init__(self, host: Host, drain_timeout_s: float) -> None:
        self.abort = asyncio.Event()
        self._host = host
        self._drain_timeout_s = drain_timeout_s
        self._loop = asyncio.get_running_loop()
        self._signalled = False
        for signum in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signum, self._on_signal)

    def _on_signal(self) -> None:
        if self._signalled:
            self.abort.set()
            return
        self._signalled = True
        self._host.drain(deadline=self._loop.time() + self._drain_timeout_s)


async def _wait_drained(host: Host) -> None:
    """Waits until a drain is complete or has timed out."""
    deadline = await host.wait_draining()
    try:
        async with asyncio.timeout_at(deadline + OUTCOME_WRITE_GRACE_S):
            await asyncio.gather(
                host.wait_drained(), asyncio.sleep(MIN_DRAIN_S)
            )
    except TimeoutError:
        host.log_abort("drain_deadline")
        return
    if host.aborted_jobs:
        host.log_abort("drain_deadline")


def _bound_address(listener: socket.socket, ip: str) -> settings_module.Address:
    return settings_module.Address(ip, listener.getsockname()[1])
