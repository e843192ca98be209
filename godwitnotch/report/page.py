"""Writes a report as one HTML page that needs no network."""

import html
from collections.abc import Iterable

from godwitnotch.report import summary as summary_module
from godwitnotch.report import tables as tables_module

_STYLE = """
body { font: 14px sans-serif; margin: 2em auto; max-width: 75em; }
table { border-collapse: collapse; margin: 0 0 2em; }
caption { font-weight: bold; padding: 0.5em 0; text-align: left; }
td, th { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: left; }
svg { max-width: 100%; }
"""


def build_page(
    summary: summary_module.Summary,
    tables: Iterable[tables_module.Table],
    *,
    drawing: str = "",
    broken_lines: int = 0,
) -> str:
    """Returns the page.

    Args:
        summary: What the page is about.
        tables: The tables to show.
        drawing: SVG of the curves; empty for none.
        broken_lines: How many lines of the logs were skipped.
    """
    body = "\n".join(_table(table) for table in tables)
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>godwitnotch report</title>
<style>{_STYLE}</style></head><body>
<h1>Jobs that missed their target time, and why</h1>
<p>{_introduction(summary, broken_lines)}</p>
{drawing or "<p>No curves: install godwitnotch[report] for them.</p>"}
{body}
</body></html>
"""


def _introduction(summary: summary_module.Summary, broken_lines: int) -> str:
    begin, end = summary.span or (0.0, 0.0)
    return html.escape(
        f"{summary.job_count} jobs from {tables_module.time_text(begin)} to "
        f"{tables_module.time_text(end)}; {summary.lost_count} missed their "
        f"target time, {100 * summary.unexplained_share:.1f}% of these without "
        f"a known cause. The hosts left out {summary.dropped_lines} lines; "
        f"{broken_lines} lines were skipped as broken."
    )


def _table(table: tables_module.Table) -> str:
    head = _row(table.columns, "th")
    rows = "\n".join(_row(row, "td") for row in table.rows)
    caption = html.escape(table.title)
    return f"<table><caption>{caption}</caption>\n{head}\n{rows}\n</table>"


def _row(cells: Iterable[str], tag: str) -> str:
    return (
        "<tr>"
        + "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
        + "</tr>"
    )
