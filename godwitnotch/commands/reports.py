"""The command that explains lost jobs from logs."""

import pathlib
from collections.abc import Iterator
from typing import Annotated
from typing import TYPE_CHECKING

import typer

from godwitnotch.commands import options

if TYPE_CHECKING:
    from godwitnotch.report import log_lines
    from godwitnotch.report import summary as summary_module
    from godwitnotch.report import tables as tables_module

MAX_TERMINAL_ROWS = 12
PROGRESS_INTERVAL_LINES = 2_000


def register(app: typer.Typer) -> None:
    """Registers the command."""
    app.command()(report)


def report(
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(metavar="LOG...", help="Log files of hosts."),
    ],
    out: Annotated[
        pathlib.Path | None,
        typer.Option("--out", help="HTML page to write."),
    ] = None,
) -> None:
    """Tells from the hosts' logs which jobs missed their target time, and why.

    Each file has the lines of one host, or of all. Lines that are no events are
    counted and skipped.

    Example: godwitnotch report lucerne-1.log lucerne-2.log --out day.html
    """
    from godwitnotch.report import log_lines
    from godwitnotch.report import tables

    missing = [str(log) for log in logs if not log.is_file()]
    if missing:
        options.fail(
            f"no such file: {', '.join(missing)}; give the hosts' log files",
            options.ExitCode.USAGE,
        )
    reader = log_lines.LogReader(logs)
    summary = _summarize(reader, sum(log.stat().st_size for log in logs))
    if not summary.job_count:
        options.fail(
            f"no job in {reader.read_count} lines "
            f"({reader.broken_count} broken); give logs of level info of "
            "hosts on the platform",
            options.ExitCode.USAGE,
        )
    built = tables.build_tables(summary)
    _print_tables(built, summary, reader)
    if out is not None:
        _write_page(out, built, summary, reader)


def _summarize(
    reader: "log_lines.LogReader", size_bytes: int
) -> "summary_module.Summary":
    """Reads all lines, with a progress bar on a terminal."""
    from rich import console as console_module
    from rich import progress

    from godwitnotch.report import summary_builder

    bar = progress.Progress(
        console=console_module.Console(stderr=True), transient=True
    )
    with bar:
        task = bar.add_task("Reading logs", total=size_bytes)

        def followed() -> Iterator["log_lines.LogLine"]:
            for number, line in enumerate(reader):
                if number % PROGRESS_INTERVAL_LINES == 0:
                    bar.update(task, completed=reader.read_bytes)
                yield line

        return summary_builder.summarize(followed())


def _print_tables(
    tables: "list[tables_module.Table]",
    summary: "summary_module.Summary",
    reader: "log_lines.LogReader",
) -> None:
    from rich import console as console_module
    from rich import table as rich_table

    console = console_module.Console()
    for table in tables:
        drawn = rich_table.Table(*table.columns, title=table.title)
        for row in table.rows[:MAX_TERMINAL_ROWS]:
            drawn.add_row(*row)
        console.print(drawn)
    print(
        f"jobs={summary.job_count} lost={summary.lost_count} "
        f"unexplained_share={summary.unexplained_share:.3f} "
        f"lines={reader.read_count} broken_lines={reader.broken_count} "
        f"left_out_lines={summary.dropped_lines}"
    )


def _write_page(
    path: pathlib.Path,
    tables: "list[tables_module.Table]",
    summary: "summary_module.Summary",
    reader: "log_lines.LogReader",
) -> None:
    from godwitnotch.report import page

    try:
        from godwitnotch.report import plots

        drawing = plots.draw_outcomes(summary)
    except ImportError:
        drawing = ""
    path.write_text(
        page.build_page(
            summary, tables, drawing=drawing, broken_lines=reader.broken_count
        ),
        encoding="utf-8",
    )
    print(f"page={path}")
