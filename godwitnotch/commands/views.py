"""Commands that show what hosts do: explain, top and demo."""

import asyncio
import datetime
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated
from typing import TYPE_CHECKING

import typer

from godwitnotch.commands import options

if TYPE_CHECKING:
    from godwitnotch import host_client


@dataclass(frozen=True, slots=True)
class _EventLine:
    """An event of a submission, with its Unix time by the local clock."""

    time_s: float
    host: str
    text: str


def register(app: typer.Typer) -> None:
    """Registers the commands."""
    app.command()(explain)
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
