"""Measures the links between hosts: cost of messages, and of being linked.

    python -m bench.peer_messages

Two ends in one process over loopback, so each figure covers both ends. The
control cost is that of one host that is linked to the others and idle.
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
from godwitnotch.net import peer_link

SECRET = b"s" * 32
SIZES = (1, 10, 110)
IN_FLIGHT = 32
IDLE_S = 10.0
HOST_COUNTS = (2, 5, 9, 17)
# TCP, IP and Ethernet headers of a segment with time stamps.
SEGMENT_OVERHEAD_BYTES = 66
_US_PER_S = 1_000_000


@dataclass(slots=True)
class End:
    """One end of the links and what it was told."""

    name: ids.HostId
    links: peer_link.PeerLinks
    address: str


def main(
    rounds: Annotated[int, typer.Option(help="Round trips a size.")] = 5_000,
    repeats: Annotated[int, typer.Option(help="Runs of each size.")] = 5,
) -> None:
    """Prints the cost of a forwarded job, and of idle links."""
    asyncio.run(_measure(rounds, repeats))


async def _measure(rounds: int, repeats: int) -> None:
    for size in SIZES:
        costs = [await _forward(size, rounds) for _ in range(repeats)]
        cpu = sorted(cost.cpu_us for cost in costs)
        wall = sorted(cost.wall_us for cost in costs)
        print(
            f"tasks={size} submit_bytes={costs[0].submit_bytes} "
            f"reply_bytes={costs[0].reply_bytes} "
            f"cpu_us_for_each_forward={statistics.median(cpu):.0f} "
            f"({cpu[0]:.0f} to {cpu[-1]:.0f}) "
            f"wall_us={statistics.median(wall):.0f} "
            f"({wall[0]:.0f} to {wall[-1]:.0f})"
        )
    for hosts in HOST_COUNTS:
        await _idle(hosts)


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one forwarded job and its reply, both ends together."""

    cpu_us: float
    wall_us: float
    submit_bytes: int
    reply_bytes: int


async def _forward(size: int, rounds: int) -> Cost:
    submit = _submit(size)
    reply = _reply(size)
    answered: list[asyncio.Future[None]] = []

    def owner_takes(event: events.LinkEvent) -> None:
        if isinstance(event, events.PeerSaid) and isinstance(
            event.message, messages.ForwardSubmit
        ):
            owner.links.send(entry.name, reply)

    def entry_takes(event: events.LinkEvent) -> None:
        if isinstance(event, events.PeerSaid) and isinstance(
            event.message, messages.ForwardReply
        ):
            answered.pop().set_result(None)

    entry = await _end("a", entry_takes)
    owner = await _end("b", owner_takes)
    await _link([entry, owner])
    loop = asyncio.get_running_loop()

    async def caller(count: int) -> None:
        for _ in range(count):
            waiting = loop.create_future()
            answered.append(waiting)
            entry.links.send(owner.name, submit)
            await waiting

    cpu_at, wall_at = time.process_time(), time.perf_counter()
    await asyncio.gather(
        *(caller(rounds // IN_FLIGHT) for _ in range(IN_FLIGHT))
    )
    done = rounds // IN_FLIGHT * IN_FLIGHT
    cpu_s = time.process_time() - cpu_at
    wall_s = time.perf_counter() - wall_at
    await asyncio.gather(entry.links.close(), owner.links.close())
    return Cost(
        cpu_s / done * _US_PER_S,
        wall_s / done * _US_PER_S,
        len(codec.MESSAGES.encode(submit)),
        len(codec.MESSAGES.encode(reply)),
    )


async def _idle(hosts: int) -> None:
    """Prints what heartbeats alone cost one of some linked hosts."""
    heard = 0

    def take(event: events.LinkEvent) -> None:
        nonlocal heard
        heard += isinstance(event, events.PeerSaid)

    ends = [await _end(f"h{number:02}", take) for number in range(hosts)]
    await _link(ends)
    heard = 0
    cpu_at = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu_s = time.process_time() - cpu_at
    size = len(codec.MESSAGES.encode(messages.Heartbeat(1_000, False)))
    sent_per_s = heard / hosts / IDLE_S
    # A client's frames carry a mask; each segment is acknowledged.
    frame_bytes = size + 4 + 2 * SEGMENT_OVERHEAD_BYTES
    print(
        f"hosts={hosts} heartbeats_sent_per_s={sent_per_s:.1f} "
        f"payload_bytes_per_s={sent_per_s * size:.0f} "
        f"wire_bytes_sent_per_s={sent_per_s * frame_bytes:.0f} "
        f"core_share_for_each_host={cpu_s / IDLE_S / hosts:.4%}"
    )
    await asyncio.gather(*(end.links.close() for end in ends))


async def _end(name: str, take: Callable[[events.LinkEvent], None]) -> End:
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        ids.HostId(name),
        ids.DomainId("d"),
        ids.Incarnation("i"),
    )
    links = peer_link.PeerLinks(
        hello=hello,
        secret=SECRET,
        heartbeat=lambda: messages.Heartbeat(1_000, False),
        on_event=take,
        on_note=_drop,
        rng=random.Random(1),
    )
    listener = peer_link.bind("127.0.0.1", 0)
    await links.start(listener)
    port = listener.getsockname()[1]
    return End(hello.host, links, f"127.0.0.1:{port}")


def _drop(note: actions.Note) -> None:
    """Takes a note and does nothing."""


async def _link(ends: list[End]) -> None:
    """Waits until each end is linked to all others."""
    entries = [
        model.HostEntry(
            end.name, ids.DomainId("d"), ids.Incarnation("i"), end.address
        )
        for end in ends
    ]
    for end in ends:
        end.links.update_hosts(entries)
    while any(len(end.links.linked) < len(ends) - 1 for end in ends):
        await asyncio.sleep(0.01)


def _submit(size: int) -> messages.ForwardSubmit:
    task = model.TaskSpec(b'{"sku": "cornichons-720", "quantity": 48}', 120.0)
    return messages.ForwardSubmit(
        ids.CallId(1),
        ids.WorkspaceId("orders"),
        _reply(1).answer.submission,
        model.JobBody(ids.TemplateName("reorder-check"), (task,) * size),
        5.0,
    )


def _reply(size: int) -> messages.ForwardReply:
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
            results=(result,) * size,
        ),
    )


if __name__ == "__main__":
    typer.run(main)
