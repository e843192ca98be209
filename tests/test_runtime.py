"""Tests of the runtime with small fakes of the host core and the clients."""

import asyncio
import unittest
from collections.abc import Callable
from collections.abc import Iterable

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import peer_link
from godwitnotch.net import platform_client
from godwitnotch.net import runtime as runtime_module
from godwitnotch.net import runtime_port

WAIT_S = 20.0
IDENTITY = model.HostEntry(
    ids.HostId("h1"), ids.DomainId("d1"), ids.Incarnation("i1"), "127.0.0.1:1"
)
WORKSPACE = ids.WorkspaceId("orders")
SUBMISSION = ids.SubmissionId("s1")
DONE = model.JobAnswer(SUBMISSION, model.Outcome.COMPLETE, model.Ran.SOMETHING)
ATTEMPT = actions.StartAttempt(
    ids.AttemptId(1),
    ids.UpstreamId("u1"),
    "127.0.0.1:2",
    "/price",
    SUBMISSION,
    0,
    b"{}",
    100,
    0.0,
)
Handler = Callable[[events.Event], list[actions.Action]]


class FakeCore:
    """Handles each type of event with a function that the test sets."""

    ready = True

    def __init__(self) -> None:
        self.events: list[events.Event] = []
        self.handlers: dict[type, Handler] = {}
        self.deadline: float | None = None

    def handle(
        self, event: events.Event, *, now: float
    ) -> list[actions.Action]:
        self.events.append(event)
        handler = self.handlers.get(type(event))
        return handler(event) if handler else []

    def next_deadline(self) -> float | None:
        return self.deadline

    def event_types(self) -> list[type]:
        return [type(event) for event in self.events]


class FakePlatform:
    """Raises the error that the test sets, if any, in each call."""

    def __init__(self) -> None:
        self.error: BaseException | None = None
        self.registered: list[model.HostEntry] = []
        self.listed = model.Directory()

    def _fail(self) -> None:
        if self.error is not None:
            raise self.error

    async def transact(
        self, writes: object, *, deadline: float
    ) -> platform_client.Committed:
        self._fail()
        return platform_client.Committed()

    async def directory(self, *, deadline: float) -> model.Directory:
        self._fail()
        return self.listed

    async def register(
        self, entry: model.HostEntry, *, deadline: float
    ) -> None:
        self._fail()
        self.registered.append(entry)


class FakeUpstreams:
    """Raises the error that the test sets, or keeps each attempt open."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.cancelled = 0

    def update_upstreams(
        self, upstreams: Iterable[model.UpstreamEntry]
    ) -> None:
        pass

    async def send(self, action: actions.StartAttempt) -> events.AttemptEnded:
        if self.error is not None:
            raise self.error
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled += 1
        raise AssertionError


class FakePeers:
    """Records the messages that are sent."""

    linked: dict[ids.HostId, messages.Hello] = {}

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []
        self.result = peer_link.SendResult.QUEUED
        self.hosts: list[model.HostEntry] = []

    def update_hosts(self, hosts: Iterable[model.HostEntry]) -> None:
        self.hosts = list(hosts)

    def send(
        self, host: ids.HostId, message: messages.Message
    ) -> peer_link.SendResult:
        self.sent.append(message)
        return self.result


class RuntimeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = FakeCore()
        self.platform = FakePlatform()
        self.upstreams = FakeUpstreams()
        self.peers = FakePeers()
        self.notes: list[actions.Note] = []
        self.faults: list[str] = []
        self.runtime = runtime_module.HostRuntime(
            core=self.core,
            identity=IDENTITY,
            clients=runtime_module.Clients(
                self.platform, self.upstreams, self.peers
            ),
            on_note=self.notes.append,
            on_fault=lambda where, error: self.faults.append(where),
        )
        self.addAsyncCleanup(self.runtime.close)

    def return_actions(
        self, event_type: type, *returned: actions.Action
    ) -> None:
        self.core.handlers[event_type] = lambda event: list(returned)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.001)

    def status_event(self, call: ids.CallId) -> events.Event:
        return events.StatusAsked(call, WORKSPACE, SUBMISSION)

    def submit_event(self, call: ids.CallId) -> events.Event:
        body = model.JobBody(ids.TemplateName("t"), (model.TaskSpec(b"1"),))
        deadline = self.runtime.now() - runtime_module.ANSWER_GRACE_S
        return events.SubmitAsked(call, WORKSPACE, SUBMISSION, body, deadline)

    async def ask(
        self, make_event: runtime_port.EventFactory
    ) -> runtime_port.Answer:
        async with asyncio.timeout(WAIT_S):
            return await self.runtime.ask(make_event)

    async def test_each_caller_gets_its_own_answer(self) -> None:
        def handle_event(event: events.Event) -> list[actions.Action]:
            assert isinstance(event, events.StatusAsked)
            calls.append(event.call)
            if len(calls) < 2:
                return []
            return [actions.Reply(call, DONE) for call in reversed(calls)]

        calls: list[ids.CallId] = []
        self.core.handlers[events.StatusAsked] = handle_event
        first, second = await asyncio.gather(
            self.ask(self.status_event), self.ask(self.status_event)
        )
        self.assertEqual([first.call, second.call], calls)

    async def test_fault_in_the_core_is_reported_and_answered(
        self,
    ) -> None:
        self.core.handlers[events.SubmitAsked] = lambda event: [][1]
        answer = await self.ask(self.submit_event)
        assert isinstance(answer, actions.Reply)
        self.assertIs(answer.answer.outcome, model.Outcome.UNKNOWN)
        self.assertIs(answer.answer.ran, model.Ran.POSSIBLY)
        self.assertEqual(self.faults, ["handling SubmitAsked"])

    async def test_caller_without_an_answer_gets_unknown_at_the_deadline(
        self,
    ) -> None:
        answer = await self.ask(self.submit_event)
        assert isinstance(answer, actions.Reply)
        self.assertIs(answer.answer.outcome, model.Outcome.UNKNOWN)
        self.assertEqual(self.notes, [actions.Note("call_overdue")])
        self.assertIn(events.CallerGone, self.core.event_types())

    async def test_unanswered_reservation_says_that_nothing_ran(self) -> None:
        self.core.handlers[events.ReserveAsked] = lambda event: [][1]
        answer = await self.ask(
            lambda call: events.ReserveAsked(call, WORKSPACE, 1)
        )
        assert isinstance(answer, actions.Reply)
        self.assertIs(answer.answer.ran, model.Ran.NOTHING)

    async def test_caller_that_disconnects_is_reported_to_the_core(
        self,
    ) -> None:
        request = asyncio.create_task(self.runtime.ask(self.status_event))
        await self.wait_until(lambda: self.core.events)
        request.cancel()
        await self.wait_until(
            lambda: events.CallerGone in self.core.event_types()
        )

    async def test_one_failing_action_does_not_stop_the_others(self) -> None:
        self.peers.send = lambda host, message: [][1]
        send = actions.SendPeer(ids.HostId("h2"), messages.ConfigWanted())
        self.return_actions(events.TimePassed, send, actions.Note("after"))
        self.runtime.feed(events.TimePassed())
        self.assertEqual(self.faults, ["executing SendPeer"])
        self.assertEqual(self.notes, [actions.Note("after")])

    async def test_answer_too_large_for_a_link_becomes_unknown(self) -> None:
        self.peers.result = peer_link.SendResult.TOO_LARGE
        call = ids.CallId(5)
        reply = messages.ForwardReply(call, DONE)
        self.return_actions(
            events.TimePassed, actions.SendPeer(ids.HostId("h2"), reply)
        )
        self.runtime.feed(events.TimePassed())
        _, second = self.peers.sent
        assert isinstance(second, messages.ForwardReply)
        self.assertEqual(second.call, call)
        self.assertIs(second.answer.outcome, model.Outcome.UNKNOWN)
        self.assertIs(second.answer.ran, DONE.ran)

    async def test_job_too_large_for_a_link_is_answered_as_possibly_run(
        self,
    ) -> None:
        self.peers.result = peer_link.SendResult.TOO_LARGE
        peer = ids.HostId("h2")
        submit = messages.ForwardSubmit(
            ids.CallId(5),
            WORKSPACE,
            SUBMISSION,
            model.JobBody(ids.TemplateName("t"), ()),
            1.0,
        )
        self.return_actions(events.TimePassed, actions.SendPeer(peer, submit))
        self.runtime.feed(events.TimePassed())
        await self.wait_until(
            lambda: events.PeerSaid in self.core.event_types()
        )
        (event,) = [
            e for e in self.core.events if isinstance(e, events.PeerSaid)
        ]
        assert isinstance(event.message, messages.ForwardReply)
        self.assertEqual(event.message.call, submit.call)
        self.assertEqual(event.message.answer.submission, SUBMISSION)
        self.assertIs(event.message.answer.ran, model.Ran.POSSIBLY)

    async def test_aborted_attempt_ends_even_if_it_never_ran(self) -> None:
        self.return_actions(
            events.TimePassed, ATTEMPT, actions.AbortAttempt(ATTEMPT.attempt)
        )
        self.runtime.feed(events.TimePassed())
        ended = events.AttemptEnded(
            ATTEMPT.attempt, model.AttemptOutcome.ABORTED
        )
        await self.wait_until(lambda: ended in self.core.events)

    async def test_each_attempt_is_noted_when_sent_and_when_ended(
        self,
    ) -> None:
        self.upstreams.error = ZeroDivisionError()
        self.return_actions(events.TimePassed, ATTEMPT)
        self.runtime.feed(events.TimePassed())
        await self.wait_until(lambda: len(self.notes) == 2)
        self.assertEqual(
            [(note.event, note.reason) for note in self.notes],
            [
                ("task_sent", None),
                ("task_ended", model.AttemptOutcome.BROKE_OFF),
            ],
        )
        self.assertEqual(
            {note.submission for note in self.notes}, {ATTEMPT.submission}
        )

    async def test_aborted_attempt_is_cancelled(self) -> None:
        self.return_actions(events.TimePassed, ATTEMPT)
        self.runtime.feed(events.TimePassed())
        await asyncio.sleep(0)
        self.return_actions(
            events.TimePassed, actions.AbortAttempt(ATTEMPT.attempt)
        )
        self.runtime.feed(events.TimePassed())
        await self.wait_until(
            lambda: events.AttemptEnded in self.core.event_types()
        )
        self.assertEqual(self.upstreams.cancelled, 1)

    async def test_fault_in_an_attempt_counts_as_broken_off(self) -> None:
        self.upstreams.error = ZeroDivisionError()
        self.return_actions(events.TimePassed, ATTEMPT)
        self.runtime.feed(events.TimePassed())
        ended = events.AttemptEnded(
            ATTEMPT.attempt, model.AttemptOutcome.BROKE_OFF
        )
        await self.wait_until(lambda: ended in self.core.events)
        self.assertEqual(self.faults, ["attempt"])

    async def test_failed_write_reports_whether_it_is_uncertain(self) -> None:
        call = ids.StoreCallId(1)
        cases = [
            (platform_client.PlatformUnavailable("x", uncertain=False), False),
            (platform_client.PlatformUnavailable("x", uncertain=True), True),
            (ZeroDivisionError(), True),
        ]
        self.return_actions(events.TimePassed, actions.StoreTransact(call, ()))
        for error, uncertain in cases:
            self.core.events.clear()
            self.platform.error = error
            self.runtime.feed(events.TimePassed())
            failed = events.StoreFailed(call, uncertain)
            await self.wait_until(lambda: failed in self.core.events)  # noqa: B023
        self.assertEqual(self.faults, ["table service"])

    async def test_core_is_called_at_its_next_deadline(self) -> None:
        self.core.deadline = self.runtime.now() + 0.01

        def handle_event(event: events.Event) -> list[actions.Action]:
            self.core.deadline = None
            return []

        self.core.handlers[events.TimePassed] = handle_event
        self.runtime.feed(events.DirectorySeen(model.Directory()))
        await self.wait_until(
            lambda: events.TimePassed in self.core.event_types()
        )

    async def test_directory_reaches_the_core_and_the_links(self) -> None:
        self.platform.listed = model.Directory(hosts=(IDENTITY,))
        self.runtime.start()
        update = events.DirectorySeen(self.platform.listed)
        await self.wait_until(lambda: update in self.core.events)
        self.assertEqual(self.peers.hosts, [IDENTITY])
        await self.wait_until(lambda: self.platform.registered == [IDENTITY])

    async def test_directory_of_a_peer_is_used_until_the_platform_answers(
        self,
    ) -> None:
        unavailable = platform_client.PlatformUnavailable("x", uncertain=False)
        self.platform.error = unavailable
        self.runtime.start()
        peer = ids.HostId("h2")
        up = events.PeerUp(peer, ids.DomainId("d"), ids.Incarnation("i"))
        self.runtime.feed_peer(up)
        self.assertIn(up, self.core.events)
        self.assertEqual(self.peers.sent, [messages.DirectoryWanted()])
        shared = model.Directory(hosts=(IDENTITY,))
        snapshot = messages.DirectorySnapshot(shared)
        self.runtime.feed_peer(events.PeerSaid(peer, snapshot))
        self.assertIn(events.DirectorySeen(shared), self.core.events)

        self.platform.error = None
        newer = events.DirectorySeen(self.platform.listed)
        await self.wait_until(lambda: newer in self.core.events)
        self.core.events.clear()
        self.runtime.feed_peer(events.PeerSaid(peer, snapshot))
        self.assertNotIn(events.DirectorySeen(shared), self.core.events)
        wanted = events.PeerSaid(peer, messages.DirectoryWanted())
        self.runtime.feed_peer(wanted)
        answer = messages.DirectorySnapshot(self.platform.listed)
        self.assertEqual(self.peers.sent[-1], answer)

    async def test_unexpected_fault_does_not_end_the_directory_watch(
        self,
    ) -> None:
        self.platform.error = ZeroDivisionError()
        self.runtime.start()
        await self.wait_until(lambda: len(self.faults) >= 2)
        self.platform.error = None
        await self.wait_until(
            lambda: events.DirectorySeen in self.core.event_types()
        )
        await self.wait_until(lambda: self.platform.registered)

    async def test_stray_cancellation_does_not_end_the_directory_watch(
        self,
    ) -> None:
        self.platform.error = asyncio.CancelledError()
        self.runtime.start()
        await self.wait_until(lambda: self.faults)
        self.platform.error = None
        self.platform.listed = model.Directory((IDENTITY,))
        await self.wait_until(lambda: self.peers.hosts)

    async def test_drain_registers_the_host_as_leaving(self) -> None:
        self.return_actions(events.DrainAsked, actions.Stopped())
        self.runtime.drain(deadline=5.0)
        self.assertEqual(await self.runtime.wait_draining(), 5.0)
        await self.runtime.wait_stopped()
        await self.wait_until(lambda: self.platform.registered)
        self.assertTrue(self.platform.registered[0].leaving)


if __name__ == "__main__":
    unittest.main()
