"""Edits of the source by which a copy of the code differs from the code."""

import pathlib
from dataclasses import dataclass

import yaml

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = "godwitnotch"


@dataclass(frozen=True, slots=True)
class SourceEdit:
    """A replacement in one file.

    Attributes:
        name: Name of the edit.
        file: File, relative to the package.
        old: Text that occurs exactly once in the file.
        new: Replacement of the text.
        answers: The load or fault that the replaced code is for, if told.
    """

    name: str
    file: str
    old: str
    new: str
    answers: str = ""

    def apply(self, copy: pathlib.Path) -> None:
        """Applies the edit to a copy of the code."""
        path = copy / PACKAGE / self.file
        path.write_text(path.read_text().replace(self.old, self.new))


def load(path: pathlib.Path) -> list[SourceEdit]:
    """Reads edits; exits unless each old text occurs exactly once."""
    edits = [SourceEdit(**each) for each in yaml.safe_load(path.read_text())]
    for edit in edits:
        found = (ROOT / PACKAGE / edit.file).read_text().count(edit.old)
        if found != 1:
            raise SystemExit(
                f"{path.name}: {edit.name}: `old` occurs {found} times "
                f"in {edit.file}; adapt it to the present code"
            )
    return edits
