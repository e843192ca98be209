"""A short soak: only what must never happen decides, however busy it is."""

import asyncio
import pathlib
import tempfile
import unittest

from tests.soak import __main__ as command
from tests.soak import soak

SEED = 1
MINUTES = 0.8
HOSTS = 6


class SoakTest(unittest.TestCase):
    def test_nothing_runs_twice_at_once_and_nothing_refused_runs(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            options = soak.Options(
                seed=SEED,
                minutes=MINUTES,
                hosts=HOSTS,
                folder=pathlib.Path(folder),
                network=command.network(),
                scale=0.4,
            )
            result = asyncio.run(soak.run(options))
        text = "\n".join(result.lines)
        self.assertEqual(result.overlaps, [], text)
        self.assertEqual(result.refused_but_ran, [], text)
        self.assertEqual(result.stray_responses, [], text)
        self.assertEqual(result.started_after_crashes, [], text)
        self.assertEqual(result.over_room, [], text)
        self.assertGreater(result.cancels, 0, text)
        self.assertEqual(result.ran_after_cancel, [], text)
