"""Command line interface; each command imports only what it needs."""

from typing import Annotated

import typer

import godwitnotch
from godwitnotch.commands import callers
from godwitnotch.commands import hosts
from godwitnotch.commands import reports
from godwitnotch.commands import settings_files
from godwitnotch.commands import standins
from godwitnotch.commands import views
from godwitnotch.commands import workspaces

app = typer.Typer(
    name="godwitnotch",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_show_locals=False,
)
app.add_typer(hosts.app, name="host")
app.add_typer(workspaces.app, name="workspace")
app.add_typer(settings_files.app, name="settings")
app.add_typer(standins.app, name="standin")
callers.register(app)
views.register(app)
reports.register(app)


def _print_version(value: bool) -> None:
    if value:
        print(f"godwitnotch {godwitnotch.__version__}")
        raise typer.Exit


@app.callback()
def options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """A dispatcher for jobs of sub-second tasks."""


def main() -> None:
    """Runs the command line."""
    app()
