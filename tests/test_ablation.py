"""Tests that the ablation matches the present code."""

import pathlib
import tempfile
import unittest

from bench import ablation
from bench import source_edits


class AblationTest(unittest.TestCase):
    def test_each_mechanism_can_be_taken_out_of_the_present_code(self) -> None:
        variants = ablation.find_variants(["all"])
        self.assertGreater(len(variants), 20)
        for name, edit in variants.items():
            with self.subTest(name=name):
                self.assertTrue(edit.answers)
                self.assertNotEqual(edit.old, edit.new)

    def test_edited_copies_are_valid_code(self) -> None:
        for edit in ablation.find_variants(["all"]).values():
            with (
                self.subTest(name=edit.name),
                tempfile.TemporaryDirectory() as scratch,
            ):
                copy = pathlib.Path(scratch)
                path = copy / source_edits.PACKAGE / edit.file
                path.parent.mkdir(parents=True)
                original = source_edits.ROOT / source_edits.PACKAGE / edit.file
                path.write_text(original.read_text())
                edit.apply(copy)
                compile(path.read_text(), str(path), "exec")

    def test_constants_are_scaled(self) -> None:
        name = "admission.MAX_RETRY_AFTER_S/2"
        edit = ablation.find_variants([name])[name]
        self.assertEqual(edit.old, "MAX_RETRY_AFTER_S = 5.0")
        self.assertEqual(edit.new, "MAX_RETRY_AFTER_S = 2.5")

    def test_unknown_names_are_refused(self) -> None:
        for name in ("nonsense", "admission.NO_SUCH_CONSTANT*2"):
            with self.subTest(name=name), self.assertRaises(SystemExit):
                ablation.find_variants([name])

    def test_each_variant_has_a_copy_of_its_own(self) -> None:
        names = ["as it is", "m.LIMIT*2", "m.LIMIT/2", "m.LIMIT*0.5"]
        folders = {ablation.folder_name(name) for name in names}
        self.assertEqual(len(folders), len(names))
