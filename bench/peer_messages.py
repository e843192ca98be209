"""Measures the links between hosts: the cost of messages and of idle links.

    python -m bench.peer_messages

A forwarded job and its reply travel over loopback between the links of two
hosts in one process, so each figure covers both hosts. The idle cost is that of
the heartbeats of one host that is linked to all others.
"""

import asyncio
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import typer

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import codec
from godwitnotch.net import listeners
from godwitnotch.net import peer_links

SECRET = b"s" * 32
TASK_COUNTS = (1, 10, 110)
CONCURRENT_FORWARD_COUNT = 32
IDLE_TIME_S = 10.0
HOST_COUNTS = (2, 5, 9, 17)
# TCP, IP and Ethernet headers of a segment with TCP timestamps.
SEGMENT_OVERHEAD_BYTES = 66
_US_PER_S = 1_000_000


@dataclass(slots=True)
class LinkedHost:
    """The links of one host and the address that they listen on."""

    name: ids.HostId
    links: peer_links.PeerLinks
    address: str


def main(
    rounds: Annotated[
        int, typer.Option(help="Round trips per job size.")
    ] = 5_000,
    repeats: Annotated[int, typer.Option(help="Runs per job size.")] = 5,
) -> None:
    """Prints the cost of a forwarded job and of idle links."""
    asyncio.run(_measure(rounds, repeats))


async def _measure(rounds: int, repeats: int) -> None:
    for task_count in TASK_COUNTS:
        costs = [
            await _measure_forward(task_count, rounds) for _ in range(repeats)
        ]
        cpu_times_us = sorted(cost.cpu_us for cost in costs)
        wall_times_us = sorted(cost.wall_us for cost in costs)
        print(
            f"tasks={task_count} submit_bytes={costs[0].submit_bytes} "
            f"reply_bytes={costs[0].reply_bytes} "
            f"cpu_us_for_each_forward={statistics.median(cpu_times_us):.0f} "
            f"({cpu_times_us[0]:.0f} to {cpu_times_us[-1]:.0f}) "
            f"wall_us={statistics.median(wall_times_us):.0f} "
            f"({wall_times_us[0]:.0f} to {wall_times_us[-1]:.0f})"
        )
    for host_count in HOST_COUNTS:
        await _measure_idle(host_count)


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one forwarded job and its reply at both hosts."""

    cpu_us: float
    wall_us: float
    submit_bytes: int
    reply_bytes: int


async def _measure_forward(task_count: int, rounds: int) -> Cost:
    """Forwards jobs of one size and returns the mean cost of one job."""
    submit = _submit(task_count)
    reply = _reply(task_count)
    pending_replies: list[asyncio.Future[None]] = []

    def handle_owner_host_event(event: events.LinkEvent) -> None:
        if isinstance(event, events.PeerSaid) and isinstance(
            event.message, messages.ForwardSubmit
        ):
            owner_host.links.send(forwarding_host.name, reply)

    def handle_forwarding_host_event(event: events.LinkEvent) -> None:
        if isinstance(event, events.PeerSaid) and isinstance(
            event.message, messages.ForwardReply
        ):
            pending_replies.pop().set_result(None)

    forwarding_host = await _start_host("a", handle_forwarding_host_event)
    owner_host = await _start_host("b", handle_owner_host_event)
    await _link_all([forwarding_host, owner_host])
    loop = asyncio.get_running_loop()

    async def send_jobs(count: int) -> None:
        for _ in range(count):
            replied = loop.create_future()
            pending_replies.append(replied)
            forwarding_host.links.send(owner_host.name, submit)
            await replied

    cpu_started_at, wall_started_at = time.process_time(), time.perf_counter()
    await asyncio.gather(
        *(
            send_jobs(rounds // CONCURRENT_FORWARD_COUNT)
            for _ in range(CONCURRENT_FORWARD_COUNT)
        )
    )
    forward_count = (
        rounds // CONCURRENT_FORWARD_COUNT * CONCURRENT_FORWARD_COUNT
    )
    cpu_s = time.process_time() - cpu_started_at
    wall_s = time.perf_counter() - wall_started_at
    await asyncio.gather(
        forwarding_host.links.close(), owner_host.links.close()
    )
    return Cost(
        cpu_s / forward_count * _US_PER_S,
        wall_s / forward_count * _US_PER_S,
        len(codec.MESSAGES.encode(submit)),
        len(codec.MESSAGES.encode(reply)),
    )


async def _measure_idle(host_count: int) -> None:
    """Prints the mean cost of heartbeats per host among linked hosts."""
    received_count = 0

    def count_message(event: events.LinkEvent) -> None:
        nonlocal received_count
        received_count += isinstance(event, events.PeerSaid)

    hosts = [
        await _start_host(f"h{number:02}", count_message)
        for number in range(host_count)
    ]
    await _link_all(hosts)
    received_count = 0
    cpu_started_at = time.process_time()
    await asyncio.sleep(IDLE_TIME_S)
    cpu_s = time.process_time() - cpu_started_at
    heartbeat_bytes = len(
        codec.MESSAGES.encode(messages.Heartbeat(1_000, False))
    )
    heartbeats_sent_per_s = received_count / host_count / IDLE_TIME_S
    # A client's frames carry a 4-byte mask; TCP acknowledges each segment.
    frame_bytes = heartbeat_bytes + 4 + 2 * SEGMENT_OVERHEAD_BYTES
    print(
        f"hosts={host_count} heartbeats_sent_per_s={heartbeats_sent_per_s:.1f} "
        f"payload_bytes_per_s={heartbeats_sent_per_s * heartbeat_bytes:.0f} "
        f"wire_bytes_sent_per_s={heartbeats_sent_per_s * frame_bytes:.0f} "
        f"core_share_for_each_host={cpu_s / IDLE_TIME_S / host_count:.4%}"
    )
    await asyncio.gather(*(host.links.close() for host in hosts))


async def _start_host(
    name: str, on_event: Callable[[events.LinkEvent], None]
) -> LinkedHost:
    """Starts the links of a host, which listen on a free port."""
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        ids.HostId(name),
        ids.DomainId("d"),
        ids.Incarnation("i"),
    )
    links = peer_links.PeerLinks(
        hello=hello,
        secret=SECRET,
        heartbeat=lambda: messages.Heartbeat(1_000, False),
        on_event=on_event,
        on_note=_ignore_note,
        rng=random.Random(1),
    )
    listener = listeners.bind("127.0.0.1", 0)
    await links.start(listener)
    port = listener.getsockname()[1]
    return LinkedHost(hello.host, links, f"127.0.0.1:{port}")


def _ignore_note(note: actions.Note) -> None:
    """Ignores a note."""


async def _link_all(hosts: list[LinkedHost]) -> None:
    """Links each host to all others and waits for the links."""
    entries = [
        model.HostEntry(
            host.name,
            ids.DomainId("d"),
            ids.Incarnation("i"),
            host.address,
        )
        for host in hosts
    ]
    for host in hosts:
        host.links.update_hosts(entries)
    while any(len(host.links.linked) < len(hosts) - 1 for host in hosts):
        await asyncio.sleep(0.01)


def _submit(task_count: int) -> messages.ForwardSubmit:
    task = model.TaskSpec(b'{"sku": "cornichons-720", "quantity": 48}', 120.0)
    return messages.ForwardSubmit(
        ids.CallId(1),
        ids.WorkspaceId("orders"),
        _reply(1).answer.submission,
        model.JobBody(ids.TemplateName("reorder-check"), (task,) * task_count),
        5.0,
    )


def _reply(task_count: int) -> messages.ForwardReply:
    submission = ids.SubmissionId(
        "lucerne.lucerne-1.1a23db250ee-475204e04e65f8dd.17." + "0" * 24
    )
    result = b'{"sku": "cornichons-720", "available": true}'
    return messages.ForwardReply(
        ids.CallId(1),
        model.JobAnswer(
            submission,
            model.Outcome.COMPLETE,
            model.Ran.SOMETHING,
            results=(result,) * task_count,
        ),
    )


if __name__ == "__main__":
    typer.run(main)
