"""Commands that run a host and manage running hosts."""

import asyncio
import json
import pathlib
import time
from typing import Annotated
from typing import TYPE_CHECKING

import typer

from godwitnotch.commands import options
from godwitnotch.commands import settings_files

if TYPE_CHECKING:
    from godwitnotch import host_client

app = typer.Typer(invoke_without_command=True)

_READY_POLL_S = 0.2
_READY_TIMEOUT_S = 2.0


@app.callback()
def run(
    context: typer.Context,
    settings: Annotated[
        pathlib.Path | None,
        typer.Option(metavar="FILE", help="Settings file of the host."),
    ] = None,
    platform_settings: Annotated[
        pathlib.Path | None,
        typer.Option(
            metavar="FILE", help="Settings file that the platform wrote."
        ),
    ] = None,
) -> None:
    """Runs a host until it is drained, or manages a running host.

    SIGTERM starts a drain: the host takes no new jobs and gives those in
    progress limits.drain_timeout_s seconds to finish. A second SIGTERM aborts
    them at once.

    Example: godwitnotch host --settings /etc/godwitnotch/host.yaml
    """
    if context.invoked_subcommand is not None:
        return
    if platform_settings is not None:
        _run_on_platform(platform_settings)
        return
    if settings is None:
        options.fail(
            "give --settings FILE to run a host, or --help for the commands",
            options.ExitCode.USAGE,
        )
    loaded = settings_files.load(settings)
    from godwitnotch import log
    from godwitnotch import root

    try:
        asyncio.run(root.run_host(loaded))
    except OSError as error:
        options.fail(
            f"the host can't start: {error}; free the address, or change "
            f"listen in {settings}",
            options.ExitCode.FAILED,
        )
    except Exception as error:
        log.logger.exception("", extra={"event": "host_failed"})
        raise typer.Exit(options.ExitCode.FAILED) from error


def _run_on_platform(file: pathlib.Path) -> None:
    from godwitnotch import leased_root

    loaded = settings_files.load_platform(file)
    try:
        asyncio.run(leased_root.run_host(loaded))
    except OSError as error:
        options.fail(
            f"the host can't start: {error}; free the address that is set "
            f"in {file}",
            options.ExitCode.FAILED,
        )


@app.command()
def status(
    host: options.Host, operator_token_file: options.OperatorTokenFile = None
) -> None:
    """Prints the state of a running host as JSON.

    Example: godwitnotch host status --host 127.0.0.1:8080
    """
    client = options.operator_client(host, operator_token_file)
    response = options.call(client, "GET", "/v1/host")
    if not response.ok:
        options.fail(response.error, options.ExitCode.REFUSED)
    print(json.dumps(response.value, indent=2))


@app.command()
def ready(
    host: options.Host,
    wait: Annotated[
        float, typer.Option(min=0, help="Maximum time to wait, in seconds.")
    ] = 30.0,
) -> None:
    """Waits until a host takes new jobs; exits with 1 on a timeout.

    Example: godwitnotch host ready --host 127.0.0.1:8080 --wait 10
    """
    from godwitnotch import host_client

    client = host_client.HostClient(host, "")
    deadline = time.monotonic() + wait
    while not _is_ready(client):
        if time.monotonic() >= deadline:
            options.fail(
                f"host {host} was not ready within {wait:g} s; see its log",
                options.ExitCode.REFUSED,
            )
        time.sleep(_READY_POLL_S)
    print("state=ready")


def _is_ready(client: "host_client.HostClient") -> bool:
    from godwitnotch import host_client

    try:
        return client.call("GET", "/readyz", timeout_s=_READY_TIMEOUT_S).ok
    except host_client.HostUnreachable:
        return False


@app.command()
def drain(
    host: options.Host,
    timeout: Annotated[
        float | None,
        typer.Option(
            min=0,
            max=3_600,
            help="Seconds until jobs in progress are aborted; default: the "
            "host's setting.",
        ),
    ] = None,
    operator_token_file: options.OperatorTokenFile = None,
) -> None:
    """Starts the graceful shutdown of a running host.

    Example: godwitnotch host drain --host 127.0.0.1:8080 --timeout 60
    """
    client = options.operator_client(host, operator_token_file)
    query = {} if timeout is None else {"timeout_s": f"{timeout:g}"}
    response = options.call(client, "POST", "/v1/host/drain", query=query)
    if not response.ok:
        options.fail(response.error, options.ExitCode.REFUSED)
    print(f"state=draining timeout_s={response.value['timeout_s']:g}")


@app.command("log-level")
def log_level(
    level: Annotated[
        str, typer.Argument(help="One of debug, info, warning and error.")
    ],
    host: options.Host,
    operator_token_file: options.OperatorTokenFile = None,
) -> None:
    """Changes the log level of a running host.

    Example: godwitnotch host log-level debug --host 127.0.0.1:8080
    """
    client = options.operator_client(host, operator_token_file)
    query = {"level": level}
    response = options.call(client, "PUT", "/v1/host/log", query=query)
    if not response.ok:
        options.fail(response.error, options.ExitCode.REFUSED)
    print(f"log_level={response.value['log_level']}")
