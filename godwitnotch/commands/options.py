"""Options, exit codes and helpers that several commands share."""

import enum
import os
import pathlib
import sys
from collections.abc import Sequence
from typing import Annotated
from typing import NoReturn
from typing import TYPE_CHECKING

import typer

if TYPE_CHECKING:
    from godwitnotch import host_client

TOKEN_VARIABLE = "GODWITNOTCH_TOKEN"
OPERATOR_TOKEN_VARIABLE = "GODWITNOTCH_OPERATOR_TOKEN"
# Reasons for which a host refuses a request without knowing whether another
# host ran it.
_HOST_LOCAL_REFUSALS = frozenset({"draining", "no_configuration"})


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    REFUSED = 1  # Nothing ran and nothing changed.
    USAGE = 2
    FAILED = 3
    UNKNOWN = 4  # Tasks may have run, or a change may have been recorded.
    UNREACHABLE = 5
    NOT_IN_FORCE = 6  # Recorded, but not yet applied by some hosts.


Host = Annotated[
    str,
    typer.Option(
        envvar="GODWITNOTCH_HOST",
        metavar="IP:PORT",
        help="Address (listen.callers) of any host.",
    ),
]
Hosts = Annotated[
    list[str],
    typer.Option(
        "--host",
        envvar="GODWITNOTCH_HOSTS",
        metavar="IP:PORT",
        help="Address (listen.callers) of a host; repeat for several.",
    ),
]
CallerHosts = Annotated[
    list[str],
    typer.Option(
        "--host",
        envvar="GODWITNOTCH_HOST",
        metavar="IP:PORT",
        help="Address (listen.callers) of a host; repeat it to name "
        "hosts that are tried in turn until one responds.",
    ),
]
Workspace = Annotated[
    str,
    typer.Option(
        envvar="GODWITNOTCH_WORKSPACE",
        metavar="NAME",
        help="Workspace of the jobs.",
    ),
]
TokenFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        metavar="FILE",
        exists=True,
        dir_okay=False,
        help=f"File with the workspace's token; default: ${TOKEN_VARIABLE}.",
    ),
]
OperatorTokenFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        metavar="FILE",
        exists=True,
        dir_okay=False,
        help=f"File with the operators' token; default: "
        f"${OPERATOR_TOKEN_VARIABLE}.",
    ),
]


def caller_clients(
    addresses: Sequence[str], token_file: pathlib.Path | None
) -> list["host_client.HostClient"]:
    """Returns clients with the workspace's token; exits if there is none."""
    return [
        _client(address, TOKEN_VARIABLE, "--token-file", token_file)
        for address in addresses
    ]


def operator_client(
    address: str, token_file: pathlib.Path | None
) -> "host_client.HostClient":
    """Returns a client with the operators' token; exits if there is none."""
    return _client(
        address, OPERATOR_TOKEN_VARIABLE, "--operator-token-file", token_file
    )


def call(
    client: "host_client.HostClient",
    method: str,
    path: str,
    **kwargs: object,
) -> "host_client.HostResponse":
    """Sends a request; exits with a message if there is no response."""
    from godwitnotch import host_client

    try:
        return client.call(method, path, **kwargs)  # type: ignore[arg-type]
    except host_client.HostUnreachable as error:
        fail(
            f"host {client.address} gave no answer, so the effect is not "
            f"known: {error}. Retry the same request at this or another host.",
            ExitCode.UNREACHABLE,
        )


def call_any(
    clients: Sequence["host_client.HostClient"],
    method: str,
    path: str,
    **kwargs: object,
) -> "host_client.HostResponse":
    """Sends a request to the hosts in turn until a response is conclusive.

    Only for idempotent requests. Continues with the next host if a host doesn't
    respond, or refuses without knowing whether another host ran the request.
    Exits with a message if it is unknown whether the request had an effect.
    """
    from godwitnotch import host_client

    last_refusal = None
    unreachable = []
    for client in clients:
        try:
            response = client.call(
                method,
                path,
                **kwargs,  # type: ignore[arg-type]
            )
        except host_client.HostUnreachable as error:
            unreachable.append(str(error))
            continue
        if response.value.get("reason") not in _HOST_LOCAL_REFUSALS:
            return response
        last_refusal = response
    if last_refusal is None or unreachable:
        fail(
            "the effect is not known, since hosts gave no answer; retry the "
            "same request: " + "; ".join(unreachable),
            ExitCode.UNREACHABLE,
        )
    return last_refusal


def fail(message: str, code: ExitCode) -> NoReturn:
    """Prints a message to standard error and exits."""
    print(message, file=sys.stderr)
    raise typer.Exit(code)


def _client(
    address: str,
    variable: str,
    option: str,
    token_file: pathlib.Path | None,
) -> "host_client.HostClient":
    from godwitnotch import host_client
    from godwitnotch import settings

    try:
        settings.parse_address(address)
    except ValueError as error:
        fail(f"--host: {error}", ExitCode.USAGE)
    try:
        token = host_client.read_token(variable, token_file, os.environ)
    except (ValueError, OSError) as error:
        fail(f"{error}; set {variable} or give {option} FILE", ExitCode.USAGE)
    return host_client.HostClient(address, token)
