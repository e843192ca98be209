"""Tests of the core of one host, event by event."""

import random
import typing
import unittest

import msgspec

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host
from godwitnotch.core import ids
from godwitnotch.core import limits
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import scheduler

ACME = ids.WorkspaceId("acme")
CHECK = ids.TemplateName("check")
CONFIG = model.WorkspaceConfig(
    ACME, 1, {CHECK: model.Template(CHECK, "/check")}
)
UPSTREAM = model.UpstreamEntry(
    ids.UpstreamId("u1"), ids.DomainId("d1"), "r1", "127.0.0.1:1", 2, 8
)


def body(count: int, text: bytes = b"1") -> model.JobBody:
    return model.JobBody(CHECK, (model.TaskSpec(text),) * count)


class Driver:
    """Feeds events to one host and answers its configuration reads."""

    def __init__(self) -> None:
        self.identity = model.HostEntry(
            ids.HostId("h1"),
            ids.DomainId("d1"),
            ids.Incarnation("0a"),
            "127.0.0.1:2",
        )
        rng = random.Random(1)
        self.core = host.HostCore(
            identity=self.identity,
            issuer=ids.IdIssuer(secret=b"s" * 32),
            scheduler=scheduler.create(
                "uniform",
                host=self.identity.host,
                domain=self.identity.domain,
                rng=rng,
            ),
            rng=rng,
            limits=limits.HostLimits(),
        )
        self.now = 0.0
        self.actions: list[actions.Action] = []

    def start(self) -> None:
        directory = model.Directory((), (UPSTREAM,))
        self.feed(events.DirectorySeen(directory))
        log = model.Row(
            records.CONFIG_LOG_KEY,
            1,
            records.encode_log([records.LoggedChange(ACME, 1, "n")]),
        )
        self.feed(events.StoreRows(self.take(actions.StoreRead).call, (log,)))
        row = model.Row(
            records.config_key(ACME),
            1,
            records.encode_config(CONFIG, nonce="n"),
        )
        self.feed(events.StoreRows(self.take(actions.StoreScan).call, (row,)))

    def feed(self, event: events.Event) -> None:
        self.actions += self.core.handle(event, now=self.now)

    def wait_until(self, time: float) -> None:
        while (due := self.core.next_deadline()) is not None and due < time:
            self.now = due
            self.feed(events.TimePassed())
        self.now = time

    def take(self, kind: type):
        found = [action for action in self.actions if isinstance(action, kind)]
        self.actions.remove(found[0])
        return found[0]

    def count(self, kind: type) -> int:
        return sum(isinstance(action, kind) for action in self.actions)

    def reserve(self) -> ids.SubmissionId:
        self.feed(events.ReserveAsked(ids.CallId(0), ACME, 1))
        return self.take(actions.ReplyReserved).submissions[0]

    def submit(
        self, call: int, submission: ids.SubmissionId, job: model.JobBody
    ) -> None:
        self.feed(
            events.SubmitAsked(
                ids.CallId(call), ACME, submission, job, self.now + 10.0
            )
        )

    def answer(self, attempt: actions.StartAttempt) -> None:
        self.feed(
            events.AttemptEnded(
                attempt.attempt,
                model.AttemptOutcome.ANSWERED,
                b"%d" % attempt.task_index,
                attempt.submission,
                attempt.task_index,
            )
        )


class HostCoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = Driver()
        self.driver.start()

    def test_an_answer_has_the_results_of_all_tasks_in_order(self) -> None:
        driver = self.driver
        submission = driver.reserve()
        driver.submit(1, submission, body(3))
        self.assertEqual(driver.count(actions.StartAttempt), 2)
        for _ in range(3):
            driver.answer(driver.take(actions.StartAttempt))
        answer = driver.take(actions.Reply).answer
        self.assertIs(answer.outcome, model.Outcome.COMPLETE)
        self.assertEqual(answer.results, (b"0", b"1", b"2"))

    def test_the_status_counts_the_tasks_that_wait_for_a_slot(self) -> None:
        driver = self.driver
        driver.submit(1, driver.reserve(), body(5))
        self.assertEqual(driver.core.status.queued_tasks, 3)
        driver.answer(driver.take(actions.StartAttempt))
        self.assertEqual(driver.core.status.queued_tasks, 2)

    def test_a_resubmission_joins_and_then_gets_the_kept_answer(self) -> None:
        driver = self.driver
        submission = driver.reserve()
        driver.submit(1, submission, body(1))
        driver.submit(2, submission, body(1))
        driver.answer(driver.take(actions.StartAttempt))
        driver.submit(3, submission, body(1))
        answers = [driver.take(actions.Reply).answer for _ in range(3)]
        self.assertEqual(answers[1:], answers[:1] * 2)
        self.assertEqual(driver.count(actions.StartAttempt), 0)

    def test_another_body_under_the_same_id_is_refused(self) -> None:
        driver = self.driver
        submission = driver.reserve()
        driver.submit(1, submission, body(1))
        driver.submit(2, submission, body(1, b"2"))
        answer = driver.take(actions.Reply).answer
        self.assertIs(answer.reason, model.Reason.BODY_MISMATCH)

    def test_a_refused_task_is_retried_and_one_that_broke_off_is_not(
        self,
    ) -> None:
        driver = self.driver
        driver.submit(1, driver.reserve(), body(1))
        first = driver.take(actions.StartAttempt)
        driver.feed(
            events.AttemptEnded(
                first.attempt, model.AttemptOutcome.REFUSED_FULL
            )
        )
        # The upstream that refused gets no tasks for a short time.
        self.assertEqual(driver.count(actions.StartAttempt), 0)
        driver.now = driver.core.next_deadline()
        driver.feed(events.TimePassed())
        second = driver.take(actions.StartAttempt)
        driver.feed(
            events.AttemptEnded(second.attempt, model.AttemptOutcome.BROKE_OFF)
        )
        self.assertEqual(driver.count(actions.StartAttempt), 0)
        answer = driver.take(actions.Reply).answer
        self.assertIs(answer.outcome, model.Outcome.FAILED)
        self.assertIs(answer.ran, model.Ran.POSSIBLY)

    def test_a_job_queued_past_its_deadline_is_refused_as_not_run(
        self,
    ) -> None:
        driver = self.driver
        driver.submit(1, driver.reserve(), body(2))
        driver.submit(2, driver.reserve(), body(1))
        driver.now = 11.0
        driver.feed(events.TimePassed())
        answers = {}
        for _ in range(2):
            reply = driver.take(actions.Reply)
            answers[reply.call] = reply.answer
        self.assertIs(answers[1].outcome, model.Outcome.FAILED)
        self.assertIs(answers[2].outcome, model.Outcome.REFUSED)
        self.assertIs(answers[2].ran, model.Ran.NOTHING)

    def test_a_key_is_bound_before_its_job_starts(self) -> None:
        driver = self.driver
        driver.feed(
            events.KeyedSubmitAsked(
                ids.CallId(1), ACME, ids.IdempotencyKey("k"), body(1), 10.0
            )
        )
        write = driver.take(actions.StoreTransact)
        self.assertEqual(driver.count(actions.StartAttempt), 0)
        driver.feed(events.StoreCommitted(write.call))
        self.assertEqual(driver.count(actions.StartAttempt), 1)

    def test_a_lost_acknowledgement_is_resolved_by_reading(self) -> None:
        driver = self.driver
        submit = events.KeyedSubmitAsked(
            ids.CallId(1), ACME, ids.IdempotencyKey("k"), body(1), 10.0
        )
        driver.feed(submit)
        write = driver.take(actions.StoreTransact)
        driver.feed(events.StoreFailed(write.call, True))
        unsettled = driver.take(actions.Reply).answer
        self.assertIs(unsettled.outcome, model.Outcome.UNKNOWN)
        self.assertIs(unsettled.ran, model.Ran.POSSIBLY)
        self.assertIs(unsettled.reason, model.Reason.STORE_UNAVAILABLE)
        driver.wait_until(6.0)
        driver.feed(submit)
        self.assertEqual(driver.count(actions.StoreTransact), 0)
        reads = [
            action
            for action in driver.actions
            if isinstance(action, actions.StoreRead)
            and action.keys == (write.writes[0].key,)
        ]
        row = model.Row(write.writes[0].key, 1, write.writes[0].value)
        driver.feed(events.StoreRows(reads[0].call, (row,)))
        self.assertEqual(driver.count(actions.StartAttempt), 1)

    def test_draining_finishes_jobs_then_seals_then_stops(self) -> None:
        driver = self.driver
        driver.submit(1, driver.reserve(), body(1))
        driver.feed(events.DrainAsked(60.0))
        self.assertEqual(driver.count(actions.Stopped), 0)
        driver.answer(driver.take(actions.StartAttempt))
        outcomes = driver.take(actions.StoreTransact)
        self.assertTrue(outcomes.writes[0].key.startswith("outcome/"))
        driver.feed(events.StoreCommitted(outcomes.call))
        seal = driver.take(actions.StoreTransact)
        self.assertTrue(seal.writes[0].key.startswith("seal/"))
        driver.feed(events.StoreCommitted(seal.call))
        self.assertEqual(driver.count(actions.Stopped), 1)


class StartDuringStoreOutageTest(unittest.TestCase):
    def test_a_host_uses_the_newest_configuration_of_all_linked_peers(
        self,
    ) -> None:
        driver = Driver()
        for name in ("h2", "h3"):
            driver.feed(
                events.PeerUp(
                    ids.HostId(name),
                    ids.DomainId("d1"),
                    ids.Incarnation(name),
                )
            )
        read = driver.take(actions.StoreRead)
        driver.feed(events.StoreFailed(read.call, False))
        newer = msgspec.structs.replace(CONFIG, version=2)
        for name, config, counter in (("h2", CONFIG, 4), ("h3", newer, 5)):
            self.assertFalse(driver.core.ready)
            snapshot = messages.ConfigSnapshot(counter, (config,))
            driver.feed(events.PeerSaid(ids.HostId(name), snapshot))
        self.assertTrue(driver.core.ready)
        self.assertEqual(driver.core.configs[ACME].version, 2)
        self.assertEqual(driver.core.status.config_counter, 5)

    def test_a_host_stops_waiting_for_a_peer_that_goes_down(self) -> None:
        driver = Driver()
        for name in ("h2", "h3"):
            driver.feed(
                events.PeerUp(
                    ids.HostId(name),
                    ids.DomainId("d1"),
                    ids.Incarnation(name),
                )
            )
        snapshot = messages.ConfigSnapshot(4, (CONFIG,))
        driver.feed(events.PeerSaid(ids.HostId("h2"), snapshot))
        self.assertFalse(driver.core.ready)
        driver.feed(events.PeerDown(ids.HostId("h3")))
        self.assertTrue(driver.core.ready)


class HandlersTest(unittest.TestCase):
    def test_every_event_and_message_has_a_handler(self) -> None:
        types = {*typing.get_args(events.Event)}
        types |= {*typing.get_args(messages.Message)}
        self.assertEqual(types - host.handled_types(), set())
