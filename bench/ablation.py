"""Measures what each mechanism and constant of the decisions is worth.

`python -m bench.ablation SITE --bench PROGRAM --without NAME` plays days of a
site with the code as it is and with a copy that lacks one mechanism, on the
same seeds, and prints the mean difference and its standard error. NAME is an
entry of ablation.yaml; `NAME*2` or `NAME/2` names a constant, as
`module.CONSTANT`, that is doubled or halved. `all` stands for every mechanism.

With `--generated` in place of SITE and `--bench`, the days are the loads of
`bench.load_sweep`, which have no faults and need no bench; with `--uneven` those
of `bench.uneven_load`.

The copies lie beside the repository. Their journal entries are moved to the
journal of the repository.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from bench import source_edits

MECHANISMS = pathlib.Path(__file__).parent / "ablation.yaml"
DECISIONS = "core/leased"
DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
RATES = ("85", "100", "120")  # Jobs a second of a generated load.
SHAPES = ("burst_long", "burst_narrow", "burst_wide", "swing", "overload")
# Whether the loads are uneven, their module and its option for the day.
GENERATORS = {
    False: ("bench.load_sweep", "--rate"),
    True: ("bench.uneven_load", "--shape"),
}
SEEDS = (11, 12)
IGNORED = shutil.ignore_patterns(
    ".git", ".venv", "journal", "__pycache__", ".mypy_cache", ".ruff_cache"
)


@dataclass(frozen=True, slots=True)
class Play:
    """One day of a site with one variant of the code."""

    variant: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Options:
    """How to play.

    Attributes:
        bench: The program that plays days.
        site: The site file.
        days: The days to play.
        seeds: The seeds of each day.
        jobs: How many plays run at once.
        with_cpu: Whether processor time counts.
        generated: Whether to play generated loads instead of a site's days.
        generator: Module that generates loads, and its option for the day.
        scratch: Folder of the copies.
    """

    bench: pathlib.Path
    site: pathlib.Path
    days: tuple[str, ...]
    seeds: tuple[int, ...]
    jobs: int
    with_cpu: bool
    generated: bool
    generator: tuple[str, str]
    scratch: pathlib.Path


class Ablation:
    """Plays the variants and compares them with the code as it is.

    Args:
        options: How to play.
        variants: The edits to the code, by the name of the variant.
    """

    BASE = "as it is"

    def __init__(
        self,
        options: Options,
        variants: dict[str, source_edits.SourceEdit],
    ) -> None:
        self._options = options
        self._variants = variants
        self._worth: dict[Play, float] = {}

    def run(self) -> None:
        """Plays all days and prints a table."""
        names = (self.BASE, *self._variants)
        for name in names:
            self._copy_code(name)
        plays = [
            Play(name, day, seed)
            for seed in self._options.seeds
            for day in self._options.days
            for name in names
        ]
        with concurrent.futures.ThreadPoolExecutor(self._options.jobs) as pool:
            for play, worth in zip(
                plays, pool.map(self._play, plays), strict=True
            ):
                self._worth[play] = worth
                print(
                    f"# {play.variant} {play.day} {play.seed}: {worth:.4f}",
                    file=sys.stderr,
                    flush=True,
                )
        for name in names:
            self._keep_journal(name)
        self._print_table()

    def _folder(self, variant: str) -> pathlib.Path:
        return self._options.scratch / folder_name(variant)

    def _copy_code(self, variant: str) -> None:
        folder = self._folder(variant)
        if folder.exists():
            shutil.rmtree(folder)
        shutil.copytree(source_edits.ROOT, folder, ignore=IGNORED)
        subprocess.run(["git", "init", "--quiet"], cwd=folder, check=True)
        if variant in self._variants:
            self._variants[variant].apply(folder)

    def _play(self, play: Play) -> float:
        """Returns the worth of a day; NaN if it could not be played."""
        if self._options.generated:
            return self._sweep(play)
        folder = self._folder(play.variant)
        report = folder / f"{pathlib.Path(play.day).stem}-{play.seed}.json"
        command = [
            str(self._options.bench),
            "run",
            str(self._options.site),
            play.day,
            "--seed",
            str(play.seed),
            "--report",
            str(report),
            "--why",
            f"ablation (trial): {play.variant}",
        ]
        if not self._options.with_cpu:
            command.append("--no-cpu")
        output = folder / f"{report.stem}.txt"
        with output.open("w") as file:
            subprocess.run(
                command, cwd=folder, stdout=file, stderr=file, check=False
            )
        if not report.exists():
            return math.nan
        result = json.loads(report.read_text())
        return 0.0 if result["breaks"] else float(result["G"])

    def _sweep(self, play: Play) -> float:
        """Returns the worth of a generated load, whose rate is the day."""
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                *self._options.generator,
                play.day,
                "--seed",
                str(play.seed),
            ],
            cwd=self._folder(play.variant),
            capture_output=True,
            text=True,
            check=False,
        )
        found = re.search(r"^mean=([\d.]+)$", completed.stdout, re.MULTILINE)
        return float(found[1]) if found else math.nan

    def _keep_journal(self, variant: str) -> None:
        folder = self._folder(variant) / "journal"
        for path in folder.rglob("*"):
            target = source_edits.ROOT / "journal" / path.relative_to(folder)
            if path.is_file() and not target.exists():
                shutil.copy(path, target)

    def _print_table(self) -> None:
        base = self._worths(self.BASE)
        print(f"{self._options.site.stem}: {self.BASE}: {_mean_text(base)}")
        for name in self._variants:
            worths = self._worths(name)
            pairs = zip(worths, base, strict=True)
            differences = [worth - other for worth, other in pairs]
            print(
                f"{name:40} {statistics.fmean(differences):+.4f} "
                f"+- {_standard_error(differences):.4f} "
                f"least {min(differences):+.3f} most {max(differences):+.3f}"
            )

    def _worths(self, variant: str) -> list[float]:
        return [
            worth
            for play, worth in self._worth.items()
            if play.variant == variant
        ]


def folder_name(variant: str) -> str:
    """Returns the name of the copy of a variant."""
    name = variant.replace("*", "_times_").replace("/", "_by_")
    return re.sub(r"\W+", "_", name)


def _mean_text(values: Sequence[float]) -> str:
    return f"{statistics.fmean(values):.4f} +- {_standard_error(values):.4f}"


def _standard_error(values: Sequence[float]) -> float:
    if len(values) < 2:
        return math.nan
    return statistics.stdev(values) / math.sqrt(len(values))


def find_variants(
    names: Iterable[str],
) -> dict[str, source_edits.SourceEdit]:
    """Returns the edits for mechanisms and constants.

    Raises:
        SystemExit: There is no such mechanism or constant.
    """
    mechanisms = {edit.name: edit for edit in source_edits.load(MECHANISMS)}
    variants: dict[str, source_edits.SourceEdit] = {}
    for name in names:
        if name == "all":
            variants |= mechanisms
        elif name in mechanisms:
            variants[name] = mechanisms[name]
        else:
            variants[name] = _scaled_constant(name)
    return variants


def _scaled_constant(name: str) -> source_edits.SourceEdit:
    """Returns the edit that halves or doubles `module.CONSTANT`."""
    match = re.fullmatch(r"(\w+)\.(\w+)([*/])(\d+(?:\.\d+)?)", name)
    if match is None:
        raise SystemExit(
            f"{name}: no mechanism of {MECHANISMS.name}, nor a constant as "
            "module.CONSTANT*2"
        )
    module, constant, sign, factor = match.groups()
    file = f"{DECISIONS}/{module}.py"
    text = (source_edits.ROOT / source_edits.PACKAGE / file).read_text()
    line = re.search(rf"^{constant} = ([\d_.]+)", text, re.MULTILINE)
    if line is None:
        raise SystemExit(f"{name}: {file} has no number {constant}")
    value = float(line[1])
    scaled = value * float(factor) if sign == "*" else value / float(factor)
    number = f"{scaled:g}" if "." in line[1] else str(max(1, round(scaled)))
    return source_edits.SourceEdit(
        name, file, line[0], f"{constant} = {number}"
    )


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "site", type=pathlib.Path, nargs="?", default=pathlib.Path("generated")
    )
    parser.add_argument("--bench", type=pathlib.Path, default=pathlib.Path())
    parser.add_argument("--generated", action="store_true")
    parser.add_argument("--uneven", action="store_true")
    parser.add_argument("--without", action="append", default=[])
    parser.add_argument("--day", action="append", default=[])
    parser.add_argument("--seed", action="append", type=int, default=[])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--with-cpu", action="store_true")
    parser.add_argument(
        "--scratch",
        type=pathlib.Path,
        default=source_edits.ROOT.parent / "ablation",
    )
    found = parser.parse_args()
    days: tuple[str, ...] = DAYS
    if found.uneven:
        days = SHAPES
    elif found.generated:
        days = RATES
    options = Options(
        bench=found.bench.resolve(),
        site=found.site.resolve(),
        days=tuple(found.day) or days,
        seeds=tuple(found.seed) or SEEDS,
        jobs=found.jobs,
        with_cpu=found.with_cpu,
        generated=found.generated or found.uneven,
        generator=GENERATORS[found.uneven],
        scratch=found.scratch,
    )
    Ablation(options, find_variants(found.without)).run()


if __name__ == "__main__":
    main()
