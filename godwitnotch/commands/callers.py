"""Commands for callers: reserve, submit, status and cancel."""

import json
import sys
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING

import typer

from godwitnotch.commands import options

if TYPE_CHECKING:
    from godwitnotch import host_client

# Time to wait for the response after the timeout of the job.
_EXTRA_WAIT_S = 5.0
_DEFAULT_TIMEOUT_MS = 30_000
_EXIT_CODES = {
    "complete": options.ExitCode.OK,
    "running": options.ExitCode.OK,
    "reserved": options.ExitCode.OK,
    "refused": options.ExitCode.REFUSED,
    "failed": options.ExitCode.FAILED,
    "unknown": options.ExitCode.UNKNOWN,
}

Submission = Annotated[
    str, typer.Argument(metavar="ID", help="Id of the submission.")
]


def register(app: typer.Typer) -> None:
    """Registers the commands."""
    app.command()(reserve)
    app.command()(submit)
    app.command()(status)
    app.command()(cancel)


def reserve(
    host: options.CallerHosts,
    workspace: options.Workspace,
    count: Annotated[int, typer.Option(min=1, help="Number of ids.")] = 1,
    key: Annotated[
        str | None,
        typer.Option(
            help="Idempotency key for one id, such as an order number."
        ),
    ] = None,
    token_file: options.TokenFile = None,
) -> None:
    """Reserves submission ids and prints one per line. Starts no task.

    Example: godwitnotch reserve --host 127.0.0.1:8080 --workspace chutney
    --count 10
    """
    clients = options.caller_clients(host, token_file)
    reservation: dict[str, Any] = {"count": count}
    if key is not None:
        reservation["key"] = key
    for submission in _reserve(clients, workspace, reservation):
        print(submission)


def submit(
    host: options.CallerHosts,
    workspace: options.Workspace,
    template: Annotated[
        str, typer.Option(metavar="NAME", help="Template for the tasks.")
    ],
    tasks: Annotated[
        typer.FileText,
        typer.Option(
            metavar="FILE", help="JSON list of 1 to 110 payloads; - for stdin."
        ),
    ],
    submission: Annotated[
        str | None,
        typer.Option("--id", metavar="ID", help="Reserved submission id."),
    ] = None,
    key: Annotated[
        str | None,
        typer.Option(help="Idempotency key, instead of a reserved id."),
    ] = None,
    timeout_ms: Annotated[
        float, typer.Option(min=1, help="How long to wait, in milliseconds.")
    ] = _DEFAULT_TIMEOUT_MS,
    token_file: options.TokenFile = None,
) -> None:
    """Submits a job, waits for its answer and prints it as JSON.

    Without --id and --key, an id is reserved first. To retry a submission
    whose answer was lost, give the same --id or --key: no task starts twice.

    Example: godwitnotch submit --host 127.0.0.1:8080 --workspace chutney
    --template reorder-check --tasks tasks.json --timeout-ms 5000
    """
    if submission and key:
        options.fail("give --id or --key, not both", options.ExitCode.USAGE)
    job = {
        "template": template,
        "tasks": _read_tasks(tasks),
        "timeout_ms": timeout_ms,
    }
    clients = options.caller_clients(host, token_file)
    wait_s = timeout_ms / 1_000 + _EXTRA_WAIT_S
    if key is not None:
        headers = {"idempotency-key": key}
        path = f"/v1/{workspace}/jobs"
        response = options.call_any(
            clients, "POST", path, value=job, headers=headers, timeout_s=wait_s
        )
        _print_and_exit(response)
    if submission is None:
        submission = _reserve(clients, workspace, {"count": 1})[0]
        print(f"id={submission}", file=sys.stderr)
    path = f"/v1/{workspace}/jobs/{submission}"
    _print_and_exit(
        options.call_any(clients, "PUT", path, value=job, timeout_s=wait_s)
    )


def status(
    submission: Submission,
    host: options.CallerHosts,
    workspace: options.Workspace,
    token_file: options.TokenFile = None,
) -> None:
    """Prints the state of a submission as JSON.

    Example: godwitnotch status ID --host 127.0.0.1:8080 --workspace chutney
    """
    clients = options.caller_clients(host, token_file)
    path = f"/v1/{workspace}/jobs/{submission}"
    _print_and_exit(options.call_any(clients, "GET", path))


def cancel(
    submission: Submission,
    host: options.CallerHosts,
    workspace: options.Workspace,
    token_file: options.TokenFile = None,
) -> None:
    """Cancels a submission and prints its final state as JSON.

    Running tasks are aborted; the answer tells whether tasks ran.

    Example: godwitnotch cancel ID --host 127.0.0.1:8080 --workspace chutney
    """
    clients = options.caller_clients(host, token_file)
    path = f"/v1/{workspace}/jobs/{submission}"
    _print_and_exit(options.call_any(clients, "DELETE", path))


def _reserve(
    clients: Sequence["host_client.HostClient"],
    workspace: str,
    reservation: dict[str, Any],
) -> list[str]:
    path = f"/v1/{workspace}/reservations"
    response = options.call_any(clients, "POST", path, value=reservation)
    if "ids" not in response.value:
        _print_and_exit(response)
    return [str(submission) for submission in response.value["ids"]]


def _read_tasks(file: typer.FileText) -> list[Any]:
    try:
        tasks = json.load(file)
    except ValueError as error:
        options.fail(
            f"--tasks: not valid JSON: {error}", options.ExitCode.USAGE
        )
    if not isinstance(tasks, list):
        options.fail(
            "--tasks: not a JSON list; give one payload per task",
            options.ExitCode.USAGE,
        )
    return tasks


def _print_and_exit(response: "host_client.HostResponse") -> None:
    """Prints a response, and a summary to standard error; then exits."""
    print(json.dumps(response.value))
    outcome = str(response.value.get("outcome", "refused"))
    if "outcome" in response.value:
        parts = [f"outcome={outcome}", f"ran={response.value.get('ran')}"]
        if "reason" in response.value:
            parts.append(f"reason={response.value['reason']}")
        if "results" in response.value:
            parts.append(f"answers={len(response.value['results'])}")
        print(" ".join(parts), file=sys.stderr)
    raise typer.Exit(_EXIT_CODES.get(outcome, options.ExitCode.FAILED))
