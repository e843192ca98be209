"""The command line; each command loads only what it needs."""

import typer

from godwitnotch.commands import callers
from godwitnotch.commands import hosts
from godwitnotch.commands import settings_files
from godwitnotch.commands import standins
from godwitnotch.commands import views
from godwitnotch.commands import workspaces

app = typer.Typer(
    name="godwitnotch",
    help="A dispatcher for jobs of sub-second tasks.",
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


def main() -> None:
    """Runs the command that the arguments name."""
    app()
