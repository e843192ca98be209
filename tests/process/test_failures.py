"""Tests of failing processes and connections, checked by start logs."""

import asyncio
import signal
import unittest

from godwitnotch import host_client
from tests.process import caller
from tests.process import cluster
from tests.process import fleet

# Longer than any silence timeout of the peer links.
HOST_PAUSE_S = 4.5


class FailuresTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleet.Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def reserve(self, host: cluster.Host, count: int) -> list[str]:
        return await self.fleet.cluster.caller.reserve(host.address, count)

    async def wait_starts(self, count: int) -> None:
        async def started() -> bool:
            return len(await self.fleet.cluster.starts()) >= count

        await cluster.wait_until(started, f"{count} tasks have started")

    async def assert_promises_kept(self) -> None:
        self.assertEqual(await self.fleet.violations(), [])
        self.assertEqual(self.fleet.cluster.unexpected_exceptions(), [])

    async def submit_all(
        self,
        host: cluster.Host,
        jobs: list[tuple[str, list[object]]],
        *,
        timeout_s: float = 30.0,
    ) -> list[caller.Answer]:
        return await asyncio.gather(
            *(
                self.fleet.submit(host, *job, timeout_s=timeout_s)
                for job in jobs
            )
        )

    async def submit_keys_concurrently(
        self, name: str, payloads: list[object], *, at_first_try: bool
    ) -> None:
        """Submits jobs at two hosts concurrently under the same keys.

        Args:
            name: Prefix of the keys.
            payloads: Payloads of each job.
            at_first_try: Whether the first submission of each key must be
                answered as complete at both hosts.
        """
        first, second, _ = self.fleet.hosts
        for number in range(4):
            key = f"{name}-{number}"
            attempts = []

            async def complete(
                key: str = key, attempts: list[list[caller.Answer]] = attempts
            ) -> bool:
                answers = await asyncio.gather(
                    *(
                        self.fleet.submit_keyed(host, key, payloads)
                        for host in (first, second)
                    )
                )
                attempts.append(answers)
                return {each.outcome for each in answers} == {"complete"}

            await cluster.wait_until(
                complete, f"{key} is complete at both hosts"
            )
            if at_first_try:
                self.assertEqual(len(attempts), 1, attempts)
            ids = {each.submission for each in attempts[-1]}
            self.assertEqual(len(ids), 1, attempts)

    async def test_owner_is_killed_and_replaced(self) -> None:
        first, second, owner = self.fleet.hosts
        submissions = await self.reserve(owner, 20)
        jobs = fleet.jobs(submissions, tasks=4, sleep_ms=100)
        running = [
            asyncio.create_task(self.submit_all(host, jobs[:15]))
            for host in (first, second)
        ]
        await self.wait_starts(20)
        owner.process.send_signal(signal.SIGKILL)
        await asyncio.gather(*running)
        for host in (first, second):
            await self.submit_all(host, jobs)
        successor = await self.fleet.start_host("c")
        await self.fleet.cluster.wait_linked(first, second, successor)
        for host in (first, successor):
            answers = await self.submit_all(host, jobs)
            self.assertNotIn("lost", {answer.outcome for answer in answers})
        await self.assert_promises_kept()

    async def test_owner_paused_beyond_the_silence_limit(self) -> None:
        first, second, owner = self.fleet.hosts
        submissions = await self.reserve(owner, 12)
        jobs = fleet.jobs(submissions, tasks=3, sleep_ms=200)
        running = asyncio.create_task(self.submit_all(first, jobs[:8]))
        await self.wait_starts(8)
        owner.process.send_signal(signal.SIGSTOP)
        paused = asyncio.create_task(asyncio.sleep(HOST_PAUSE_S))
        await self.submit_all(second, jobs, timeout_s=HOST_PAUSE_S)
        await paused
        owner.process.send_signal(signal.SIGCONT)
        await running
        await self.fleet.cluster.wait_linked()
        for host in (first, second):
            await self.submit_all(host, jobs)
        answers = await self.submit_all(second, jobs[8:])
        self.assertEqual({each.outcome for each in answers}, {"complete"})
        await self.assert_promises_kept()

    async def test_paused_owner_resumes_while_its_successor_runs(self) -> None:
        first, second, owner = self.fleet.hosts
        submissions = await self.reserve(owner, 12)
        jobs = fleet.jobs(submissions, tasks=3, sleep_ms=200)
        keyed = [{"sleep_ms": 200, "n": number} for number in range(3)]
        running = asyncio.create_task(self.submit_all(first, jobs[:8]))
        under_key = asyncio.create_task(
            self.fleet.submit_keyed(owner, "order", keyed)
        )
        await self.wait_starts(8)
        owner.process.send_signal(signal.SIGSTOP)
        successor = await self.fleet.start_host("c")
        await self.fleet.cluster.wait_linked(first, second, successor)
        await running
        for host in (second, successor):
            await self.submit_all(host, jobs, timeout_s=3.0)
            await self.fleet.submit_keyed(host, "order", keyed, timeout_s=3.0)
        owner.process.send_signal(signal.SIGCONT)
        await under_key
        for host in (owner, successor, first):
            await self.submit_all(host, jobs)
            await self.fleet.submit_keyed(host, "order", keyed)
        fresh = fleet.jobs(
            await self.reserve(successor, 4), tasks=2, sleep_ms=10
        )
        answers = await self.submit_all(first, fresh)
        self.assertEqual({each.outcome for each in answers}, {"complete"})
        await self.assert_promises_kept()

    async def test_links_are_cut_or_silent(self) -> None:
        first, second, owner = self.fleet.hosts
        relays = self.fleet.peers.values()
        for break_links in ("cut", "silence_open_connections"):
            submissions = await self.reserve(owner, 8)
            jobs = fleet.jobs(submissions, tasks=3, sleep_ms=150)
            running = asyncio.create_task(self.submit_all(first, jobs))
            await asyncio.sleep(0.1)
            links_before = self.fleet.cluster.link_counts()
            for each in relays:
                getattr(each, break_links)()
            await self.submit_all(second, jobs, timeout_s=2.0)
            await running
            for each in relays:
                each.heal()
            await self.fleet.cluster.wait_relinked(links_before)
            for host in (first, second):
                answers = await self.submit_all(host, jobs)
                self.assertEqual(
                    {answer.outcome for answer in answers}, {"complete"}
                )
        await self.assert_promises_kept()

    async def test_upstream_connections_are_cut_or_silent(self) -> None:
        first, second, owner = self.fleet.hosts
        for count, break_paths in enumerate(
            ("cut", "silence_open_connections"), 1
        ):
            submissions = await self.reserve(owner, 10)
            jobs = fleet.jobs(submissions, tasks=2, sleep_ms=150)
            running = asyncio.create_task(
                self.submit_all(first, jobs, timeout_s=2.0)
            )
            await self.wait_starts(count * 10)
            # The relays forward again at once, so that a task that is sent
            # twice would be started and logged twice.
            for each in self.fleet.upstreams.values():
                getattr(each, break_paths)()
                each.heal()
            await self.submit_all(second, jobs, timeout_s=2.0)
            await running
        submissions = await self.reserve(owner, 10)
        jobs = fleet.jobs(submissions, tasks=2, sleep_ms=10)
        await self.submit_all(first, jobs, timeout_s=5.0)
        await self.assert_promises_kept()

    async def test_keys_and_host_start_in_a_platform_outage(self) -> None:
        first, second, third = self.fleet.hosts
        deployment = self.fleet.cluster
        payloads: list[object] = [{"sleep_ms": 20}]
        known = await self.fleet.submit_keyed(first, "known", payloads)
        self.assertEqual(known.outcome, "complete")

        # With this delay, both hosts write before either gets a response.
        await deployment.set_faults(deployment.platform, slow_s=0.2)
        await self.submit_keys_concurrently("slow", payloads, at_first_try=True)
        await deployment.set_faults(
            deployment.platform, slow_s=0.0, lose_answers=3
        )
        await self.submit_keys_concurrently(
            "lost", payloads, at_first_try=False
        )

        await deployment.set_faults(
            deployment.platform, down=True, lose_answers=0
        )
        again = await self.fleet.submit_keyed(first, "known", payloads)
        self.assertEqual(again.value, known.value)
        before = len(await deployment.starts())
        unbound = await self.fleet.submit_keyed(
            second, "new", payloads, timeout_s=1.0
        )
        # The host can't know whether another host has run the job.
        self.assertEqual(
            (unbound.ran, unbound.reason),
            ("possibly", "store_unavailable"),
            unbound,
        )
        self.assertIsNotNone(unbound.value["retry_after_s"])
        self.assertEqual(len(await deployment.starts()), before)
        job = fleet.jobs(await self.reserve(third, 1), tasks=3, sleep_ms=10)
        unkeyed = await self.fleet.submit(first, *job[0])
        self.assertEqual(unkeyed.outcome, "complete")
        third.process.send_signal(signal.SIGKILL)
        successor = await self.fleet.start_host("c")
        await deployment.wait_linked(first, second, successor)
        job = fleet.jobs(await self.reserve(first, 1), tasks=3, sleep_ms=10)
        forwarded = await self.fleet.submit(successor, *job[0])
        self.assertEqual(forwarded.outcome, "complete")

        async def listed() -> bool:
            return len((await successor.status())["upstreams"]) > 0

        await cluster.wait_until(
            listed, "the successor has a list of upstreams"
        )
        job = fleet.jobs(await self.reserve(successor, 1), tasks=3, sleep_ms=10)
        own = await self.fleet.submit(successor, *job[0])
        self.assertEqual(own.outcome, "complete", own)

        await deployment.set_faults(deployment.platform, down=False)

        async def accepted() -> bool:
            answer = await self.fleet.submit_keyed(second, "new", payloads)
            return answer.outcome == "complete"

        await cluster.wait_until(accepted, "a new key is accepted")
        await self.assert_promises_kept()

    async def test_leaving_upstreams_get_no_new_tasks(self) -> None:
        first, second, third = self.fleet.hosts
        deployment = self.fleet.cluster
        listed, refusing, _ = deployment.upstreams
        platform = host_client.HostClient(deployment.platform, "")
        await platform.call_async(
            "POST", f"/upstreams/{listed.name}", value={"leaving": True}
        )

        async def all_know() -> bool:
            states = [await host.status() for host in deployment.hosts]
            return all(
                {
                    each["upstream"]: each["leaving"]
                    for each in state["upstreams"]
                }[listed.name]
                for state in states
            )

        await cluster.wait_until(
            all_know, "each host knows that one is leaving"
        )
        await deployment.set_faults(refusing.address, not_started="leaving")
        for host in (first, second, third):
            jobs = fleet.jobs(await self.reserve(host, 6), tasks=4, sleep_ms=20)
            answers = await self.submit_all(host, jobs)
            self.assertEqual({each.outcome for each in answers}, {"complete"})
        self.assertEqual(await listed.starts(), [])
        self.assertEqual(await refusing.starts(), [])
        await self.assert_promises_kept()

    async def test_concurrent_changes_by_two_operators(self) -> None:
        first, second, third = self.fleet.hosts
        deployment = self.fleet.cluster
        for version in range(1, 4):
            answers = await asyncio.gather(
                *(
                    deployment.change_workspace(
                        host, version=version, max_queued_tasks=limit
                    )
                    for host, limit in ((first, 111), (second, 222))
                )
            )
            codes = sorted(answer.status for answer in answers)
            self.assertEqual(codes, [200, 409], answers)
            winner = min(answers, key=lambda answer: answer.status)
            loser = max(answers, key=lambda answer: answer.status)
            self.assertEqual(winner.value["state"], "in_force")
            shown = []
            for host in (first, second, third):
                seen = await host.operator().call_async(
                    "GET", f"/v1/workspaces/{cluster.WORKSPACE}"
                )
                self.assertEqual(seen.value["version"], version + 1)
                shown.append(seen.value)
            self.assertEqual(shown, [shown[0]] * 3)
            current = loser.value["error"]["current"]
            self.assertEqual(current, shown[0])

    async def test_sigterm_under_load_aborts_no_job(self) -> None:
        first, second, owner = self.fleet.hosts
        submissions = await self.reserve(owner, 24)
        jobs = fleet.jobs(submissions, tasks=4, sleep_ms=150)
        own = fleet.jobs(await self.reserve(first, 6), tasks=4, sleep_ms=150)
        running = [
            asyncio.create_task(self.submit_all(host, part))
            for host, part in (
                (first, jobs[:10]),
                (owner, jobs[10:20]),
                (second, own),
            )
        ]
        await self.wait_starts(20)
        owner.process.send_signal(signal.SIGTERM)
        first.process.send_signal(signal.SIGTERM)
        answers = [
            answer for part in await asyncio.gather(*running) for answer in part
        ]
        self.assertEqual({each.outcome for each in answers}, {"complete"})
        for host in (owner, first):
            self.assertEqual(await host.process.wait(), 0)
            self.assertEqual(host.process.log_lines("shutdown_cut"), [])
        sealed = await self.submit_all(second, jobs[20:])
        self.assertEqual({each.ran for each in sealed}, {"nothing"}, sealed)
        kept = await self.submit_all(second, jobs[:20])
        self.assertEqual({each.outcome for each in kept}, {"complete"})
        await self.assert_promises_kept()

    async def test_answers_name_jobs_aborted_at_the_end_of_a_drain(
        self,
    ) -> None:
        first, second, _ = self.fleet.hosts
        short_drain = await self.fleet.start_host("d", drain_timeout_s=0.5)
        await self.fleet.cluster.wait_linked(first, second, short_drain)
        for owner, signals in ((short_drain, 1), (second, 2)):
            submissions = await self.reserve(owner, 2)
            jobs = fleet.jobs(submissions, tasks=2, sleep_ms=20_000)
            before = len(await self.fleet.cluster.starts())
            running = asyncio.create_task(self.submit_all(first, jobs))
            await self.wait_starts(before + 4)
            for _ in range(signals):
                owner.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.1)
            answers = await running
            self.assertEqual(await owner.process.wait(), 0)
            outcomes = {(answer.outcome, answer.reason) for answer in answers}
            self.assertEqual(outcomes, {("failed", "shutdown_cut")})
            (abort_line,) = owner.process.log_lines("shutdown_cut")
            self.assertIn(" jobs=2 ", abort_line)
        await self.assert_promises_kept()


if __name__ == "__main__":
    unittest.main()
