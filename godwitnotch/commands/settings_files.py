"""Commands for the settings files of hosts."""

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
    from godwitnotch.platform import settings as platform_settings

app = typer.Typer(
    no_args_is_help=True, help="Checks and shows settings files of hosts."
)

File = Annotated[pathlib.Path, typer.Argument(metavar="FILE")]


class Kind(enum.Enum):
    """A kind of file."""

    HOST = "host"
    WORKSPACE = "workspace"


@app.command()
def check(
    files: Annotated[list[pathlib.Path], typer.Argument(metavar="FILE...")],
) -> None:
    """Checks settings files and their secrets, and prints every problem.

    Several files are also checked as one deployment: names and addresses must
    differ, secret and platform must be the same.

    Example: godwitnotch settings check lucerne-1.yaml lucerne-2.yaml
    """
    from godwitnotch import deployment
    from godwitnotch import settings_file

    loaded = {str(file): settings_file.load(file) for file in files}
    valid = {
        file: result.unwrap()
        for file, result in loaded.items()
        if not isinstance(result, Failure)
    }
    problems = [
        str(result.failure())
        for result in loaded.values()
        if isinstance(result, Failure)
    ]
    problems += [str(problem) for problem in deployment.check(valid)]
    if problems:
        options.fail("\n".join(problems), options.ExitCode.USAGE)
    for file, host in valid.items():
        print(f"{file}: no problem; host={host.host} domain={host.domain}")


@app.command()
def show(file: File) -> None:
    """Prints the settings with all defaults but without secrets.

    Example: godwitnotch settings show /etc/godwitnotch/host.yaml
    """
    from godwitnotch import settings_file

    print(settings_file.show(load(file)), end="")


@app.command()
def schema(
    kind: Annotated[Kind, typer.Option(help="Kind of file.")] = Kind.HOST,
) -> None:
    """Prints the JSON schema of a kind of file.

    Example: godwitnotch settings schema --kind workspace
    """
    from godwitnotch import checked_yaml
    from godwitnotch import settings_document
    from godwitnotch import workspace_file

    models: dict[Kind, type[checked_yaml.StrictDocument]] = {
        Kind.HOST: settings_document.HostDocument,
        Kind.WORKSPACE: workspace_file.WorkspaceDocument,
    }
    print(json.dumps(models[kind].model_json_schema(), indent=2))


@app.command()
def platform(file: File) -> None:
    """Checks a settings file that the platform wrote.

    Example: godwitnotch settings platform /etc/godwitnotch/settings.conf
    """
    loaded = load_platform(file)
    print(
        f"{file}: no problem; host={loaded.name} domain={loaded.domain} "
        f"callers={loaded.callers} peers={loaded.peers} "
        f"metrics_port={loaded.metrics_port}"
    )


def load_platform(file: pathlib.Path) -> "platform_settings.PlatformSettings":
    """Loads the platform's settings file; exits with the problem if invalid."""
    from godwitnotch.platform import settings as platform_settings

    try:
        return platform_settings.load(file)
    except platform_settings.PlatformSettingsError as error:
        options.fail(str(error), options.ExitCode.USAGE)


def load(file: pathlib.Path) -> "settings.HostSettings":
    """Returns a host's settings; prints the problems and exits if invalid."""
    from godwitnotch import settings_file

    loaded = settings_file.load(file)
    if isinstance(loaded, Failure):
        options.fail(str(loaded.failure()), options.ExitCode.USAGE)
    return loaded.unwrap()
