"""A short volume run under faults; `make failures` is the long one."""

import unittest

from tests.process import volume


class VolumeTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken(self) -> None:
        plan = volume.Plan(jobs=300, callers=8, seed=7)
        report = await volume.run_plan(plan)
        self.assertEqual(report.violations, [], report.outcomes)
        self.assertGreater(report.outcomes.get("complete", 0), 0)
        self.assertGreater(len(report.faults), 0)


if __name__ == "__main__":
    unittest.main()
