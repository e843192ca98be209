"""A short volume run under faults; `make failures` is the long run."""

import unittest

from tests.process import volume

# Some of the faults that do not wait for a paused or draining host.
FAULTS = (
    "host_killed",
    "links_silent",
    "platform_down",
    "platform_loses_answers",
    "upstream_connections_cut",
)


class VolumeTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken(self) -> None:
        plan = volume.Plan(
            job_count=300, caller_count=16, seed=7, faults=FAULTS
        )
        report = await volume.run_plan(plan)
        self.assertEqual(report.violations, [], report.outcomes)
        self.assertGreater(report.outcomes.get("complete", 0), 0)
        self.assertGreater(len(report.faults), 0)


if __name__ == "__main__":
    unittest.main()
