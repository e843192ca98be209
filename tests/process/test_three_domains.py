"""Three hosts in three failure domains, as separate processes."""

import unittest

from tests.process import cluster

DOMAINS = ("north", "middle", "south")
TASKS = 24


class ThreeDomainsTest(unittest.IsolatedAsyncioTestCase):
    async def test_job_submitted_at_a_host_that_does_not_own_it(self) -> None:
        system = cluster.Cluster()
        self.addAsyncCleanup(system.close)
        await system.start_upstreams(DOMAINS)
        await system.start_platform()
        for domain in DOMAINS:
            await system.start_host(f"{domain}-1", domain)
        await system.wait_linked()
        await system.put_workspace(system.hosts[0])
        entry, _, owner = system.hosts
        submission = (await system.caller.reserve(owner.address))[0]
        payloads = [{"sleep_ms": 20, "n": n} for n in range(TASKS)]

        answer = await system.caller.submit(entry.address, submission, payloads)

        self.assertEqual(answer.code, 200, answer)
        self.assertEqual(answer.submission, submission)
        self.assertEqual(answer.outcome, "complete")
        self.assertEqual(answer.value["results"], payloads)
        starts = await system.starts()
        self.assertEqual(
            sorted(start.task_index for start in starts), list(range(TASKS))
        )
        self.assertEqual({start.submission for start in starts}, {submission})
        for host in system.hosts:
            again = await system.caller.submit(
                host.address, submission, payloads
            )
            self.assertEqual(again.value, answer.value)
        self.assertEqual(len(await system.starts()), TASKS)
        for process in system.processes:
            self.assertEqual(process.child_pids, [], process.name)


if __name__ == "__main__":
    unittest.main()
