"""Tests of the slot credit policy on several hosts."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from godwitnotch.core import ids
from godwitnotch.core import model
from tests import scheduler_cluster
from tests import scheduler_fixtures as fixtures

FULL = model.AttemptOutcome.REFUSED_FULL
LEAVING = model.AttemptOutcome.REFUSED_LEAVING
REFUSED = model.AttemptOutcome.CONNECT_REFUSED


class CreditsTest(unittest.TestCase):
    def cluster(
        self, hosts: int = 3, upstreams: int = 4
    ) -> scheduler_cluster.Cluster:
        return scheduler_cluster.Cluster(
            scheduler_cluster.hosts_of_domain("d0", hosts),
            scheduler_cluster.upstreams_of_domain("d0", upstreams),
        )

    def test_one_host_borrows_all_slots_when_the_others_are_idle(self) -> None:
        cluster = self.cluster()
        first = ids.HostId("d0-h0")
        cluster.policies[first].enqueue(fixtures.job("s", 40), now=cluster.now)
        cluster.settle()
        self.assertEqual(len(cluster.running), 32)
        self.assertEqual(set(cluster.running_by_upstream().values()), {8})

    def test_lent_slots_return_to_hosts_with_work(self) -> None:
        cluster = self.cluster()
        hosts = list(cluster.policies)
        cluster.policies[hosts[0]].enqueue(
            fixtures.job("big", 110), now=cluster.now
        )
        cluster.settle()
        for host in hosts[1:]:
            cluster.policies[host].enqueue(
                fixtures.job(f"s-{host}", 110), now=cluster.now
            )
        for _ in range(120):
            cluster.end_attempt(0)
            cluster.settle(0.05)
        by_host = [
            sum(owner == host for owner, _ in cluster.running) for host in hosts
        ]
        self.assertEqual(sum(by_host), 32)
        self.assertGreaterEqual(min(by_host), 7)

    def test_an_idle_cluster_sends_no_messages(self) -> None:
        cluster = self.cluster()
        sent = cluster.sent_count
        cluster.settle(30.0)
        self.assertEqual(cluster.sent_count, sent)

    def test_idle_slots_return_to_the_lender(self) -> None:
        cluster = self.cluster()
        first, second, _ = cluster.policies
        cluster.policies[first].enqueue(fixtures.job("a", 40), now=cluster.now)
        cluster.settle()
        while cluster.running:
            cluster.end_attempt(0)
            cluster.settle(0.05)
        cluster.policies[second].enqueue(fixtures.job("b", 32), now=cluster.now)
        cluster.settle()
        self.assertEqual(len(cluster.running), 32)

    def test_a_new_lender_counts_the_slots_in_use(self) -> None:
        cluster = self.cluster()
        hosts = list(cluster.policies)
        cluster.policies[hosts[0]].enqueue(
            fixtures.job("a", 32), now=cluster.now
        )
        cluster.settle()
        self.assertEqual(len(cluster.running), 32)
        cluster.policies.pop(hosts[2])
        cluster.links.clear()
        cluster.set_visible_hosts(hosts[:2])
        cluster.policies[hosts[1]].enqueue(
            fixtures.job("b", 32), now=cluster.now
        )
        cluster.settle()
        self.assertEqual(len(cluster.running), 32)
        self.assertEqual(max(cluster.running_by_upstream().values()), 8)

    def test_slot_use_recovers_after_hosts_disagreed_on_the_lender(
        self,
    ) -> None:
        cluster = self.cluster()
        hosts = list(cluster.policies)
        cluster.set_visible_hosts([hosts[0]])
        cluster.set_visible_hosts(hosts[1:])
        for host in hosts:
            cluster.policies[host].enqueue(
                fixtures.job(f"s-{host}", 100), now=cluster.now
            )
        cluster.settle()
        self.assertGreater(max(cluster.running_by_upstream().values()), 8)
        cluster.set_visible_hosts(hosts)
        cluster.settle(1.0)
        while len(cluster.running) > 32:
            cluster.end_attempt(0)
            cluster.settle(0.05)
        for _ in range(40):
            cluster.end_attempt(0)
            cluster.settle(0.05)
        self.assertEqual(max(cluster.running_by_upstream().values()), 8)
        self.assertEqual(len(cluster.running), 32)

    def test_an_isolated_domain_keeps_using_its_own_upstreams(self) -> None:
        cluster = scheduler_cluster.Cluster(
            scheduler_cluster.hosts_of_domain("d0", 2)
            + scheduler_cluster.hosts_of_domain("d1", 2),
            scheduler_cluster.upstreams_of_domain("d0", 2)
            + scheduler_cluster.upstreams_of_domain("d1", 2),
        )
        cluster.set_visible_hosts([ids.HostId("d0-h0"), ids.HostId("d0-h1")])
        cluster.set_visible_hosts([ids.HostId("d1-h0"), ids.HostId("d1-h1")])
        host = ids.HostId("d0-h0")
        cluster.policies[host].enqueue(fixtures.job("s", 40), now=cluster.now)
        cluster.settle()
        use = cluster.running_by_upstream()
        self.assertEqual(use[ids.UpstreamId("d0-u0")], 8)
        self.assertEqual(use[ids.UpstreamId("d0-u1")], 8)

    def test_a_task_refused_as_full_is_not_retried_at_once(self) -> None:
        cluster = self.cluster(1, 1)
        [host] = cluster.policies
        policy = cluster.policies[host]
        policy.enqueue(fixtures.job("s", 1), now=cluster.now)
        cluster.run_host(host)
        cluster.end_attempt(0, FULL)
        self.assertTrue(
            policy.requeue(ids.SubmissionId("s"), 0, now=cluster.now)
        )
        self.assertEqual(cluster.run_host(host), [])
        retry_at = policy.next_deadline()
        assert retry_at is not None
        self.assertGreater(retry_at, cluster.now)
        cluster.now = retry_at
        self.assertEqual(len(cluster.run_host(host)), 1)

    def test_the_slot_of_an_aborted_task_is_kept_while_it_may_run(
        self,
    ) -> None:
        cluster = self.cluster(1, 1)
        [host] = cluster.policies
        cluster.policies[host].enqueue(fixtures.job("s", 16), now=cluster.now)
        cluster.run_host(host)
        for _ in range(8):
            cluster.end_attempt(0, model.AttemptOutcome.ABORTED)
        self.assertEqual(cluster.run_host(host), [])
        cluster.settle(2.0)
        self.assertEqual(len(cluster.running), 8)

    def test_an_upstream_that_refuses_as_leaving_gets_no_more_tasks(
        self,
    ) -> None:
        cluster = self.cluster(1, 2)
        [host] = cluster.policies
        policy = cluster.policies[host]
        policy.enqueue(fixtures.job("s", 50), now=cluster.now)
        cluster.run_host(host)
        leaving = cluster.end_attempt(0, LEAVING).upstream.upstream
        for _ in range(30):
            cluster.end_attempt(0)
            cluster.now += 0.05
            for start in cluster.run_host(host):
                self.assertNotEqual(start.upstream.upstream, leaving)
            policy.update_upstreams(cluster.upstreams, now=cluster.now)

    def test_an_upstream_that_did_not_leave_is_used_again(self) -> None:
        cluster = self.cluster(1, 1)
        [host] = cluster.policies
        policy = cluster.policies[host]
        policy.enqueue(fixtures.job("s", 2, deadline=1e9), now=cluster.now)
        cluster.run_host(host)
        cluster.end_attempt(0, LEAVING)
        policy.requeue(ids.SubmissionId("s"), 0, now=cluster.now)
        cluster.end_attempt(0)
        self.assertEqual(cluster.run_host(host), [])
        while not cluster.run_host(host):
            deadline = policy.next_deadline()
            assert deadline is not None
            cluster.now = deadline
            self.assertLess(cluster.now, 70.0)
        self.assertGreater(cluster.now, 60.0)

    def test_retries_end_with_the_budget(self) -> None:
        cluster = self.cluster(1, 1)
        [host] = cluster.policies
        policy = cluster.policies[host]
        policy.enqueue(fixtures.job("s", 1), now=cluster.now)
        name = ids.SubmissionId("s")
        retries = 0
        while retries < 100 and policy.requeue(name, 0, now=cluster.now):
            retries += 1
        self.assertLess(retries, 30)

    def test_an_unreachable_upstream_gets_few_attempts(self) -> None:
        cluster = self.cluster(1, 4)
        [host] = cluster.policies
        policy = cluster.policies[host]
        attempts = 0
        for index in range(60):
            policy.enqueue(fixtures.job(f"s{index}", 4), now=cluster.now)
            cluster.run_host(host)
            while cluster.running:
                unreachable = cluster.running[0][1].upstream.upstream == "d0-u1"
                attempts += unreachable
                cluster.end_attempt(
                    0, REFUSED if unreachable else model.AttemptOutcome.ANSWERED
                )
            cluster.now += 0.01
        self.assertLess(attempts, 12)

    def test_the_faster_upstream_is_learnt_and_preferred(self) -> None:
        cluster = self.cluster(1, 2)
        [host] = cluster.policies
        policy = cluster.policies[host]
        fast = "d0-u0"
        for index in range(80):
            policy.enqueue(fixtures.job(f"s{index}", 4), now=cluster.now)
            cluster.now += 1.0
            cluster.run_host(host)
            while cluster.running:
                _, start = cluster.running.pop()
                run_time_s = 0.1 if start.upstream.upstream == fast else 0.4
                policy.attempt_ended(
                    start,
                    model.AttemptOutcome.ANSWERED,
                    started_at=cluster.now - run_time_s,
                    now=cluster.now,
                )
        policy.enqueue(fixtures.job("last", 8), now=cluster.now)
        used = {
            assignment.upstream.upstream
            for assignment in cluster.run_host(host)
        }
        self.assertEqual(used, {fast})

    def test_a_template_uses_only_its_upstreams(self) -> None:
        cluster = self.cluster(2, 4)
        host = ids.HostId("d0-h0")
        cluster.policies[host].enqueue(
            fixtures.job("s", 30, upstreams=["d0-u2"]), now=cluster.now
        )
        cluster.settle()
        self.assertEqual(cluster.running_by_upstream(), {"d0-u2": 8})

    def test_a_quota_holds_across_hosts_and_moves_between_them(self) -> None:
        for busy in (["d0-h0"], ["d0-h0", "d0-h1", "d0-h2"]):
            with self.subTest(busy=busy):
                cluster = self.cluster()
                for name in busy:
                    cluster.policies[ids.HostId(name)].enqueue(
                        fixtures.job(f"s-{name}", 30, max_running=10),
                        now=cluster.now,
                    )
                cluster.settle(6.0)
                self.assertEqual(len(cluster.running), 10)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["job", "end", "end", "deliver", "deliver", "wait"]
                    + ["withdraw", "refuse", "turn"]
                ),
                strategies.integers(0, 30),
                strategies.integers(1, 24),
            ),
            max_size=150,
        )
    )
    def test_one_view_never_exceeds_slots_nor_starts_a_task_twice(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        cluster = self.cluster(3, 3)
        hosts = list(cluster.policies)
        owners: dict[ids.SubmissionId, ids.HostId] = {}
        sizes: dict[ids.SubmissionId, int] = {}
        refused = 0
        for count, (step, which, size) in enumerate(steps):
            host = hosts[which % len(hosts)]
            policy = cluster.policies[host]
            if step == "job":
                job = fixtures.job(f"s{count}", size, deadline=1e9)
                policy.enqueue(job, now=cluster.now)
                owners[job.submission] = host
                sizes[job.submission] = size
            elif step == "end" and cluster.running:
                cluster.end_attempt(which % len(cluster.running))
            elif step == "refuse" and cluster.running and refused < 15:
                refused += 1
                start = cluster.end_attempt(which % len(cluster.running), FULL)
                owner = owners.get(start.submission)
                if owner is not None:
                    self.assertTrue(
                        cluster.policies[owner].requeue(
                            start.submission, start.task_index, now=cluster.now
                        )
                    )
                    task = (start.submission, start.task_index)
                    cluster.start_counts[task] -= 1
            elif step == "withdraw" and owners:
                name = sorted(owners)[which % len(owners)]
                cluster.policies[owners.pop(name)].withdraw(
                    name, now=cluster.now
                )
                before = cluster.start_counts.copy()
                del sizes[name]
                cluster.run_all_hosts()
                fresh = cluster.start_counts - before
                self.assertNotIn(name, {task[0] for task in fresh})
            elif step == "deliver":
                busy = [link for link, q in cluster.links.items() if q]
                if busy:
                    cluster.deliver(busy[which % len(busy)])
            elif step == "wait":
                cluster.now += size / 100
            if step in ("turn", "job", "end", "wait"):
                cluster.run_host(host)
            self.assertLessEqual(
                max(cluster.running_by_upstream().values(), default=0), 8
            )
        for _ in range(400):
            cluster.settle(0.1)
            self.assertLessEqual(
                max(cluster.running_by_upstream().values(), default=0), 8
            )
            if not cluster.running:
                break
            while cluster.running:
                cluster.end_attempt(0)
        for name, size in sizes.items():
            starts = [
                cluster.start_counts[name, index] for index in range(size)
            ]
            self.assertEqual(starts, [1] * size)


if __name__ == "__main__":
    unittest.main()
