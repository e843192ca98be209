"""Three hosts in three failure domains, as separate processes."""

import unittest

from tests.process import cluster

DOMAINS = ("north", "middle", "south")
TASKS = 24


class ThreeDomainsTest(unittest.IsolatedAsyncioTestCase):
    async def test_job_submitted_at_a_host_that_does_not_own_it(self) -> None:
        deployment = cluster.Cluster()
        self.addAsyncCleanup(deployment.close)
        await deployment.start_upstreams(DOMAINS)
        await deployment.start_platform()
        for domain in DOMAINS:
            await deployment.start_host(f"{domain}-1", domain)
        await deployment.wait_linked()
        await deployment.put_workspace(deployment.hosts[0])
        forwarder, _, owner = deployment.hosts
        submission = (await deployment.caller.reserve(owner.address))[0]
        payloads = [{"sleep_ms": 20, "n": n} for n in range(TASKS)]

        answer = await deployment.caller.submit(
            forwarder.address, submission, payloads
        )

        self.assertEqual(answer.code, 200, answer)
        self.assertEqual(answer.submission, submission)
        self.assertEqual(answer.outcome, "complete")
        self.assertEqual(answer.value["results"], payloads)
        starts = await deployment.starts()
        self.assertEqual(
            sorted(start.task_index for start in starts), list(range(TASKS))
        )
        self.assertEqual({start.submission for start in starts}, {submission})
        for host in deployment.hosts:
            again = await deployment.caller.submit(
                host.address, submission, payloads
            )
            self.assertEqual(again.value, answer.value)
        self.assertEqual(len(await deployment.starts()), TASKS)
        for process in deployment.processes:
            self.assertEqual(process.child_pids, [], process.name)


if __name__ == "__main__":
    unittest.main()
