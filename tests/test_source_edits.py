"""Tests that the deliberate defects and ablations fit the present code."""

import pathlib
import unittest

from bench import source_edits
from tests.mutants import __main__ as mutants

FILES = (
    mutants.DEFECTS,
    *sorted((pathlib.Path(source_edits.__file__).parent).glob("*.yaml")),
)


class SourceEditsTest(unittest.TestCase):
    def test_code_moves_and_leaves_defects_that_change_nothing(self) -> None:
        for path in FILES:
            with self.subTest(path.name):
                self.assertTrue(source_edits.load(path))


if __name__ == "__main__":
    unittest.main()
