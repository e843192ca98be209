"""Commands that show what hosts do: explain, explain-job, top and demo."""

import asyncio
import datetime
import time
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import typer

from godwitnotch.commands import options

if TYPE_CHECKING:
    from godwitnotch import host_client


class _EventLine(msgspec.Struct, frozen=True):
    """An event of a submission, with its Unix time by the local clock."""

    time_s: float
    host: str
    text: str


def register(app: typer.Typer) -> None:
    """Registers the commands."""
    app.command()(explain)
    app.command("explain-job")(explain_job)
    app.command()(top)
    app.command()(demo)


def demo(
    on_platform: Annotated[
        bool,
        typer.Option(
            "--on-platform",
            help="Run three hosts on stand-ins of the users' platform, then "
            "stop one of them.",
        ),
    ] = False,
) -> None:
    """Runs jobs on stand-ins in this process.

    Example: godwitnotch demo
    """
    if on_platform:
        from godwitnotch import leased_demo

        raise typer.Exit(leased_demo.run())
    from godwitnotch import demo as demo_module

    raise typer.Exit(demo_module.run())


def explain(
    submission: Annotated[
        str, typer.Argument(metavar="ID", help="Submission id.")
    ],
    host: options.Hosts,
    operator_token_file: options.OperatorTokenFile = None,
    timeout: Annotated[
        float, typer.Option(min=0.1, help="Seconds to wait for each host.")
    ] = 3.0,
) -> None:
    """Prints the events of a submission on several hosts, ordered by time.

    Hosts keep only the latest events, in memory. Times of one host are exact;
    times of different hosts can be off by the time that a response takes.

    Example: godwitnotch explain ID --host 10.0.1.11:8080 --host
    10.0.2.11:8080
    """
    clients = [
        options.operator_client(address, operator_token_file)
        for address in host
    ]
    lines, problems = _gather_events(clients, submission, timeout)
    for line in lines:
        timestamp = datetime.datetime.fromtimestamp(line.time_s, datetime.UTC)
        time_text = timestamp.isoformat(timespec="milliseconds")
        print(f"time={time_text} host={line.host} {line.text}")
    if not lines:
        print(
            "none of these hosts has events of this id; ask all hosts of its "
            "domain"
        )
    if problems:
        options.fail("\n".join(problems), options.ExitCode.UNREACHABLE)


def explain_job(
    job: Annotated[
        typer.FileBinaryRead,
        typer.Argument(
            metavar="FILE", help="Body of the request; - for stdin."
        ),
    ],
    host: Annotated[
        str,
        typer.Option(
            metavar="IP:METRICS_PORT",
            help="Metrics address of a host on the users' platform.",
        ),
    ],
    authority: Annotated[str, typer.Option(help="Host header of the request.")],
    path: Annotated[
        str, typer.Option(help="Path of the request, with the id of the job.")
    ],
    wait_ms: Annotated[
        float | None,
        typer.Option(min=0, help="X-Request-Deadline of the request."),
    ] = None,
    timeout: Annotated[
        float, typer.Option(min=0.1, help="Seconds to wait for the host.")
    ] = 3.0,
) -> None:
    """Prints where a job would go now, and why, without sending it.

    The job goes on as if a caller had sent it to this host; nothing is run,
    counted or recorded. The first task is placed as if no other task waited.

    Example: godwitnotch explain-job --host 10.0.1.11:9100 --authority
    jobs.example --path /jobs/00000000000000a1 job.json
    """
    from godwitnotch import host_client
    from godwitnotch import settings

    try:
        settings.parse_address(host)
    except ValueError as error:
        options.fail(f"--host: {error}", options.ExitCode.USAGE)
    headers = {} if wait_ms is None else {"x-request-deadline": f"{wait_ms}"}
    try:
        response = host_client.HostClient(host, "").call(
            "POST",
            "/explain-job",
            body=job.read(),
            query={"authority": authority, "path": path},
            headers=headers,
            timeout_s=timeout,
        )
    except host_client.HostUnreachable as error:
        options.fail(
            f"host {host} gave no report: {error}. Check that --host is the "
            "metrics address of a host on the users' platform, or ask another "
            "host; nothing was run.",
            options.ExitCode.UNREACHABLE,
        )
    if not response.ok:
        options.fail(response.error, options.ExitCode.REFUSED)
    for section, values in response.value.items():
        print(section, *_pairs(values))


def _pairs(values: dict[str, Any]) -> list[str]:
    """Returns the values of a section as key=value pairs for one line."""
    from godwitnotch import log

    pairs = []
    for name, value in values.items():
        if isinstance(value, list):
            value = ",".join(value)
        elif isinstance(value, bool):
            value = str(value).lower()
        elif isinstance(value, float):
            value = f"{value:.3f}"
        pairs.append(f"{name}={log.format_value(value)}")
    return pairs


def top(
    host: options.Hosts,
    operator_token_file: options.OperatorTokenFile = None,
    interval: Annotated[
        float, typer.Option(min=0.2, help="Seconds between updates.")
    ] = 1.0,
    updates: Annotated[
        int, typer.Option(min=0, help="Number of updates; 0 for no limit.")
    ] = 0,
) -> None:
    """Shows hosts, upstreams, queues and reasons live; stop with Ctrl-C.

    Example: godwitnotch top --host 10.0.1.11:8080 --host 10.0.2.11:8080
    """
    from godwitnotch import live_view

    clients = [
        options.operator_client(address, operator_token_file)
        for address in host
    ]
    try:
        live_view.run(clients, interval_s=interval, updates=updates)
    except KeyboardInterrupt:
        return


def _gather_events(
    clients: Sequence["host_client.HostClient"],
    submission: str,
    timeout_s: float,
) -> tuple[list[_EventLine], list[str]]:
    """Returns the events of all hosts ordered by time, and the problems."""
    from godwitnotch import host_client

    path = f"/v1/explain/{submission}"
    responses = asyncio.run(
        host_client.call_all(clients, "GET", path, timeout_s=timeout_s)
    )
    now = time.time()
    lines = []
    problems = []
    for client, response in zip(clients, responses, strict=True):
        if isinstance(response, host_client.HostUnreachable):
            problems.append(f"host {client.address} gave no answer: {response}")
        elif not response.ok:
            problems.append(f"host {client.address}: {response.error}")
        else:
            lines.extend(_event_lines(response, now))
    return sorted(lines, key=lambda line: line.time_s), problems


def _event_lines(
    response: "host_client.HostResponse", now: float
) -> list[_EventLine]:
    host = response.value["host"]
    lines = []
    for event in response.value["events"]:
        parts = [f"event={event['event']}"]
        if event["reason"]:
            parts.append(f"reason={event['reason']}")
        if event["detail"]:
            parts.append(event["detail"])
        lines.append(_EventLine(now - event["ago_s"], host, " ".join(parts)))
    return lines
