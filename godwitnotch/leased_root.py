"""Composition root of a host on the users' platform."""

import asyncio
import hashlib
import random
import secrets
import signal
import socket
import sys
import time
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from godwitnotch import leased_metrics
from godwitnotch import log
from godwitnotch import log_streams
from godwitnotch import process
from godwitnotch.core import events as peer_events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import capacity
from godwitnotch.core.leased import events
from godwitnotch.core.leased import host as host_module
from godwitnotch.core.leased import locality
from godwitnotch.core.leased import model
from godwitnotch.net import explain_api
from godwitnotch.net import http_client
from godwitnotch.net import http_server
from godwitnotch.net import http_types
from godwitnotch.net import leased_api
from godwitnotch.net import leased_calls
from godwitnotch.net import leased_runtime
from godwitnotch.net import leased_store
from godwitnotch.net import link_limits
from godwitnotch.net import listeners
from godwitnotch.net import peer_links
from godwitnotch.platform import configuration as configuration_module
from godwitnotch.platform import settings as settings_module
from godwitnotch.platform import store as store_module

# The platform routes new connections to a host until two readiness checks have
# failed, so a draining host keeps accepting connections for this long.
MIN_DRAIN_S = 2.6
# Part of the time between SIGTERM and SIGKILL that is reserved for closing.
EXIT_RESERVE_S = 0.8
# Callers have their answers so long before the connections are aborted.
DRAIN_ANSWER_MARGIN_S = 0.4
# Callers without an answer get one at this last moment, if the host was late.
LAST_TICK_MARGIN_S = 0.1
# On exit, open requests get at least this time to finish. After that, the host
# waits at most this time for its deregistration.
CLOSE_GRACE_S = 0.5
IDLE_TIMEOUT_S = 60.0
RECEIVE_TIMEOUT_S = 3.0
MAX_CONNECTIONS = 2_000
# A host with more capacity has a higher rank and is preferred as leader.
RUNS_PER_S_PER_RANK = 10
LOG_DELAY_S = 0.05  # Lines of this time are written together.
MAX_LOG_LINES_PER_WINDOW = 250  # For each log event.
DROPPED_LINES_REPORT_INTERVAL_S = 0.5

LINK_LIMITS = link_limits.PeerLimits(
    heartbeat_interval_s=0.13,
    max_heartbeats_per_s=80.0,
    silence_timeout_s=0.45,
    connect_timeout_s=0.6,
    handshake_timeout_s=2.0,
    min_backoff_s=0.05,
    max_backoff_s=0.8,
    higher_id_delay_s=0.15,
    max_peer_dial_wait_s=1.0,
    close_timeout_s=0.3,
)


async def run_host(settings: settings_module.PlatformSettings) -> None:
    """Runs a host until it has drained after SIGTERM.

    Raises:
        OSError: A listening address can't be bound.
    """
    loop = asyncio.get_running_loop()
    output = log_streams.NonBlockingStream(
        sys.stdout.fileno(), keeps=lambda line: not log.is_routine(line)
    )
    stream = log_streams.BatchingStream(
        output,
        call_later=lambda write: loop.call_later(LOG_DELAY_S, write),
    )
    log.configure(stream=stream, max_lines_per_window=MAX_LOG_LINES_PER_WINDOW)

    def report_dropped() -> None:
        loop.call_later(DROPPED_LINES_REPORT_INTERVAL_S, report_dropped)
        log.report_dropped()
        output.report_dropped()

    report_dropped()
    try:
        host = LeasedHost(
            settings,
            dropped_lines=lambda: log.dropped_lines() + output.dropped_lines,
        )
        await host.start()
        await host.wait_drained()
        await host.close()
        log.event("host_exited", host=settings.name)
    finally:
        stream.write_batch()


class LeasedHost:
    """A host on the platform: creates its parts and connects them.

    Args:
        settings: Settings that the platform gives this process.
        dropped_lines: Returns how many lines the log has dropped so far.
    """

    def __init__(
        self,
        settings: settings_module.PlatformSettings,
        *,
        dropped_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._dropped_lines = dropped_lines
        self._loop = asyncio.get_running_loop()
        self._loop.set_exception_handler(
            process.loop_exception_handler(self._record_fault)
        )
        self._metrics = leased_metrics.LeasedMetrics()
        self._rng = random.Random(secrets.randbits(128))
        self._identity = model.KnownHost(settings.peers, settings.domain)
        runs_per_s = capacity.HostCapacity(
            settings.relative_cpu_speed, settings.link_mbps
        ).runs_per_s
        self._core = host_module.LeasedHost(
            host=settings.peers,
            domain=settings.domain,
            rank=round(runs_per_s / RUNS_PER_S_PER_RANK),
            unix_time=time.time,
            now=self._loop.time(),
            runs_per_s=runs_per_s,
            racks=locality.Racks(settings.slowdown_factor),
        )
        self._links = self._make_links()
        self._order_client = leased_calls.OrderClient(
            on_unreadable=self._record_unreadable
        )
        self._runtime = leased_runtime.LeasedRuntime(
            core=self._core,
            identity=self._identity,
            links=self._links,
            order_client=self._order_client,
            on_decided=self._record_decision,
            on_fault=self._record_fault,
            on_leader_tick=self._metrics.record_leader_tick,
        )
        self._store_client = http_client.HttpClient(
            max_idle_s=5.0, connect_timeout_s=0.5
        )
        self._store_watcher = leased_store.StoreWatcher(
            store_module.Store(settings.store, self._store_client),
            self._identity,
            self._runtime,
            rng=self._rng,
            count=self._metrics.count_event,
        )
        self._explain_api = explain_api.ExplainApi(self._runtime)
        self._servers = {
            settings.callers: self._make_server(
                leased_api.LeasedApi(self).handle
            ),
            settings.ready: self._make_server(self._handle_ready),
            self._metrics_address(): self._make_server(self._handle_operators),
        }
        self._draining = asyncio.Event()
        self._abort_at = 0.0

    @property
    def configuration(self) -> configuration_module.Configuration | None:
        """Configuration that this host has applied; None if it has none."""
        return self._runtime.configuration

    @property
    def callers(self) -> str:
        """Address that serves callers."""
        return self._settings.callers

    @property
    def ready(self) -> bool:
        """Whether this host can serve callers."""
        return self._runtime.ready

    @property
    def leads(self) -> bool:
        """Whether this host is the leader."""
        return self._core.leads

    async def start(
        self, bound: Mapping[str, socket.socket] | None = None
    ) -> None:
        """Starts to listen, then starts the host core.

        Args:
            bound: Listening sockets by address, where the caller has already
                bound them; this host binds the other addresses itself.

        Raises:
            OSError: A listening address can't be bound.
        """
        bound = bound or {}
        await self._links.start(
            bound.get(self._settings.peers)
            or listeners.bind_address(self._settings.peers)
        )
        for address, server in self._servers.items():
            await server.start_on(
                bound.get(address) or listeners.bind_address(address)
            )
        for signum in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signum, self._start_drain)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._runtime.start(
            read_upstreams=self._store_watcher.refresh_upstreams
        )
        self._runtime.add_hosts(
            model.KnownHost(seed, ids.DomainId(""))
            for seed in self._settings.seeds
        )
        for coroutine in (
            self._store_watcher.watch_configuration(),
            self._store_watcher.watch_upstreams(),
            self._store_watcher.watch_hosts(),
        ):
            self._runtime.spawn(coroutine)
        log.event(
            "host_started",
            host=self._settings.name,
            id=self._settings.peers,
            domain=self._settings.domain,
            cores=self._settings.relative_cpu_speed,
            slowdown_factor=self._settings.slowdown_factor,
        )
        _log_defaulted(self._settings)

    async def wait_drained(self) -> None:
        """Waits until a drain starts, then for `MIN_DRAIN_S`."""
        await self._draining.wait()
        await asyncio.sleep(MIN_DRAIN_S)

    async def close(self) -> None:
        """Lets open requests finish, then closes all connections.

        Requests that are open shortly before SIGKILL are aborted.
        """
        deregistration = asyncio.create_task(self._store_watcher.deregister())
        deadline = max(self._loop.time() + CLOSE_GRACE_S, self._abort_at)
        await asyncio.gather(
            *(
                server.stop(deadline=deadline)
                for server in self._servers.values()
            )
        )
        log.event("drain_done", jobs_cut=self._core.open_jobs)
        await self._links.close()
        await asyncio.wait((deregistration,), timeout=CLOSE_GRACE_S)
        await self._runtime.close()
        await self._order_client.close()
        await self._store_client.close()

    async def run_job(
        self, request: model.JobRequest, *, deadline: float
    ) -> model.Answer:
        """Runs a job and returns its answer.

        Args:
            request: The job.
            deadline: Loop time at which the caller gives up.
        """
        started_at = self._loop.time()
        answer = await self._runtime.run_job(request, deadline=deadline)
        elapsed_s = self._loop.time() - started_at
        self._metrics.count_answer(answer, latency_s=elapsed_s)
        return answer

    async def cancel_job(self, name: model.JobName) -> bool:
        """Cancels a job; returns whether it won't be started any more."""
        return await self._runtime.cancel_job(name)

    def log_received(
        self, job: model.JobRequest, wait_s: float, version: int
    ) -> None:
        """Logs a valid job that a caller has sent."""
        tasks = job.tasks
        detail = (
            f"route={job.settings.route} tasks={tasks.count} "
            f"cpu_millis={tasks.needs.cpu_millis} "
            f"estimate_ms={tasks.estimate_ms:g} "
            f"stretch={job.settings.stretch:g} "
            f"target_ms={job.settings.target_ms:g} wait_s={wait_s:.3f} "
            f"version={version}"
        )
        self._record_decision(
            actions.Decided("job_received", job.job, "", detail)
        )

    def record_refusal(
        self, job_name: str, reason: model.EndReason, detail: str
    ) -> None:
        """Counts and logs a request that is refused without the host core."""
        self._record_decision(
            actions.Decided("request_refused", job_name, reason.value, detail)
        )

    def pending(self) -> int:
        """Returns how many jobs wait for a first run; 0 if not the leader."""
        return self._core.waiting_jobs

    def _make_links(self) -> peer_links.PeerLinks:
        return peer_links.PeerLinks(
            hello=messages.Hello(
                messages.PROTOCOL_VERSION,
                self._settings.peers,
                self._settings.domain,
                process.new_incarnation(),
            ),
            # The platform gives hosts no secret, so peers only prove that they
            # use the same store.
            secret=hashlib.sha256(self._settings.store.encode()).digest(),
            heartbeat=self._make_heartbeat,
            on_event=self._on_peer_event,
            on_note=self._record_note,
            rng=self._rng,
            limits=LINK_LIMITS,
        )

    def _make_server(
        self, handler: http_types.Handler
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            handler,
            limits=http_types.HttpLimits(
                max_header_bytes=configuration_module.MAX_HEADER_BYTES,
                max_body_bytes=configuration_module.MAX_BODY_BYTES,
                receive_timeout_s=RECEIVE_TIMEOUT_S,
                idle_timeout_s=IDLE_TIMEOUT_S,
                max_connections=MAX_CONNECTIONS,
            ),
        )

    def _metrics_address(self) -> str:
        ip, _, _ = self._settings.callers.rpartition(":")
        return f"{ip}:{self._settings.metrics_port}"

    async def _handle_ready(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        ready = self._runtime.ready and not self._draining.is_set()
        return http_types.HttpResponse(200 if ready else 503)

    async def _handle_operators(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        """Serves the metrics, and reports on jobs that aren't sent."""
        if request.path == explain_api.PATH:
            return await self._explain_api.handle(request)
        return await self._handle_metrics(request)

    async def _handle_metrics(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        evacuated = self._core.evacuated
        evacuated_count = len(evacuated.domains) if evacuated else 0
        evacuations_version = evacuated.version if evacuated else -1
        queue = self._core.queue_figures
        gauges = (
            ("ready", float(self._runtime.ready)),
            ("leads", float(self._core.leads)),
            ("open_jobs", float(self._core.open_jobs)),
            ("waiting_jobs", float(self._core.waiting_jobs)),
            ("leader_refused_share", self._core.refused_share),
            ("processor_seconds", time.process_time()),
            ("passed_by_jobs", float(queue.passed_by_count)),
            ("unfit_free_cores", queue.unfit_cpu_millis / 1_000),
            ("faster_wait_jobs", float(queue.faster_wait_count)),
            ("held_upstreams", float(self._core.held_upstreams)),
            ("relays_active", float(self._core.relays.active)),
            ("relayed_calls", float(self._core.relays.relayed_count)),
            ("relayed_calls_lost", float(self._core.relays.lost_count)),
            ("linked_hosts", float(len(self._links.linked))),
            ("evacuated_domains", float(evacuated_count)),
            ("evacuations_version", float(evacuations_version)),
            ("log_lines_dropped", float(self._dropped_lines())),
        )
        return http_types.HttpResponse(
            200,
            self._metrics.render(gauges),
            {"content-type": leased_metrics.CONTENT_TYPE},
        )

    def _make_heartbeat(self) -> messages.Heartbeat:
        current = self._runtime.configuration
        return messages.Heartbeat(
            config_counter=current.version if current else 0,
            draining=self._draining.is_set(),
        )

    def _on_peer_event(self, event: peer_events.LinkEvent) -> None:
        self._runtime.feed_peer(event)

    def _start_drain(self) -> None:
        if not self._draining.is_set():
            log.event("drain_started", jobs=self._core.open_jobs)
            self._draining.set()
            self._abort_at = (
                self._loop.time()
                + self._settings.termination_grace_s
                - EXIT_RESERVE_S
            )
            answer_by = self._abort_at - DRAIN_ANSWER_MARGIN_S
            self._runtime.feed(events.DrainStarted(answer_by))
            # Before the connections are aborted, also after a stall.
            self._loop.call_at(
                self._abort_at - LAST_TICK_MARGIN_S,
                self._runtime.feed,
                events.Ticked(),
            )

    def _reload(self) -> None:
        """Reloads the settings file and opens links to its new seeds.

        Other changes are only logged, since they take effect at a restart.
        """
        try:
            loaded = settings_module.load(settings_module.path())
        except settings_module.PlatformSettingsError as error:
            log.event("settings_rejected", cause=error)
            return
        _log_defaulted(loaded)
        changed = loaded != self._settings
        log.event("settings_reloaded", changed=changed, seeds=len(loaded.seeds))
        self._runtime.add_hosts(
            model.KnownHost(seed, ids.DomainId("")) for seed in loaded.seeds
        )

    def _record_decision(self, decision: actions.Decided) -> None:
        self._metrics.count_event(decision.event, decision.reason)
        if decision.route:
            self._metrics.count_route_event(
                decision.event,
                decision.reason,
                decision.route,
                decision.amount,
            )
        log.decision(decision)

    def _record_note(self, note: Any) -> None:
        self._metrics.count_event(note.event, "")
        log.note(note)

    def _record_unreadable(self, upstream: ids.UpstreamId, cause: str) -> None:
        self._metrics.count_event("response_unreadable", "")
        log.event("response_unreadable", upstream=upstream, cause=cause)

    def _record_fault(self, where: str, error: BaseException) -> None:
        self._metrics.count_event("internal_fault", type(error).__name__)
        process.log_fault(where, error)


def _log_defaulted(settings: settings_module.PlatformSettings) -> None:
    for each in settings.defaulted:
        log.event(
            "setting_defaulted",
            field=each.field,
            cause=each.cause,
            default=each.default,
        )
