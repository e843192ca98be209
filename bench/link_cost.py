"""Measures what it costs until all hosts of a fleet are linked to each other.

    python -m bench.link_cost --hosts 10,20

All hosts are in one process and begin at the same moment, so that each is slow
while the others work, as after a loss of power. Printed are the processor time
for each link, both ends together, and the connections that came to nothing.
"""

import asyncio
import random
import time
from collections import Counter
from typing import Annotated

import typer

from godwitnotch import leased_root
from godwitnotch.core import actions
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import listeners
from godwitnotch.net import peer_links

TIMEOUT_S = 60.0
_IP = "127.0.0.1"
_MS_PER_S = 1_000


def main(
    hosts: Annotated[
        str, typer.Option(help="Numbers of hosts, by comma.")
    ] = "10,20",
) -> None:
    """Prints a line for each number of hosts."""
    for count in map(int, hosts.split(",")):
        asyncio.run(_measure(count))


async def _measure(count: int) -> None:
    sockets = [listeners.bind(_IP, 0) for _ in range(count)]
    entries = [_entry(bound.getsockname()[1]) for bound in sockets]
    notes: Counter[str] = Counter()
    fleet = [_links(entry, notes) for entry in entries]
    for links, bound in zip(fleet, sockets, strict=True):
        await links.start(bound)
    cpu_before_s = time.process_time()
    started_at = time.monotonic()
    for links in fleet:
        links.update_hosts(entries)
    async with asyncio.timeout(TIMEOUT_S):
        while any(len(links.linked) < count - 1 for links in fleet):
            await asyncio.sleep(0.01)
    cpu_s = time.process_time() - cpu_before_s
    elapsed_s = time.monotonic() - started_at
    link_count = count * (count - 1) // 2
    wasted = sum(notes.values()) - 2 * link_count
    print(
        f"hosts={count} links={link_count} elapsed_s={elapsed_s:.2f} "
        f"cpu_ms_a_link={cpu_s / link_count * _MS_PER_S:.2f} "
        f"ends_that_came_to_nothing={wasted}",
        flush=True,
    )
    await asyncio.gather(*(links.close() for links in fleet))


def _entry(port: int) -> model.HostEntry:
    address = f"{_IP}:{port}"
    return model.HostEntry(
        ids.HostId(address), ids.DomainId("d"), ids.Incarnation("1"), address
    )


def _links(entry: model.HostEntry, notes: Counter[str]) -> peer_links.PeerLinks:
    def count(note: actions.Note) -> None:
        notes[note.event] += 1

    return peer_links.PeerLinks(
        hello=messages.Hello(
            messages.PROTOCOL_VERSION,
            entry.host,
            entry.domain,
            entry.incarnation,
        ),
        secret=b"bench",
        heartbeat=lambda: messages.Heartbeat(1, False),
        on_event=lambda event: None,
        on_note=count,
        rng=random.Random(entry.host),
        limits=leased_root.LINK_LIMITS,
    )


if __name__ == "__main__":
    typer.run(main)
