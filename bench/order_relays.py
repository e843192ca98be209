"""Measures what a call to an upstream costs the leader: directly, or relayed.

    python -m bench.order_relays

Leader, relays and upstreams are processes of their own on loopback, so each
figure is the processor time of one of them. Calls go out at a steady rate, some
in each pass of the event loop, as a batch costs less for each call than a single
one. 10 of 24 calls start a run, the others request a list of runs.
"""

import asyncio
import multiprocessing
import multiprocessing.connection
import multiprocessing.context
import random
import statistics
import time
from collections.abc import Callable
from typing import Annotated

import typer

from godwitnotch.core import events as peer_events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model as host_model
from godwitnotch.core.leased import actions
from godwitnotch.core.leased import model
from godwitnotch.core.leased import order_batches
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import leased_calls
from godwitnotch.net import listeners
from godwitnotch.net import order_queues
from godwitnotch.net import peer_links

SECRET = b"s" * 32
TERM = model.Term(1_700_000_000_123_456)
BORN_MS = 17
STARTS_OF_CALLS = (10, 24)
UPSTREAMS = 32
SETTLE_S = 0.5
_IP = "127.0.0.1"
_US_PER_S = 1_000_000
_JOB = "d3b07384d113edec"

Pipe = multiprocessing.connection.Connection


class _UpstreamProtocol(asyncio.Protocol):
    """Answers each request at once; it costs far less than a real upstream."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        # Requests are small, so each arrives in one segment.
        self._transport.write(
            _LIST if data.startswith(b"POST /hold") else _TAKEN
        )


def _response(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


_TAKEN = _response(f'{{"clock_ms": 5000, "born": {BORN_MS}}}'.encode())
_LIST = _response(
    (
        f'{{"clock_ms": 5000, "born": {BORN_MS}, '
        f'"running": [["{_JOB}.0.0.3", 1, 12, 0.5], ["{_JOB}.0.0.4", 1, 9, 0]],'
        f' "finished": [[7, "{_JOB}.0.0.2", 1, "done"]]}}'
    ).encode()
)


def main(
    calls_per_s: Annotated[int, typer.Option(help="Calls a second.")] = 1_200,
    relay_count: Annotated[int, typer.Option(help="Relays.")] = 2,
    batch: Annotated[
        str, typer.Option(help="Calls in one pass of the event loop, by comma.")
    ] = "1,8",
    duration_s: Annotated[float, typer.Option(help="Time of a run.")] = 3.0,
    repeats: Annotated[int, typer.Option(help="Runs of each kind.")] = 3,
) -> None:
    """Prints the processor time of one call at the leader and at a relay."""
    context = multiprocessing.get_context("spawn")
    upstream = _Process(context, _serve_upstreams)
    addresses: list[str] = upstream.pipe.recv()
    relays = [
        _Process(context, _serve_relay, f"relay{number}")
        for number in range(relay_count)
    ]
    relay_addresses: list[str] = [relay.pipe.recv() for relay in relays]
    try:
        for size in map(int, batch.split(",")):
            for spec_bytes in (40, 4_000):
                orders = _orders(addresses, spec_bytes)
                asyncio.run(
                    _compare(
                        orders,
                        relays,
                        relay_addresses,
                        calls_per_s=calls_per_s,
                        size=size,
                        duration_s=duration_s,
                        repeats=repeats,
                        spec_bytes=spec_bytes,
                    )
                )
    finally:
        for process in (*relays, upstream):
            process.stop()


class _Process:
    """A process of the measurement, with a pipe to it."""

    def __init__(
        self,
        context: multiprocessing.context.SpawnContext,
        target: Callable[..., None],
        *args: str,
    ) -> None:
        self.pipe, other = context.Pipe()
        self._process = context.Process(
            target=target, args=(other, *args), daemon=True
        )
        self._process.start()

    def cpu_s(self) -> float:
        """Returns the processor time of the process so far."""
        self.pipe.send("cpu")
        seconds: float = self.pipe.recv()
        return seconds

    def stop(self) -> None:
        """Ends the process."""
        self._process.terminate()
        self._process.join()


async def _answer_pipe(pipe: Pipe) -> None:
    """Answers questions for the processor time of this process."""
    loop = asyncio.get_running_loop()

    def answer() -> None:
        pipe.recv()
        pipe.send(time.process_time())

    loop.add_reader(pipe.fileno(), answer)
    await loop.create_future()


def _serve_upstreams(pipe: Pipe) -> None:
    async def serve() -> None:
        loop = asyncio.get_running_loop()
        addresses = []
        for _ in range(UPSTREAMS):
            server = await loop.create_server(_UpstreamProtocol, _IP, 0)
            port = server.sockets[0].getsockname()[1]
            addresses.append(f"{_IP}:{port}")
        pipe.send(addresses)
        await _answer_pipe(pipe)

    asyncio.run(serve())


def _serve_relay(pipe: Pipe, name: str) -> None:
    async def serve() -> None:
        client = leased_calls.OrderClient()
        tasks: set[asyncio.Task[None]] = set()

        async def relay(
            leader: ids.HostId, term: model.Term, order: actions.Order
        ) -> None:
            queues.add_result(
                leader, term, await client.send(order), link_number=0
            )

        def handle(event: peer_events.LinkEvent) -> None:
            if isinstance(event, peer_events.LeasedPeerSaid) and isinstance(
                event.message, peer_messages.OrdersRelayed
            ):
                for order in order_batches.unpack_orders(event.message):
                    task = asyncio.create_task(
                        relay(event.host, event.message.term, order)
                    )
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)

        links, address = await _start_links(name, handle)
        queues = order_queues.OrderQueues(links.send)
        pipe.send(address)
        await _answer_pipe(pipe)

    asyncio.run(serve())


async def _start_links(
    name: str, handle: Callable[[peer_events.LinkEvent], None]
) -> tuple[peer_links.PeerLinks, str]:
    links = peer_links.PeerLinks(
        hello=messages.Hello(
            messages.PROTOCOL_VERSION,
            ids.HostId(name),
            ids.DomainId("d"),
            ids.Incarnation("i"),
        ),
        secret=SECRET,
        heartbeat=lambda: messages.Heartbeat(1, False),
        on_event=handle,
        on_note=lambda _: None,
        rng=random.Random(1),
    )
    listener = listeners.bind(_IP, 0)
    await links.start(listener)
    return links, f"{_IP}:{listener.getsockname()[1]}"


def _orders(addresses: list[str], spec_bytes: int) -> list[actions.Order]:
    """Returns orders to send in turn; their call ids are replaced."""
    starts, calls = STARTS_OF_CALLS
    found: list[actions.Order] = []
    for number in range(UPSTREAMS * calls):
        upstream = model.UpstreamAddress(
            ids.UpstreamId(f"i-{number % UPSTREAMS}"),
            addresses[number % UPSTREAMS],
        )
        call = model.UpstreamCallId(number)
        if number % calls < starts:
            key = model.RunKey(
                model.TaskKey(model.JobName(_JOB), number), model.RunNumber(1)
            )
            # Tasks of one job share its spec; every fourth start is of a new
            # job.
            spec = f"{number // 4:08}".ljust(spec_bytes, "x")
            found.append(
                actions.StartRun(call, upstream, key, spec, TERM, 5_950, 0)
            )
        else:
            found.append(
                actions.RenewLease(call, upstream, TERM, 7, 5_950, 0, 0)
            )
    return found


async def _compare(
    orders: list[actions.Order],
    relays: list[_Process],
    relay_addresses: list[str],
    *,
    calls_per_s: int,
    size: int,
    duration_s: float,
    repeats: int,
    spec_bytes: int,
) -> None:
    """Prints the costs of direct and relayed calls in batches of one size."""
    results = 0

    def handle(event: peer_events.LinkEvent) -> None:
        nonlocal results
        if isinstance(event, peer_events.LeasedPeerSaid) and isinstance(
            event.message, peer_messages.OrderResults
        ):
            results += sum(1 for _ in event.message.all())

    links, _ = await _start_links("leader", handle)
    links.update_hosts(
        host_model.HostEntry(
            ids.HostId(f"relay{number}"),
            ids.DomainId("d"),
            ids.Incarnation("i"),
            address,
        )
        for number, address in enumerate(relay_addresses)
    )
    while len(links.linked) < len(relays):
        await asyncio.sleep(0.01)
    queues = order_queues.OrderQueues(links.send)
    client = leased_calls.OrderClient()
    tasks: set[asyncio.Task[None]] = set()

    async def send_directly(order: actions.Order) -> None:
        nonlocal results
        await client.send(order)
        results += 1

    def send(order: actions.Order, *, relayed: bool, number: int) -> None:
        if relayed:
            relay = ids.HostId(f"relay{number % UPSTREAMS % len(relays)}")
            queues.add_order(relay, order)
            return
        task = asyncio.create_task(send_directly(order))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def load(*, relayed: bool) -> int:
        """Sends calls for the time of a run; returns how many."""
        count = 0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + duration_s:
            for _ in range(size):
                order = orders[count % len(orders)]
                send(order, relayed=relayed, number=count)
                count += 1
            due_at = started_at + count / calls_per_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))
        while results < count and loop.time() < started_at + duration_s + 2:
            await asyncio.sleep(0.01)
        return count

    for relayed in (False, True):
        leader_us, relay_us, counts, answered = [], [], 0, 0
        for _ in range(repeats):
            await asyncio.sleep(SETTLE_S)
            results = 0
            relay_before = sum(relay.cpu_s() for relay in relays)
            before = time.process_time()
            count = await load(relayed=relayed)
            leader_us.append((time.process_time() - before) / count * _US_PER_S)
            relay_s = sum(relay.cpu_s() for relay in relays) - relay_before
            relay_us.append(relay_s / count * _US_PER_S)
            counts += count
            answered += results
        print(
            f"relayed={relayed} calls_in_a_pass={size} spec_bytes={spec_bytes} "
            f"calls={counts} answered={answered} "
            f"leader_cpu_us={statistics.median(leader_us):.0f} "
            f"({min(leader_us):.0f} to {max(leader_us):.0f}) "
            f"relay_cpu_us={statistics.median(relay_us):.0f}",
            flush=True,
        )
    await links.close()
    await client.close()


if __name__ == "__main__":
    typer.run(main)
