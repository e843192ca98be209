"""Commands for settings files of hosts."""

import enum
import json
import pathlib
from typing import Annotated
from typing import TYPE_CHECKING

import typer
from returns.result import Failure

from godwitnotch.commands import options

if TYPE_CHECKING:
    from godwitnotch import settings

app = typer.Typer(
    no_args_is_help=True, help="Checks and shows settings files of hosts."
)

File = Annotated[pathlib.Path, typer.Argument(metavar="FILE")]


class Kind(enum.Enum):
    """A kind of file."""

    HOST = "host"
    WORKSPACE = "workspace"


@app.command()
def check(file: File) -> None:
    """Checks a file and the secrets it names; prints every problem.

    Example: godwitnotch settings check /etc/godwitnotch/host.yaml
    """
    loaded = load(file)
    print(f"{file}: no problem; host={loaded.host} domain={loaded.domain}")


@app.command()
def show(file: File) -> None:
    """Prints the settings with all defaults, and without secrets.

    Example: godwitnotch settings show /etc/godwitnotch/host.yaml
    """
    from godwitnotch import settings

    print(settings.show(load(file)), end="")


@app.command()
def schema(
    kind: Annotated[Kind, typer.Option(help="Kind of file.")] = Kind.HOST,
) -> None:
    """Prints the JSON schema of a kind of file.

    Example: godwitnotch settings schema --kind workspace
    """
    from godwitnotch import checked_yaml
    from godwitnotch import settings
    from godwitnotch import workspace_file

    models: dict[Kind, type[checked_yaml.Checked]] = {
        Kind.HOST: settings.HostDocument,
        Kind.WORKSPACE: workspace_file.WorkspaceDocument,
    }
    print(json.dumps(models[kind].model_json_schema(), indent=2))


def load(file: pathlib.Path) -> "settings.HostSettings":
    """Returns the settings of a host, or prints the problems and exits."""
    from godwitnotch import settings

    loaded = settings.load(file)
    if isinstance(loaded, Failure):
        options.fail(str(loaded.failure()), options.ExitCode.USAGE)
    return loaded.unwrap()
