"""Live view of several hosts in a terminal."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import rich.console
import rich.live
import rich.table

from godwitnotch import host_client

_STATUS_PATH = "/v1/host"

Responses = Sequence[host_client.HostResponse | host_client.HostUnreachable]


def run(
    clients: Sequence[host_client.HostClient],
    *,
    interval_s: float,
    updates: int,
) -> None:
    """Shows the hosts and refreshes the view periodically.

    Args:
        clients: Clients of the hosts to show.
        interval_s: Time between two updates.
        updates: Number of updates to show; 0 for no limit.
    """
    asyncio.run(_run(clients, interval_s, updates))


async def _run(
    clients: Sequence[host_client.HostClient], interval_s: float, updates: int
) -> None:
    update_numbers = range(updates) if updates else itertools.count()
    with rich.live.Live(auto_refresh=False) as live:
        for number in update_numbers:
            if number:
                await asyncio.sleep(interval_s)
            responses = await host_client.call_all(
                clients, "GET", _STATUS_PATH, timeout_s=interval_s
            )
            live.update(render(clients, responses), refresh=True)


def render(
    clients: Sequence[host_client.HostClient], responses: Responses
) -> rich.console.Group:
    """Returns the tables to show for the responses of one update."""
    statuses = [
        response.value
        for response in responses
        if isinstance(response, host_client.HostResponse) and response.ok
    ]
    return rich.console.Group(
        _hosts_table(clients, responses),
        _upstreams_table(statuses),
        _reasons_table(statuses),
    )


def _hosts_table(
    clients: Sequence[host_client.HostClient], responses: Responses
) -> rich.table.Table:
    table = _new_table(
        "Hosts",
        ("host", "domain", "state", "store"),
        ("configs", "jobs", "running", "queued", "peers"),
    )
    for client, response in zip(clients, responses, strict=True):
        if isinstance(response, host_client.HostUnreachable):
            table.add_row(client.address, "", "no answer")
        elif not response.ok:
            table.add_row(client.address, "", response.error)
        else:
            table.add_row(*_host_row(response.value))
    return table


def _host_row(status: Mapping[str, Any]) -> tuple[str, ...]:
    peers = status["peers"]
    linked = sum(peer["linked"] for peer in peers)
    return (
        status["host"],
        status["domain"],
        _state_word(status),
        "up" if status["store_up"] else "down",
        str(status["workspaces"]),
        str(status["jobs"]),
        str(status["running_tasks"]),
        str(status["queued_tasks"]),
        f"{linked} of {len(peers)}",
    )


def _state_word(status: Mapping[str, Any]) -> str:
    if status["draining"]:
        return "draining"
    return "ready" if status["ready"] else "not ready"


def _upstreams_table(statuses: Sequence[Mapping[str, Any]]) -> rich.table.Table:
    table = _new_table(
        "Upstreams (running tasks as reported by these hosts)",
        ("upstream", "domain", "state"),
        ("running", "slots"),
    )
    running: Counter[str] = Counter()
    latest: dict[str, Mapping[str, Any]] = {}
    for status in statuses:
        for upstream in status["upstreams"]:
            running[upstream["upstream"]] += upstream["running"]
            latest[upstream["upstream"]] = upstream
    for name, upstream in sorted(latest.items()):
        table.add_row(
            name,
            upstream["domain"],
            "leaving" if upstream["leaving"] else "live",
            str(running[name]),
            str(upstream["slots"]),
        )
    return table


def _reasons_table(statuses: Sequence[Mapping[str, Any]]) -> rich.table.Table:
    table = _new_table("Reasons", ("reason",), ("count",))
    counts: Counter[str] = Counter()
    for status in statuses:
        counts.update(status["counts"])
    for reason, count in counts.most_common():
        table.add_row(reason, str(count))
    return table


def _new_table(
    title: str, text_columns: Sequence[str], number_columns: Sequence[str]
) -> rich.table.Table:
    table = rich.table.Table(title=title, title_justify="left")
    for name in text_columns:
        table.add_column(name)
    for name in number_columns:
        table.add_column(name, justify="right")
    return table
