"""Passes events to the host core and executes the resulting actions."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host as host_module
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import directory_watch
from godwitnotch.net import fallback_answers
from godwitnotch.net import peer_link
from godwitnotch.net import platform_client
from godwitnotch.net import runtime_port
from godwitnotch.net import store_client

ANSWER_GRACE_S = 5.0  # Time for the host core to answer past a call's deadline.
ANSWER_TIMEOUT_S = 15.0  # Time to answer a call without a deadline.

OnNote = Callable[[actions.Note], None]
OnFault = Callable[[str, BaseException], None]


class Core(Protocol):
    """The host core, as `core.host.HostCore` provides it."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this host."""

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """The applied workspace settings."""

    @property
    def status(self) -> host_module.HostStatus:
        """A summary of the state of the host."""

    def handle(
        self, event: events.Event, *, now: float
    ) -> list[actions.Action]:
        """Handles one event; returns the actions to execute."""

    def next_deadline(self) -> float | None:
        """Returns when `TimePassed` is due next, or None."""


class Upstreams(Protocol):
    """Sends tasks to upstreams."""

    def update_upstreams(
        self, upstreams: Iterable[model.UpstreamEntry]
    ) -> None:
        """Replaces the list of upstreams."""

    async def send(self, action: actions.StartAttempt) -> events.AttemptEnded:
        """Sends one task; cancellation closes its connection."""


class Peers(Protocol):
    """The links to the other hosts."""

    @property
    def linked(self) -> Mapping[ids.HostId, messages.Hello]:
        """The identity that each linked peer sent in its handshake."""

    def update_hosts(self, hosts: Iterable[model.HostEntry]) -> None:
        """Replaces the list of hosts to dial."""

    def send(
        self, host: ids.HostId, message: messages.Message
    ) -> peer_link.SendResult:
        """Queues a message for a peer."""


class Clients(msgspec.Struct, frozen=True):
    """The clients and links with which the runtime executes actions."""

    platform: platform_client.Platform
    upstreams: Upstreams
    peers: Peers


class HostRuntime:
    """Runs a host core on the current event loop.

    Implements `runtime_port.RuntimePort`.

    Args:
        core: Host core.
        identity: Directory entry of this host.
        clients: Clients and links with which actions are executed.
        on_note: Called with notes for the log, the event ring and the
            counters.
        on_fault: Called with a description of the operation and its unexpected
            exception.
    """

    def __init__(
        self,
        *,
        core: Core,
        identity: model.HostEntry,
        clients: Clients,
        on_note: OnNote,
        on_fault: OnFault,
    ) -> None:
        self._core = core
        self._identity = identity
        self._upstreams = clients.upstreams
        self._peers = clients.peers
        self._on_note = on_note
        self._on_fault = on_fault
        self._loop = asyncio.get_running_loop()
        self._store_client = store_client.StoreClient(
            clients.platform, self._loop
        )
        self._call_ids = itertools.count(1)
        self._pending_answers: dict[
            ids.CallId, asyncio.Future[runtime_port.Answer]
        ] = {}
        self._attempt_tasks: dict[ids.AttemptId, asyncio.Task[Any]] = {}
        self._running_by_upstream: Counter[ids.UpstreamId] = Counter()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._directory_watcher = directory_watch.DirectoryWatcher(
            identity=identity,
            platform=clients.platform,
            send_peer=clients.peers.send,
            on_directory=self._apply_directory,
            on_note=on_note,
        )
        self._store_up = True
        self._draining: asyncio.Future[float] = self._loop.create_future()
        self._stopped = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this host."""
        return self._core.ready

    @property
    def configs(self) -> Mapping[ids.WorkspaceId, model.WorkspaceConfig]:
        """The workspace settings that this host has applied."""
        return self._core.configs

    def now(self) -> float:
        """Returns the loop time in seconds."""
        return self._loop.time()

    def start(self) -> None:
        """Starts the host core, and the periodic tasks for the directory."""
        self.feed(events.TimePassed())
        for interval_s, operation in (
            (directory_watch.READ_INTERVAL_S, self._directory_watcher.read),
            (
                directory_watch.REGISTER_INTERVAL_S,
                self._directory_watcher.register,
            ),
        ):
            self._spawn(
                self._run_periodically(interval_s, operation),
                self._report_exception,
            )

    async def wait_draining(self) -> float:
        """Waits for a drain to start; returns its deadline, a loop time."""
        return await asyncio.shield(self._draining)

    async def wait_stopped(self) -> None:
        """Waits until the host core has stopped."""
        await self._stopped.wait()

    async def close(self) -> None:
        """Cancels all tasks that are still running."""
        if self._timer is not None:
            self._timer.cancel()
        pending = tuple(self._tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    def drain(self, *, deadline: float) -> None:
        """Starts a drain; the earliest given deadline applies."""
        if not self._draining.done():
            self._draining.set_result(deadline)
            self._identity = msgspec.structs.replace(
                self._identity, leaving=True
            )
            self._spawn(
                self._directory_watcher.register_leaving(self._identity),
                self._report_exception,
            )
        self.feed(events.DrainAsked(deadline))

    def status(self) -> runtime_port.HostStatus:
        """Returns the state of this host."""
        status = self._core.status
        draining = status.state not in (
            host_module.HostState.STARTING,
            host_module.HostState.SERVING,
        )
        return runtime_port.HostStatus(
            entry=self._identity,
            ready=self._core.ready,
            draining=draining,
            store_up=self._store_up,
            jobs=status.jobs,
            running_tasks=len(self._attempt_tasks),
            queued_tasks=status.queued_tasks,
            peers=self._peer_statuses(),
            upstreams=self._upstream_statuses(),
        )

    async def ask(
        self, make_event: runtime_port.EventFactory
    ) -> runtime_port.Answer:
        """Passes a new call's event to the host core; awaits the answer."""
        call = ids.CallId(next(self._call_ids))
        event = make_event(call)
        answer_future: asyncio.Future[runtime_port.Answer] = (
            self._loop.create_future()
        )
        self._pending_answers[call] = answer_future
        self.feed(event)
        try:
            async with asyncio.timeout_at(self._answer_deadline(event)):
                return await answer_future
        except TimeoutError:
            self._on_note(actions.Note("call_overdue"))
            return fallback_answers.fallback_answer(event, call)
        finally:
            del self._pending_answers[call]
            if not answer_future.done() or answer_future.cancelled():
                self.feed(events.CallerGone(call))

    def feed_peer(self, event: events.Event) -> None:
        """Passes a peer event to the directory watcher or the host core."""
        if not self._directory_watcher.handle_peer_event(event):
            self.feed(event)

    def feed(self, event: events.Event) -> None:
        """Passes an event to the host core; executes the resulting actions."""
        try:
            resulting_actions = self._core.handle(event, now=self._loop.time())
        except Exception as error:
            self._on_fault(f"handling {type(event).__name__}", error)
            self._reply_after_fault(event)
            resulting_actions = []
        for action in resulting_actions:
            self._execute(action)
        self._set_timer()

    def _answer_deadline(self, event: events.Event) -> float:
        deadline = getattr(event, "deadline", None)
        if deadline is None:
            return self._loop.time() + ANSWER_TIMEOUT_S
        return float(deadline) + ANSWER_GRACE_S

    def _reply_after_fault(self, event: events.Event) -> None:
        call = getattr(event, "call", None)
        if call in self._pending_answers and not isinstance(
            event, events.CallerGone
        ):
            self._answer(call, fallback_answers.fallback_answer(event, call))

    def _execute(self, action: actions.Action) -> None:
        try:
            _EXECUTORS[type(action)](self, action)
        except Exception as error:
            self._on_fault(f"executing {type(action).__name__}", error)

    def _report_too_large(self, action: actions.SendPeer) -> None:
        """Reports a job or answer that is too large to forward as an error."""
        match action.message:
            case messages.ForwardReply(call=call, answer=answer):
                short_answer = fallback_answers.answer_too_large(answer)
                self._peers.send(
                    action.host, messages.ForwardReply(call, short_answer)
                )
            case messages.ForwardSubmit(call=call, submission=submission):
                reply = messages.ForwardReply(
                    call, fallback_answers.job_too_large(submission)
                )
                reply_event = events.PeerSaid(action.host, reply)
                self._loop.call_soon(self.feed, reply_event)

    def _set_timer(self) -> None:
        """Sets the timer to the next deadline unless an earlier time is set."""
        deadline = self._core.next_deadline()
        if deadline is None or self._stopped.is_set():
            return
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.feed(events.TimePassed())

    def _answer(self, call: ids.CallId, answer: runtime_port.Answer) -> None:
        """Passes an answer to its caller unless the caller is gone."""
        answer_future = self._pending_answers.get(call)
        if answer_future is not None and not answer_future.done():
            answer_future.set_result(answer)

    def _spawn(
        self,
        operation: Coroutine[Any, Any, Any],
        on_done: Callable[[asyncio.Task[Any]], None],
    ) -> asyncio.Task[Any]:
        task = self._loop.create_task(operation)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(on_done)
        return task

    def _report_exception(self, task: asyncio.Task[Any]) -> None:
        """Reports an exception of a background task as a fault."""
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_fault("background task", error)

    def _attempt_done(
        self, action: actions.StartAttempt, task: asyncio.Task[Any]
    ) -> None:
        del self._attempt_tasks[action.attempt]
        self._running_by_upstream[action.upstream] -= 1
        if task.cancelled():
            ended = events.AttemptEnded(
                action.attempt, model.AttemptOutcome.ABORTED
            )
        elif (error := task.exception()) is not None:
            self._on_fault("attempt", error)
            ended = events.AttemptEnded(
                action.attempt, model.AttemptOutcome.BROKE_OFF
            )
        else:
            ended = task.result()
        self._note_attempt("task_ended", action, ended.outcome)
        self.feed(ended)

    def _note_attempt(
        self,
        event: str,
        action: actions.StartAttempt,
        outcome: model.AttemptOutcome | None = None,
    ) -> None:
        detail = f"task={action.task_index} upstream={action.upstream}"
        self._on_note(actions.Note(event, action.submission, outcome, detail))

    def _spawn_store_call(
        self,
        call: ids.StoreCallId,
        operation: Coroutine[Any, Any, events.Event],
    ) -> None:
        def done(task: asyncio.Task[Any]) -> None:
            self.feed(self._store_event(call, task))

        self._spawn(operation, done)

    def _store_event(
        self, call: ids.StoreCallId, task: asyncio.Task[Any]
    ) -> events.Event:
        if task.cancelled():
            return events.StoreFailed(call, uncertain=True)
        error = task.exception()
        self._store_up = error is None
        if error is None:
            result: events.Event = task.result()
            return result
        if isinstance(error, platform_client.PlatformUnavailable):
            self._on_note(actions.Note("store_call_failed"))
            return events.StoreFailed(call, uncertain=error.uncertain)
        self._on_fault("table service", error)
        return events.StoreFailed(call, uncertain=True)

    async def _run_periodically(
        self,
        interval_s: float,
        operation: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Repeats an operation until cancelled, and reports its exceptions."""
        while True:
            started_at = self._loop.time()
            try:
                await operation()
            except asyncio.CancelledError as error:
                # The operation also raises this error if a future that it
                # awaits is cancelled.
                if _is_cancelled():
                    raise
                self._on_fault(operation.__name__, error)
            except Exception as error:
                self._on_fault(operation.__name__, error)
            elapsed_s = self._loop.time() - started_at
            await asyncio.sleep(max(0.0, interval_s - elapsed_s))

    def _apply_directory(self, directory: model.Directory) -> None:
        self._upstreams.update_upstreams(directory.upstreams)
        self._peers.update_hosts(directory.hosts)
        self.feed(events.DirectorySeen(directory))

    def _peer_statuses(self) -> tuple[runtime_port.PeerStatus, ...]:
        linked = self._peers.linked
        domains = {
            entry.host: entry.domain
            for entry in self._directory_watcher.directory.hosts
            if entry.host != self._identity.host
        }
        domains |= {host: hello.domain for host, hello in linked.items()}
        return tuple(
            runtime_port.PeerStatus(host, domain, host in linked)
            for host, domain in sorted(domains.items())
        )

    def _upstream_statuses(self) -> tuple[runtime_port.UpstreamStatus, ...]:
        return tuple(
            runtime_port.UpstreamStatus(
                entry.upstream,
                entry.domain,
                entry.slots,
                self._running_by_upstream[entry.upstream],
                entry.leaving,
            )
            for entry in self._directory_watcher.directory.upstreams
        )


def _is_cancelled() -> bool:
    """Returns whether cancellation of the running task was requested."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


_ActionExecutor = Callable[[HostRuntime, Any], None]
_EXECUTORS: dict[type, _ActionExecutor] = {}


def _executes(kind: type) -> Callable[[_ActionExecutor], _ActionExecutor]:
    """Registers the function that executes one type of action."""

    def register(executor: _ActionExecutor) -> _ActionExecutor:
        _EXECUTORS[kind] = executor
        return executor

    return register


@_executes(actions.Reply)
@_executes(actions.ReplyReserved)
@_executes(actions.ReplyConfig)
def _reply(runtime: HostRuntime, action: runtime_port.Answer) -> None:
    runtime._answer(action.call, action)


@_executes(actions.SendPeer)
def _send_peer(runtime: HostRuntime, action: actions.SendPeer) -> None:
    result = runtime._peers.send(action.host, action.message)
    if result is peer_link.SendResult.TOO_LARGE:
        runtime._report_too_large(action)


@_executes(actions.StartAttempt)
def _start_attempt(runtime: HostRuntime, action: actions.StartAttempt) -> None:
    def done(task: asyncio.Task[Any]) -> None:
        runtime._attempt_done(action, task)

    runtime._running_by_upstream[action.upstream] += 1
    runtime._note_attempt("task_sent", action)
    operation = runtime._upstreams.send(action)
    runtime._attempt_tasks[action.attempt] = runtime._spawn(operation, done)


@_executes(actions.AbortAttempt)
def _abort_attempt(runtime: HostRuntime, action: actions.AbortAttempt) -> None:
    task = runtime._attempt_tasks.get(action.attempt)
    if task is not None:
        task.cancel()


@_executes(actions.StoreTransact)
def _transact(runtime: HostRuntime, action: actions.StoreTransact) -> None:
    runtime._spawn_store_call(
        action.call, runtime._store_client.transact(action)
    )


@_executes(actions.StoreRead)
def _read(runtime: HostRuntime, action: actions.StoreRead) -> None:
    runtime._spawn_store_call(action.call, runtime._store_client.read(action))


@_executes(actions.StoreScan)
def _scan(runtime: HostRuntime, action: actions.StoreScan) -> None:
    runtime._spawn_store_call(action.call, runtime._store_client.scan(action))


@_executes(actions.Note)
def _note(runtime: HostRuntime, action: actions.Note) -> None:
    runtime._on_note(action)


@_executes(actions.Stopped)
def _stopped(runtime: HostRuntime, action: actions.Stopped) -> None:
    runtime._stopped.set()
