"""Commands for the settings of workspaces."""

import difflib
import pathlib
import sys
from collections.abc import Iterator
from typing import Annotated
from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING

import typer
from returns.result import Failure

from godwitnotch.commands import options

if TYPE_CHECKING:
    from godwitnotch import host_client

app = typer.Typer(
    no_args_is_help=True, help="Shows and changes the settings of workspaces."
)

# Time to wait for the response after the time that the host waits.
_EXTRA_WAIT_S = 5.0
_HTTP_CONFLICT = 409
_HTTP_NOT_FOUND = 404
_HTTP_GATEWAY_TIMEOUT = 504


@app.command("list")
def list_workspaces(
    host: options.Host, operator_token_file: options.OperatorTokenFile = None
) -> None:
    """Prints each workspace and the version that a host has applied.

    Example: godwitnotch workspace list --host 127.0.0.1:8080
    """
    client = options.operator_client(host, operator_token_file)
    response = options.call(client, "GET", "/v1/workspaces")
    _exit_unless_ok(response)
    for listed in response.value["workspaces"]:
        print(f"workspace={listed['workspace']} version={listed['version']}")


@app.command()
def get(
    workspace: Annotated[str, typer.Argument(metavar="NAME")],
    host: options.Host,
    operator_token_file: options.OperatorTokenFile = None,
) -> None:
    """Prints a workspace's settings in the file format that `put` reads.

    Example: godwitnotch workspace get chutney --host 127.0.0.1:8080
    """
    from godwitnotch import workspace_file

    client = options.operator_client(host, operator_token_file)
    response = options.call(client, "GET", f"/v1/workspaces/{workspace}")
    _exit_unless_ok(response)
    print(f"# version: {response.value['version']}")
    print(workspace_file.to_yaml(response.value["settings"]), end="")


@app.command()
def check(
    file: Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
) -> None:
    """Checks a workspace file and prints every problem.

    Example: godwitnotch workspace check chutney.yaml
    """
    document = _load(file)
    print(f"{file}: no problem; workspace={document['workspace']}")


@app.command()
def put(
    file: Annotated[pathlib.Path, typer.Argument(metavar="FILE")],
    host: options.Host,
    version: Annotated[
        int | None,
        typer.Option(
            min=0,
            help="Version on which your file is based; default: the version "
            "in force. 0 creates the workspace.",
        ),
    ] = None,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Only show the change.")
    ] = False,
    wait: Annotated[
        float,
        typer.Option(
            min=0,
            max=120,
            help="Seconds to wait until all hosts use the settings.",
        ),
    ] = 17.0,
    operator_token_file: options.OperatorTokenFile = None,
) -> None:
    """Replaces a workspace's settings and waits until they are in force.

    If some hosts don't use them yet, prints these hosts and exits with 6.

    Example: godwitnotch workspace put chutney.yaml --host 127.0.0.1:8080
    --dry-run
    """
    from godwitnotch import workspace_file

    document = _load(file)
    name = document["workspace"]
    client = options.operator_client(host, operator_token_file)
    base_version, base = _fetch_current(client, name)
    change = workspace_file.unified_diff(
        base, document, old_name=f"version {base_version}", new_name=str(file)
    )
    print(change or "no change", end="" if change else "\n")
    for warning in _unlisted_upstreams(client, document):
        print(f"warning: {warning}", file=sys.stderr)
    if dry_run or not change:
        return
    response = options.call(
        client,
        "PUT",
        f"/v1/workspaces/{name}",
        value=document,
        headers={"if-match": str(base_version if version is None else version)},
        query={"wait_s": f"{wait:g}"},
        timeout_s=wait + _EXTRA_WAIT_S,
    )
    _finish_put(response, base, base_version, file)


def _load(file: pathlib.Path) -> dict[str, Any]:
    """Returns the settings with all defaults; exits if the file is invalid."""
    from godwitnotch import workspace_file

    loaded = workspace_file.load(file)
    if isinstance(loaded, Failure):
        options.fail(str(loaded.failure()), options.ExitCode.USAGE)
    config = workspace_file.to_config(loaded.unwrap(), version=0)
    return workspace_file.to_json(config)


def _fetch_current(
    client: "host_client.HostClient", name: str
) -> tuple[int, dict[str, Any]]:
    """Returns the version and settings of the host; version 0 if none exist."""
    response = options.call(client, "GET", f"/v1/workspaces/{name}")
    if response.status == _HTTP_NOT_FOUND:
        return 0, {}
    _exit_unless_ok(response)
    return int(response.value["version"]), response.value["settings"]


def _unlisted_upstreams(
    client: "host_client.HostClient", document: dict[str, Any]
) -> Iterator[str]:
    """Yields a warning for each upstream that isn't in the directory.

    These are only warnings, since the directory may be out of date.
    """
    response = options.call(client, "GET", "/v1/host")
    _exit_unless_ok(response)
    listed = [str(entry["upstream"]) for entry in response.value["upstreams"]]
    for name, template in document["templates"].items():
        for upstream in template["upstreams"]:
            if upstream in listed:
                continue
            nearest = difflib.get_close_matches(upstream, listed, n=1)
            hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
            yield (
                f"template {name!r} names upstream {upstream!r}, which is not "
                f"in the platform's list{hint}"
            )


def _finish_put(
    response: "host_client.HostResponse",
    base: dict[str, Any],
    base_version: int,
    file: pathlib.Path,
) -> None:
    if response.status == _HTTP_CONFLICT:
        _fail_conflict(response, base, base_version, file)
    if response.status == _HTTP_GATEWAY_TIMEOUT:
        options.fail(response.error, options.ExitCode.UNKNOWN)
    _exit_unless_ok(response)
    version = response.value["version"]
    if response.value["state"] == "in_force":
        print(f"state=in_force version={version}")
        return
    lagging = ",".join(response.value["lagging"])
    print(f"state=recorded version={version} lagging={lagging}")
    options.fail(response.value["detail"], options.ExitCode.NOT_IN_FORCE)


def _fail_conflict(
    response: "host_client.HostResponse",
    base: dict[str, Any],
    base_version: int,
    file: pathlib.Path,
) -> NoReturn:
    """Prints the change that another operator made, and exits."""
    from godwitnotch import workspace_file

    current = response.value["error"]["current"]
    newest = current["version"]
    other_change = workspace_file.unified_diff(
        base,
        current["settings"],
        old_name=f"version {base_version}",
        new_name=f"version {newest}",
    )
    print(
        f"Nothing was changed: version {newest} is already recorded.",
        file=sys.stderr,
    )
    if other_change:
        print(
            f"Changes in that version:\n{other_change}", end="", file=sys.stderr
        )
    options.fail(
        f"Merge it into {file} and put the file again with --version {newest}.",
        options.ExitCode.REFUSED,
    )


def _exit_unless_ok(response: "host_client.HostResponse") -> None:
    if not response.ok:
        options.fail(response.error, options.ExitCode.REFUSED)
