"""Tests that a run counts as ended only when its end at the upstream is proven.

An upstream may restart under its id, at the same or another address. Its
responses to orders don't state when its process started; its lists do.
"""

import asyncio
import socket
import unittest
import unittest.mock

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import events
from godwitnotch.core.leased import health
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease
from godwitnotch.core.leased import lease_manager
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox
from godwitnotch.core.leased import placement
from godwitnotch.core.leased import run_times
from godwitnotch.net import http_types
from godwitnotch.net import leased_calls
from tests import leased_world

NOW = 100.0
ENTRY = model.LeasedUpstream(
    upstream=ids.UpstreamId("u"),
    address="u:1",
    domain=ids.DomainId("d"),
    service=leased_world.SERVICE,
    slots=8,
    capacity=model.Resources(8_000, 8_000, 0),
    labels=("a",),
    draining=False,
)


class _Listener:
    """Records the ends of runs; `job` owns all runs.

    Attributes:
        ended: Task and end of each run that has ended.
        rejected: Task of each rejected start.
        seen: The start time in each list of runs; None if another upstream
            answered.
        restarted: The upstreams that have restarted.
    """

    def __init__(self, job: jobs.LeasedJob) -> None:
        self._job = job
        self.ended: list[tuple[int, model.RunEnd]] = []
        self.rejected: list[int] = []
        self.seen: list[int | None] = []
        self.restarted: list[ids.UpstreamId] = []

    def adopt_run(self, key: model.RunKey) -> jobs.LeasedJob | None:
        return self._job

    def expected_s(self, job, lease) -> float:
        return 0.1

    def adopt_done_run(self, key: model.RunKey, *, now: float) -> bool:
        return True

    def run_ended(self, lease, run, end, *, now) -> None:
        self.ended.append((run.key.task.index, end))

    def order_rejected(self, lease, run, rejection, *, now) -> None:
        self.rejected.append(run.key.task.index)

    def unclaimed_run_failed(self, key, upstream, *, now) -> None:
        pass

    def upstream_seen(self, upstream, *, instance_started_ms, now) -> None:
        self.seen.append(instance_started_ms)

    def upstream_restarted(self, upstream) -> None:
        self.restarted.append(upstream)

    def higher_term_seen(self, lease, *, was_held, now) -> None:
        pass


class ManagerTest(unittest.TestCase):
    """Drives a lease manager that holds a lease on one upstream."""

    def setUp(self) -> None:
        self.job = jobs.LeasedJob(
            request=leased_world.request("j", 4),
            owner=ids.HostId("a"),
            arrived_at=NOW,
            deadline=NOW + 10,
            earlier_runs_end_by=0.0,
            base_ms=100.0,
        )
        self.out = outbox.Outbox()
        self.listener = _Listener(self.job)
        self.manager = lease_manager.LeaseManager(
            self.out, self.listener, in_scope=lambda _: True
        )
        self.now = NOW
        self.manager.start_leading(model.Term(7), [ENTRY], now=NOW)
        self.manager.end_claim_period(now=NOW)
        (request,) = self.take(actions.RenewLease)
        self.list_runs(request, instance=1_000)

    @property
    def lease(self) -> lease.Lease:
        return self.manager.leases[ENTRY.upstream]

    def key(self, index: int) -> model.RunKey:
        return model.RunKey(self.job.tasks[index].key, model.RunNumber(1))

    def take(self, kind: type) -> list:
        return [each for each in self.out.take() if isinstance(each, kind)]

    def start(self, index: int) -> actions.StartRun:
        self.manager.start_run(
            self.lease, self.job, self.key(index), expected_s=0.1, now=self.now
        )
        (order,) = self.take(actions.StartRun)
        return order

    def accept(self, order, *, instance: int = 0) -> list:
        """Lets an upstream accept an order; returns the next list requests."""
        event = events.OrderTaken(order.call, 1, instance)
        self.manager.order_taken(event, now=self.now)
        return self.take(actions.RenewLease)

    def list_runs(
        self, request, *running: int, instance: int, ended: tuple = ()
    ) -> None:
        run_list = model.RunList(
            1, instance, tuple(map(self.key, running)), ended
        )
        self.manager.runs_listed(
            events.RunsListed(request.call, run_list), now=self.now
        )

    def tick(self, duration_s: float) -> list:
        """Lets time pass; returns the list requests of that time."""
        requests = []
        end = self.now + duration_s
        while self.now < end:
            self.now += 0.02
            self.manager.tick(now=self.now)
            requests += self.take(actions.RenewLease)
        return requests

    def assert_runs(self, *indexes: int) -> None:
        active = [
            index
            for index in range(4)
            if self.manager.has_run(self.key(index).task)
        ]
        self.assertEqual(active, list(indexes))


class RestartTest(ManagerTest):
    def test_runs_of_the_new_instance_are_kept_at_its_first_list(self) -> None:
        first, second = self.start(0), self.start(1)
        (request,) = self.accept(first)
        self.now += 0.01
        self.accept(second)
        self.list_runs(request, 0, instance=2_000)
        self.assertEqual(self.listener.ended, [])
        self.assert_runs(0, 1)
        self.assertEqual(self.take(actions.StopRun), [])

    def test_runs_of_the_old_instance_end_at_the_first_list_of_the_new(
        self,
    ) -> None:
        (request,) = self.accept(self.start(0))
        self.now += 0.01
        self.list_runs(request, instance=2_000)
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.CRASHED)])

    def test_end_in_the_new_instance_is_counted(self) -> None:
        (request,) = self.accept(self.start(0))
        ended = (model.EndedRun(5, self.key(0), model.RunEnd.DONE),)
        self.list_runs(request, instance=1_000, ended=ended)
        (request,) = self.accept(self.start(1))
        ended = (model.EndedRun(1, self.key(1), model.RunEnd.DONE),)
        self.list_runs(request, instance=2_000, ended=ended)
        self.assertEqual(
            self.listener.ended,
            [(0, model.RunEnd.DONE), (1, model.RunEnd.DONE)],
        )

    def test_response_of_the_old_instance_ends_no_run(self) -> None:
        (request,) = self.accept(self.start(0))
        order = self.start(1)
        self.list_runs(request, 0, instance=2_000)
        self.accept(order, instance=1_000)
        self.assertEqual(self.listener.ended, [])
        self.assert_runs(0, 1)

    def test_instance_that_started_at_a_smaller_time_is_followed(self) -> None:
        (request,) = self.accept(self.start(0))
        self.now += 0.05
        self.list_runs(request, 0, instance=1_000)
        (request,) = self.take(actions.RenewLease)
        self.now += 0.05
        self.list_runs(request, instance=900)
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.CRASHED)])

    def test_list_of_the_old_instance_is_ignored_after_one_of_the_new(
        self,
    ) -> None:
        (old_request,) = self.accept(self.start(0))
        self.now += 0.01
        run = self.lease.runs[self.key(0).task]
        self.manager.stop_run(self.lease, run, now=self.now)
        (request,) = self.accept(*self.take(actions.StopRun))
        self.list_runs(request, instance=2_000)
        self.accept(self.start(1))
        ended = (model.EndedRun(9, self.key(2), model.RunEnd.DONE),)
        self.list_runs(old_request, 0, instance=1_000, ended=ended)
        self.assertEqual(self.take(actions.StopRun), [])
        self.assertEqual(self.lease.acknowledged_end, 0)
        self.assert_runs(1)


class CrashTest(ManagerTest):
    """Another process in place of an upstream's proves that it has ended."""

    def confirm_run(self) -> None:
        order = self.start(0)
        (self.request,) = self.accept(order)

    def test_new_start_time_in_a_list_proves_a_crash(self) -> None:
        self.confirm_run()
        self.now += 0.1
        self.list_runs(self.request, instance=2_000)
        self.assertEqual(self.listener.seen, [1_000, 2_000])
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.CRASHED)])

    def test_other_process_at_the_address_proves_a_crash(self) -> None:
        self.confirm_run()
        self.now += 0.1
        rejection = model.OrderRejection.OTHER_INSTANCE
        self.manager.order_rejected(
            events.OrderRejected(self.request.call, rejection), now=self.now
        )
        self.assertEqual(self.listener.seen, [1_000, None])
        for request in self.tick(1.2):
            self.manager.order_rejected(
                events.OrderRejected(request.call, rejection), now=self.now
            )
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.CRASHED)])

    def test_silence_proves_no_crash(self) -> None:
        self.confirm_run()
        for _ in range(4):
            for request in self.tick(0.5):
                self.manager.order_unanswered(
                    events.OrderUnanswered(
                        request.call, model.CallFailure.REFUSED
                    ),
                    now=self.now,
                )
        self.assertEqual(self.listener.seen, [1_000])
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.LEASE_EXPIRED)])


class UnreachableTest(ManagerTest):
    def test_idle_upstream_that_refuses_starts_gets_no_more(self) -> None:
        for index in range(lease.SUSPENSION_FAILURE_COUNT):
            order = self.start(index)
            rejection = model.OrderRejection.NOT_SENT
            self.manager.order_rejected(
                events.OrderRejected(order.call, rejection), now=self.now
            )
        self.assertFalse(self.lease.accepts_runs())


class RunAloneTest(ManagerTest):
    def test_another_run_joins_one_that_must_be_alone(self) -> None:
        self.manager.start_run(
            self.lease,
            self.job,
            self.key(0),
            expected_s=0.1,
            alone=True,
            now=self.now,
        )
        self.assertFalse(self.lease.accepts_runs())
        (order,) = self.take(actions.StartRun)
        (request,) = self.accept(order)
        ended = model.EndedRun(1, self.key(0), model.RunEnd.DONE)
        self.list_runs(request, instance=1_000, ended=(ended,))
        self.assertTrue(self.lease.accepts_runs())

    def test_run_that_must_be_alone_joins_another_one(self) -> None:
        self.accept(self.start(0))
        chooser = placement.Placement(
            run_times.RunTimes(),
            health.UpstreamHealth(),
        )
        task, leases = self.job.tasks[1], [self.lease]
        any_lease = chooser.choose(self.job, task, leases, now=self.now)
        self.assertIs(any_lease, self.lease)
        idle = chooser.choose_idle(self.job, task, leases, now=self.now)
        self.assertIsNone(idle)


class UnknownRunTest(ManagerTest):
    """A list shows a run that the leader has no record of."""

    def setUp(self) -> None:
        super().setUp()
        (request,) = self.accept(self.start(0))
        self.now += 0.1
        ended = model.EndedRun(1, self.key(0), model.RunEnd.DONE)
        self.list_runs(request, 2, instance=1_000, ended=(ended,))
        sent = self.out.take()
        (self.stop,) = (
            each for each in sent if isinstance(each, actions.StopRun)
        )

    def test_upstream_is_filled_beside_an_unknown_run_that_stops(self) -> None:
        self.assertEqual(self.stop.key, self.key(2))
        self.assertFalse(self.lease.accepts_runs())

    def test_task_runs_elsewhere_while_its_unknown_run_stops(self) -> None:
        self.assert_runs(2)
        self.manager.order_taken(
            events.OrderTaken(self.stop.call, 1, 0), now=self.now
        )
        (request, *_) = self.take(actions.RenewLease) + self.tick(0.1)
        ended = model.EndedRun(2, self.key(2), model.RunEnd.STOPPED)
        self.list_runs(request, instance=1_000, ended=(ended,))
        self.assert_runs()
        self.assertTrue(self.lease.accepts_runs())


class ImplausibleEndTest(ManagerTest):
    def ended(self, number: int, index: int) -> model.EndedRun:
        return model.EndedRun(number, self.key(index), model.RunEnd.DONE)

    def test_end_that_can_not_be_reached_is_not_acknowledged(self) -> None:
        # The upstream forgot all ends until it reached that number.
        (request,) = self.accept(self.start(0))
        self.list_runs(request, instance=1_000, ended=(self.ended(10**9, 0),))
        self.assertEqual(self.listener.ended, [])
        self.assertEqual(self.lease.acknowledged_end, 0)
        self.assertEqual(self.lease.pending_list_requests, 0)
        (request, *_) = self.tick(0.2)
        self.list_runs(request, instance=1_000, ended=(self.ended(1, 0),))
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.DONE)])
        self.assertEqual(self.lease.acknowledged_end, 1)

    def test_first_list_of_a_term_may_begin_with_any_end(self) -> None:
        self.manager.start_leading(model.Term(8), [ENTRY], now=self.now)
        self.manager.end_claim_period(now=self.now)
        (request,) = self.take(actions.RenewLease)
        self.list_runs(request, instance=1_000, ended=(self.ended(70_000, 0),))
        self.assertIs(self.lease.state, lease.LeaseState.HELD)
        self.assertEqual(self.lease.acknowledged_end, 70_000)


class UnclaimedRunTest(ManagerTest):
    def test_run_that_ended_well_before_it_was_claimed_runs_again(self) -> None:
        done: list[model.RunKey] = []

        def adopt_done_run(key: model.RunKey, *, now: float) -> bool:
            done.append(key)
            return len(done) > 1  # The owner claims it later.

        self.listener.adopt_run = lambda key: None
        self.listener.adopt_done_run = adopt_done_run
        self.manager.start_leading(model.Term(8), [ENTRY], now=self.now)
        (request,) = self.take(actions.RenewLease)
        self.list_runs(request, 1, instance=1_000)
        (request,) = self.tick(0.1)
        ended = model.EndedRun(1, self.key(1), model.RunEnd.DONE)
        self.list_runs(request, instance=1_000, ended=(ended,))
        self.manager.adopt_runs(self.job, now=self.now)
        self.assertEqual(done, [self.key(1), self.key(1)])


class IdleRestartTest(unittest.TestCase):
    def test_first_job_after_a_restart_of_idle_upstreams_runs_once(
        self,
    ) -> None:
        world = leased_world.World({"a": ["a1", "a2"]}, upstreams=2)
        world.run(2.0)
        for name in world.upstreams:
            world.restart_upstream(name)
        world.run_time_ms = 400.0
        call = world.submit("a2", "first", tasks=2)
        world.run(1.5)
        self.assertEqual(world.answers[call][1].end, model.JobEnd.COMPLETED)
        self.assertEqual(world.start_count("first"), 2)


class AddressTest(ManagerTest):
    def move(self, address: str) -> None:
        entry = msgspec.structs.replace(ENTRY, address=address)
        self.manager.update_upstreams([entry], now=self.now)

    def test_runs_are_kept_when_an_older_list_arrives_last(self) -> None:
        (request,) = self.accept(self.start(0))
        self.move("u:0")
        self.move("u:1")
        self.assertEqual(self.listener.ended, [])
        self.assert_runs(0)

    def test_runs_end_at_the_first_list_from_a_new_address(self) -> None:
        self.accept(self.start(0))
        self.move("u:2")
        (request,) = self.tick(0.1)
        self.assertEqual(request.upstream.address, "u:2")
        self.list_runs(request, instance=2_000)
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.CRASHED)])
        self.assert_runs()

    def test_rejection_from_a_former_address_ends_no_run(self) -> None:
        (old_request,) = self.accept(self.start(0))
        self.move("u:2")
        (request,) = self.tick(0.1)
        self.list_runs(request, instance=2_000)
        self.accept(self.start(1))
        rejection = model.OrderRejection.OTHER_INSTANCE
        event = events.OrderRejected(old_request.call, rejection)
        self.manager.order_rejected(event, now=self.now)
        self.assertIs(self.lease.state, lease.LeaseState.HELD)
        self.assert_runs(1)

    def test_list_from_a_former_address_is_ignored(self) -> None:
        (old_request,) = self.accept(self.start(0))
        self.move("u:2")
        (request,) = self.tick(0.1)
        self.list_runs(old_request, 0, instance=0)
        self.assertIs(self.lease.state, lease.LeaseState.AWAITING_LIST)
        self.list_runs(request, instance=2_000)
        self.assertIs(self.lease.state, lease.LeaseState.HELD)

    def test_runs_at_an_address_in_other_use_end_with_their_lease(self) -> None:
        (request,) = self.accept(self.start(0))
        rejection = model.OrderRejection.OTHER_INSTANCE
        event = events.OrderRejected(request.call, rejection)
        self.manager.order_rejected(event, now=self.now)
        self.assert_runs(0)
        *_, request = self.tick(lease.MAX_LEASE_DURATION_S + 0.1)
        self.assert_runs(0)
        event = events.OrderRejected(request.call, rejection)
        self.manager.order_rejected(event, now=self.now)
        self.assert_runs()


class ListingTest(ManagerTest):
    def test_upstream_listed_again_unchanged_accepts_runs(self) -> None:
        (request,) = self.accept(self.start(0))
        self.manager.update_upstreams([], now=self.now)
        self.assertFalse(self.lease.accepts_runs())
        self.manager.update_upstreams([ENTRY], now=self.now)
        self.assertTrue(self.lease.accepts_runs())
        ended = (model.EndedRun(1, self.key(0), model.RunEnd.DONE),)
        self.list_runs(request, instance=1_000, ended=ended)
        self.tick(0.1)
        self.assertIn(ENTRY.upstream, self.manager.leases)

    def test_list_requested_before_an_upstream_was_relisted_stops_no_run(
        self,
    ) -> None:
        (old_request,) = self.accept(self.start(0))
        self.now += 0.05
        self.manager.stop_run(
            self.lease, self.lease.runs[self.key(0).task], now=self.now
        )
        (stop,) = self.take(actions.StopRun)
        (request,) = self.accept(stop)
        ended = (model.EndedRun(1, self.key(0), model.RunEnd.STOPPED),)
        self.list_runs(request, instance=1_000, ended=ended)
        self.manager.update_upstreams([], now=self.now)
        self.tick(0.04)
        self.manager.update_upstreams([ENTRY], now=self.now)
        for each in self.take(actions.RenewLease):
            self.list_runs(each, instance=1_000)
        self.accept(self.start(1))
        self.list_runs(old_request, 1, instance=1_000)
        self.assertEqual(self.take(actions.StopRun), [])
        self.assert_runs(1)


class StopTest(ManagerTest):
    def test_late_response_to_a_start_does_not_confirm_the_stop(self) -> None:
        start = self.start(0)
        run = self.lease.runs[self.key(0).task]
        self.manager.stop_run(self.lease, run, now=self.now)
        (stop,) = self.take(actions.StopRun)
        self.accept(start)
        event = events.OrderUnanswered(stop.call)
        self.manager.order_unanswered(event, now=self.now)
        self.now += lease_manager.STOP_RETRY_INTERVAL_S
        self.manager.tick(now=self.now)
        self.assertEqual(len(self.take(actions.StopRun)), 1)

    def test_unanswered_start_is_stopped_and_its_end_awaited(self) -> None:
        start = self.start(0)
        event = events.OrderUnanswered(start.call)
        self.manager.order_unanswered(event, now=self.now)
        (stop,) = self.take(actions.StopRun)
        self.assert_runs(0)
        (request,) = self.accept(stop)
        self.list_runs(request, instance=1_000)
        self.assertEqual(self.listener.ended, [(0, model.RunEnd.MISSING)])

    def test_start_that_was_given_up_is_stopped_at_its_late_response(
        self,
    ) -> None:
        for event in (events.OrderTaken, events.OrderUnanswered):
            with self.subTest(event=event.__name__):
                start = self.start(0)
                self.now += lease.MAX_LEASE_DURATION_S
                self.manager.tick(now=self.now)
                *_, request = self.take(actions.RenewLease)
                self.manager.order_unanswered(
                    events.OrderUnanswered(request.call), now=self.now
                )
                self.assert_runs()
                self.take(actions.StopRun)
                if event is events.OrderTaken:
                    self.manager.order_taken(
                        events.OrderTaken(start.call, 1, 0), now=self.now
                    )
                else:
                    self.manager.order_unanswered(
                        events.OrderUnanswered(start.call), now=self.now
                    )
                stops = [each.key for each in self.take(actions.StopRun)]
                self.assertEqual(stops, [self.key(0)])
                self.setUp()


class RejectionTest(unittest.IsolatedAsyncioTestCase):
    """Only some statuses prove that an upstream did nothing."""

    async def send_start(self, status: int, body: bytes = b"") -> object:
        order = actions.StartRun(
            model.UpstreamCallId(1),
            ENTRY,
            model.RunKey(
                model.TaskKey(model.JobName("j"), 0), model.RunNumber(1)
            ),
            "spec",
            model.Term(1),
            deadline_ms=1,
            instance_started_ms=0,
        )
        client = leased_calls.OrderClient()
        response = http_types.HttpResponse(status, body)
        with unittest.mock.patch.object(
            client._client, "request", return_value=response
        ):
            return await client.send(order)

    async def test_status_that_proves_nothing_counts_as_unanswered(
        self,
    ) -> None:
        for status in (201, 204, 301, 404, 405, 408, 500, 502, 504):
            with self.subTest(status=status):
                result = await self.send_start(status)
                self.assertIsInstance(result, events.OrderUnanswered)

    async def test_status_that_proves_no_run_is_a_rejection(self) -> None:
        for status in (400, 409, 421, 429, 503):
            with self.subTest(status=status):
                result = await self.send_start(status)
                self.assertIsInstance(result, events.OrderRejected)


class CallFailureTest(unittest.IsolatedAsyncioTestCase):
    """An unanswered call names its cause, for the log."""

    async def send_list_request(self, address: str) -> events.OrderUnanswered:
        order = actions.RenewLease(
            model.UpstreamCallId(1),
            msgspec.structs.replace(ENTRY, address=address),
            model.Term(1),
            acknowledged_end=0,
            deadline_ms=None,
            wait_ms=0,
            instance_started_ms=0,
        )
        client = leased_calls.OrderClient()
        try:
            result = await client.send(order)
        finally:
            await client.close()
        self.assertIsInstance(result, events.OrderUnanswered)
        return result

    async def test_refused_connection(self) -> None:
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{bound.getsockname()[1]}"
            result = await self.send_list_request(address)
        self.assertIs(result.failure, model.CallFailure.REFUSED)

    async def test_connection_that_is_closed_without_a_response(self) -> None:
        async def close(_, writer: asyncio.StreamWriter) -> None:
            writer.close()

        server = await asyncio.start_server(close, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            result = await self.send_list_request(f"127.0.0.1:{port}")
        self.assertIs(result.failure, model.CallFailure.CLOSED)

    async def test_server_that_never_responds(self) -> None:
        async def read(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(read, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            result = await self.send_list_request(f"127.0.0.1:{port}")
        self.assertIs(result.failure, model.CallFailure.TIMED_OUT)


if __name__ == "__main__":
    unittest.main()
