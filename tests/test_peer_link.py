"""Tests of the links between hosts over loopback sockets."""

import asyncio
import random
import time
import unittest
from collections.abc import Callable

import cbor2
import msgspec
import websockets
import websockets.asyncio.client

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import codec
from godwitnotch.net import link_limits
from godwitnotch.net import listeners
from godwitnotch.net import peer_link
from godwitnotch.net import peer_links
from tests.process import relay

SECRET = b"s" * 32
WAIT_S = 20.0
QUEUED = peer_link.SendResult.QUEUED
LOST = peer_link.SendResult.LOST
LIMITS = link_limits.PeerLimits(
    heartbeat_interval_s=0.1,
    silence_timeout_s=0.5,
    handshake_timeout_s=1.0,
    min_backoff_s=0.01,
    max_backoff_s=0.05,
    higher_id_delay_s=0.05,
    max_message_bytes=100_000,
    max_queued_bytes=400_000,
)
LARGE_REPLY = messages.ForwardReply(
    ids.CallId(1),
    model.JobAnswer(
        ids.SubmissionId("x"),
        model.Outcome.COMPLETE,
        model.Ran.SOMETHING,
        results=(b"1" * 90_000,),
    ),
)
# With a single link, a heartbeat is sent every 10 s.
# Alone, a link that isn't watched is silent for 300 s before it is closed.
BACKGROUND = msgspec.structs.replace(
    LIMITS, max_background_heartbeats_per_s=0.01
)
RARE_HEARTBEATS = msgspec.structs.replace(LIMITS, max_heartbeats_per_s=0.1)


class Host:
    """The links of one host and the events and notes that they report."""

    def __init__(
        self,
        name: str,
        incarnation: str = "1",
        secret: bytes = SECRET,
        limits: link_limits.PeerLimits = LIMITS,
    ) -> None:
        self.name = ids.HostId(name)
        self.events: list[events.Event] = []
        self.notes: list[actions.Note] = []
        hello = messages.Hello(
            messages.PROTOCOL_VERSION,
            self.name,
            ids.DomainId("d"),
            ids.Incarnation(incarnation),
        )
        self.links = peer_links.PeerLinks(
            hello=hello,
            secret=secret,
            heartbeat=lambda: self.heartbeat(),
            on_event=self.events.append,
            on_note=self.notes.append,
            rng=random.Random(1),
            limits=limits,
        )
        self.address = ""
        self.heartbeat = lambda: messages.Heartbeat(1, False)

    async def start(self, port: int = 0) -> "Host":
        listener = listeners.bind("127.0.0.1", port)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        await self.links.start(listener)
        return self

    def list_host(self, other: "Host", address: str = "") -> None:
        entry = model.HostEntry(
            other.name,
            ids.DomainId("d"),
            ids.Incarnation("listed"),
            address or other.address,
        )
        self.links.update_hosts([entry])

    def received(self, kind: type) -> list[messages.Message]:
        return [
            event.message
            for event in self.events
            if isinstance(event, events.PeerSaid)
            and isinstance(event.message, kind)
        ]

    def note_count(self, name: str) -> int:
        return sum(note.event == name for note in self.notes)

    def link_up_count(self) -> int:
        return sum(isinstance(event, events.PeerUp) for event in self.events)

    def link_down_count(self) -> int:
        return sum(isinstance(event, events.PeerDown) for event in self.events)


async def stall_in_series(ended: Callable[[], int]) -> None:
    """Stalls the event loop 20 times, longer than two heartbeat intervals."""
    for _ in range(20):
        if ended():
            return
        time.sleep(2.5 * LIMITS.heartbeat_interval_s)
        await asyncio.sleep(LIMITS.heartbeat_interval_s / 10)


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits for up to `WAIT_S` until a condition is met."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    async def host(
        self,
        name: str,
        incarnation: str = "1",
        secret: bytes = SECRET,
        port: int = 0,
        limits: link_limits.PeerLimits = LIMITS,
    ) -> Host:
        host = await Host(name, incarnation, secret, limits).start(port)
        self.addAsyncCleanup(host.links.close)
        return host

    def send(
        self, sender: Host, receiver: Host, message: messages.Message
    ) -> None:
        self.assertIs(sender.links.send(receiver.name, message), QUEUED)

    async def open_connection(self, host: Host) -> None:
        """Opens a connection to a host, and sends nothing on it."""
        connection = await websockets.asyncio.client.connect(
            f"ws://{host.address}/", proxy=None
        )
        self.addAsyncCleanup(connection.close)

    async def relay_to(self, target: str) -> relay.Relay:
        proxy = await relay.Relay(target).start()
        self.addAsyncCleanup(proxy.close)
        return proxy

    async def test_messages_are_delivered_both_ways(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        self.send(low, high, messages.ConfigChanged(1))
        self.send(high, low, messages.ConfigChanged(2))
        await wait_until(lambda: high.received(messages.ConfigChanged))
        await wait_until(lambda: low.received(messages.ConfigChanged))
        self.assertEqual(
            high.received(messages.ConfigChanged), [messages.ConfigChanged(1)]
        )
        await wait_until(lambda: high.received(messages.Heartbeat))

    async def test_link_opens_when_only_the_higher_id_knows_the_other(
        self,
    ) -> None:
        low, high = await self.host("a"), await self.host("b")
        high.list_host(low)
        await wait_until(lambda: low.links.linked and high.links.linked)

    async def test_one_link_remains_when_both_hosts_dial(self) -> None:
        hosts = [await self.host(name) for name in "abc"]
        for host in hosts:
            host.links.update_hosts(
                model.HostEntry(
                    other.name,
                    ids.DomainId("d"),
                    ids.Incarnation("1"),
                    other.address,
                )
                for other in hosts
            )
        await wait_until(lambda: all(len(h.links.linked) == 2 for h in hosts))
        await asyncio.sleep(3 * LIMITS.silence_timeout_s)
        for host in hosts:
            self.assertEqual(len(host.links.linked), 2)
            self.assertEqual(host.link_up_count() - host.link_down_count(), 2)

    async def test_hosts_that_are_busy_with_links_dial_each_other_twice(
        self,
    ) -> None:
        # A connection that isn't authenticated yet shows that others dial.
        low, high = await self.host("a"), await self.host("b")
        await self.open_connection(high)
        await wait_until(lambda: high.links._incoming_dials.open_handshakes)
        high.list_host(low)
        await asyncio.sleep(4 * LIMITS.higher_id_delay_s)
        self.assertEqual(low.links.linked, {})

    async def test_wait_for_the_dial_of_the_lower_id_is_bounded(self) -> None:
        limits = msgspec.structs.replace(
            LIMITS, handshake_timeout_s=WAIT_S, max_peer_dial_wait_s=0.1
        )
        low = await self.host("a", limits=limits)
        high = await self.host("b", limits=limits)
        await self.open_connection(high)
        high.list_host(low)
        await wait_until(lambda: low.links.linked and high.links.linked)

    async def test_a_link_does_not_shorten_the_delay_of_the_higher_id(
        self,
    ) -> None:
        limits = msgspec.structs.replace(
            LIMITS, higher_id_delay_s=WAIT_S, max_peer_dial_wait_s=WAIT_S
        )
        low, other = await self.host("a"), await self.host("c")
        high = await self.host("b", limits=limits)
        high.list_host(low)
        other.list_host(high)
        high.links.update_hosts(
            model.HostEntry(
                host.name,
                ids.DomainId("d"),
                ids.Incarnation("1"),
                host.address,
            )
            for host in (low, other)
        )
        await wait_until(lambda: other.name in high.links.linked)
        await asyncio.sleep(4 * LIMITS.min_backoff_s)
        self.assertEqual(low.links.linked, {})

    async def test_link_dialled_by_the_lower_id_replaces_the_other(
        self,
    ) -> None:
        low, high = await self.host("a"), await self.host("b")
        high.list_host(low)
        await wait_until(lambda: low.links.linked and high.links.linked)
        entry = model.HostEntry(
            high.name, ids.DomainId("d"), ids.Incarnation("1"), high.address
        )
        dial = asyncio.create_task(low.links._dial(entry))
        self.addCleanup(dial.cancel)
        await wait_until(
            lambda: low.link_down_count() == 1 and high.link_down_count() == 1
        )
        await wait_until(lambda: low.links.linked and high.links.linked)
        self.send(low, high, messages.ConfigChanged(1))
        await wait_until(lambda: high.received(messages.ConfigChanged))

    async def test_rare_heartbeats_keep_a_link_and_announce_their_interval(
        self,
    ) -> None:
        low, high = (
            await self.host("a"),
            await self.host("b", limits=RARE_HEARTBEATS),
        )
        low.list_host(high)
        await wait_until(lambda: low.received(messages.Heartbeat))
        await asyncio.sleep(3 * LIMITS.silence_timeout_s)
        self.assertEqual(low.link_down_count(), 0)
        self.assertEqual(
            {beat.interval_s for beat in low.received(messages.Heartbeat)},
            {10.0},
        )

    async def test_a_message_on_a_silent_link_ends_it_before_the_next_heartbeat(
        self,
    ) -> None:
        low = await self.host("a", limits=RARE_HEARTBEATS)
        high = await self.host("b", limits=RARE_HEARTBEATS)
        proxy = await self.relay_to(high.address)
        low.list_host(high, proxy.address)
        await wait_until(lambda: high.received(messages.Heartbeat))
        await wait_until(lambda: low.received(messages.Heartbeat))
        proxy.silence()
        low.links.send(high.name, messages.ConfigChanged(1))
        await wait_until(lambda: low.link_down_count() == 1)
        self.assertEqual(low.note_count("peer_link_silent"), 1)

    async def test_background_link_has_rare_heartbeats_and_stays_open(
        self,
    ) -> None:
        limits = msgspec.structs.replace(
            LIMITS, max_background_heartbeats_per_s=2.0
        )
        low = await self.host("a", limits=limits)
        high = await self.host("b", limits=limits)
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        for host in (low, high):
            host.links.set_watched(frozenset())
        await wait_until(
            lambda: (
                [beat.interval_s for beat in high.received(messages.Heartbeat)][
                    -1:
                ]
                == [0.5]
            )
        )
        count = len(high.received(messages.Heartbeat))
        await asyncio.sleep(1.2)
        # One more each half a second, and the two ends of that time.
        self.assertLessEqual(len(high.received(messages.Heartbeat)), count + 4)
        self.assertEqual(high.link_down_count(), 0)

    async def background_pair(self, limits: link_limits.PeerLimits):
        low = await self.host("a", limits=limits)
        high = await self.host("b", limits=limits)
        proxy = await self.relay_to(high.address)
        low.list_host(high, proxy.address)
        await wait_until(lambda: low.links.linked and high.links.linked)
        for host in (low, high):
            host.links.set_watched(frozenset())
        await wait_until(
            lambda: (
                [beat.interval_s for beat in low.received(messages.Heartbeat)][
                    -1:
                ]
                == [100.0]
            )
        )
        return low, high, proxy

    async def test_news_goes_out_on_a_background_link_at_once(self) -> None:
        # A host that the store doesn't answer learns of a newer configuration
        # from its peers, within the bound for configurations.
        low, high, _ = await self.background_pair(BACKGROUND)
        high.heartbeat = lambda: messages.Heartbeat(2, False)
        count = len(low.received(messages.Heartbeat))
        await wait_until(lambda: len(low.received(messages.Heartbeat)) > count)
        self.assertEqual(
            low.received(messages.Heartbeat)[count].config_counter, 2
        )
        self.assertEqual(low.link_down_count(), 0)

    async def test_overdue_watched_host_shows_others_that_are_gone(
        self,
    ) -> None:
        # A failure domain that is cut off takes the leader along; an election
        # must not wait for the other hosts there.
        low, high, proxy = await self.background_pair(BACKGROUND)
        leader = await self.host("c", limits=BACKGROUND)
        leader_proxy = await self.relay_to(leader.address)
        entries = [
            model.HostEntry(
                host.name, ids.DomainId("d"), ids.Incarnation(""), via.address
            )
            for host, via in ((high, proxy), (leader, leader_proxy))
        ]
        low.links.update_hosts(entries)
        await wait_until(lambda: len(low.links.linked) == 2)
        low.links.set_watched(frozenset((leader.name,)))
        proxy.silence()
        leader_proxy.silence()
        low.links.send(leader.name, messages.ConfigChanged(1))
        await wait_until(lambda: low.link_down_count() == 2)
        self.assertEqual(low.note_count("peer_link_silent"), 2)

    async def test_an_open_link_does_not_count_as_a_handshake(self) -> None:
        one = msgspec.structs.replace(LIMITS, max_handshakes=1)
        high = await self.host("c", limits=one)
        for name in ("a", "b"):
            low = await self.host(name)
            low.list_host(high)
            await wait_until(lambda low=low: low.links.linked)

    async def test_wrong_secret_is_rejected(self) -> None:
        low = await self.host("a", secret=b"x" * 32)
        high = await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.note_count("peer_link_wrong_secret") >= 2)
        self.assertEqual(low.link_up_count() + high.link_up_count(), 0)

    async def test_dialler_that_skips_its_proof_is_rejected(self) -> None:
        host = await self.host("a")
        uri = f"ws://{host.address}/"
        async with websockets.asyncio.client.connect(uri, proxy=None) as link:
            await link.send(codec.MESSAGES.encode(messages.ConfigChanged(1)))
            await wait_until(
                lambda: host.note_count("peer_link_handshake_failed")
            )
        self.assertEqual(host.link_up_count(), 0)

    async def test_messages_of_a_newer_build_close_the_link(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        link = low.links._links[high.name]
        version = messages.PROTOCOL_VERSION
        for _ in range(3):
            link._push(cbor2.dumps([version, "of_next_year", [1]]))
        self.send(low, high, messages.ConfigChanged(1))
        await wait_until(lambda: high.received(messages.ConfigChanged))
        self.assertEqual(high.note_count("peer_message_unknown"), 1)
        self.assertEqual(high.link_down_count(), 0)

    async def test_large_message_before_authentication_is_rejected(
        self,
    ) -> None:
        host = await self.host("a")
        uri = f"ws://{host.address}/"
        async with websockets.asyncio.client.connect(uri, proxy=None) as link:
            await link.send(b"x" * LIMITS.max_message_bytes)
            await link.wait_closed()
            code = websockets.CloseCode.MESSAGE_TOO_BIG
            self.assertEqual(link.close_code, code)
        await wait_until(lambda: host.note_count("peer_link_handshake_failed"))

    async def test_another_host_at_the_address_is_rejected(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        other = Host("c")
        other.address = high.address
        low.list_host(other)
        await wait_until(lambda: low.note_count("peer_link_wrong_host"))
        self.assertEqual(low.link_up_count(), 0)

    async def test_stalls_in_series_kept_a_silent_link_open(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        proxy = await self.relay_to(high.address)
        low.list_host(high, proxy.address)
        await wait_until(lambda: low.links.linked and high.links.linked)
        proxy.silence_open_connections()
        await stall_in_series(lambda: low.note_count("peer_link_silent"))
        self.assertEqual(low.note_count("peer_link_silent"), 1)

    async def test_stalls_in_series_leave_a_link_open(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        await stall_in_series(lambda: low.link_down_count())
        self.assertEqual(low.link_down_count(), 0)
        self.assertEqual(high.link_down_count(), 0)

    async def test_silent_link_is_detected_and_dialled_again(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        proxy = await self.relay_to(high.address)
        low.list_host(high, proxy.address)
        await wait_until(lambda: low.links.linked and high.links.linked)
        proxy.silence_open_connections()
        await wait_until(lambda: low.note_count("peer_link_silent"))
        await wait_until(lambda: high.note_count("peer_link_silent"))
        await wait_until(
            lambda: low.link_up_count() == 2 and high.link_up_count() == 2
        )
        self.send(low, high, messages.ConfigChanged(1))
        await wait_until(lambda: high.received(messages.ConfigChanged))

    async def test_broken_link_is_dialled_again(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        proxy = await self.relay_to(high.address)
        low.list_host(high, proxy.address)
        await wait_until(lambda: low.links.linked and high.links.linked)
        proxy.cut()
        await wait_until(
            lambda: low.link_down_count() and high.link_down_count()
        )
        self.assertIs(
            low.links.send(high.name, messages.ConfigChanged(1)), LOST
        )
        proxy.heal()
        await wait_until(lambda: low.links.linked and high.links.linked)

    async def test_new_incarnation_at_the_same_address_is_linked(self) -> None:
        low, old = await self.host("a"), await self.host("b", "1")
        low.list_host(old)
        await wait_until(lambda: low.links.linked)
        await old.links.close()
        port = int(old.address.rpartition(":")[2])
        await self.host("b", "2", port=port)
        await wait_until(lambda: low.link_up_count() == 2)
        ups = [e for e in low.events if isinstance(e, events.PeerUp)]
        self.assertEqual([up.incarnation for up in ups], ["1", "2"])

    async def test_old_incarnation_does_not_replace_the_new(self) -> None:
        high, new = await self.host("b"), await self.host("a", "2")
        new.list_host(high)
        await wait_until(lambda: high.links.linked)
        old = await self.host("a", "1")
        old.list_host(high)
        await wait_until(lambda: old.note_count("peer_link_old_incarnation"))
        self.assertEqual(high.links.linked[new.name].incarnation, "2")
        self.assertEqual(high.link_up_count(), 1)

    async def test_fault_in_one_check_does_not_stop_the_monitoring(
        self,
    ) -> None:
        low, high = await self.host("a"), await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        working = high.heartbeat
        high.heartbeat = lambda: [][1]
        await wait_until(lambda: high.note_count("peer_watch_fault"))
        high.heartbeat = working
        await wait_until(lambda: low.links.linked and high.links.linked)
        count = len(low.received(messages.Heartbeat))
        await wait_until(
            lambda: len(low.received(messages.Heartbeat)) > count + 2
        )

    async def test_fault_while_others_are_probed_does_not_stop_the_monitoring(
        self,
    ) -> None:
        low, high, _ = await self.background_pair(BACKGROUND)
        working = low.heartbeat
        low.heartbeat = lambda: [][1]
        low.links._monitor._probe_background_links(
            now=asyncio.get_running_loop().time()
        )
        self.assertEqual(low.note_count("peer_watch_fault"), 1)
        low.heartbeat = working
        await wait_until(lambda: low.link_up_count() == 2)
        await wait_until(lambda: high.links.linked)

    async def test_full_send_queue_ends_the_link(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        sent = [low.links.send(high.name, LARGE_REPLY) for _ in range(6)]
        self.assertEqual(sent, [QUEUED] * 4 + [LOST] * 2)
        await wait_until(lambda: low.note_count("peer_link_send_queue_full"))
        self.assertEqual(low.link_down_count(), 1)

    async def test_too_large_message_is_not_sent(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        low.list_host(high)
        await wait_until(lambda: low.links.linked)
        results = (b"1" * LIMITS.max_message_bytes,)
        answer = model.JobAnswer(
            ids.SubmissionId("x"),
            model.Outcome.COMPLETE,
            model.Ran.SOMETHING,
            results=results,
        )
        reply = messages.ForwardReply(ids.CallId(1), answer)
        self.assertIs(
            low.links.send(high.name, reply), peer_link.SendResult.TOO_LARGE
        )
        self.assertTrue(low.links.linked)

    async def test_dialler_delivers_what_is_queued_at_close(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        await self.check_close(low, high, closer=low, other=high)

    async def test_acceptor_delivers_what_is_queued_at_close(self) -> None:
        low, high = await self.host("a"), await self.host("b")
        await self.check_close(low, high, closer=high, other=low)

    async def check_close(
        self, low: Host, high: Host, *, closer: Host, other: Host
    ) -> None:
        low.list_host(high)
        await wait_until(lambda: low.links.linked and high.links.linked)
        for _ in range(3):
            self.send(closer, other, LARGE_REPLY)
        await closer.links.close()
        await wait_until(lambda: not other.links.linked)
        self.assertEqual(len(other.received(messages.ForwardReply)), 3)


if __name__ == "__main__":
    unittest.main()
