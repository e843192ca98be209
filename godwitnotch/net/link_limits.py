"""Timeouts and limits of the links between hosts."""

import msgspec


class PeerLimits(msgspec.Struct, frozen=True):
    """Timeouts and limits of the links of one host.

    Attributes:
        heartbeat_interval_s: Interval between heartbeats on a link, in seconds;
            longer if `max_heartbeats_per_s` requires it.
        max_heartbeats_per_s: Maximum rate of heartbeats over all links. With
            many links, the interval on each link grows.
        max_background_heartbeats_per_s: Maximum rate of heartbeats over all
            background links, see `link_monitor`.
        background_probe_interval_s: Minimum time between two probes of all
            background links while a watched host is overdue.
        silence_timeout_s: A link is closed if the peer sends no message for
            this long after a message was sent to it. A link without traffic is
            closed after this time or three heartbeat intervals, whichever is
            longer.
        connect_timeout_s: Maximum time to open a connection.
        handshake_timeout_s: Maximum time to open a websocket on it, and again
            for the authentication. Where many links open at once, both take
            long, and what is given up has to be done again.
        max_dials: How many dialled connections open a link at once.
        dial_turn_s: How long each of them counts at most.
        min_backoff_s: Initial upper bound of the delay before a dial. The
            bound doubles with each failed dial.
        max_backoff_s: Value up to which the upper bound grows.
        higher_id_delay_s: The host with the higher id dials once no host has
            dialled it for this long, so that the host with the lower id does.
        max_peer_dial_wait_s: Maximum time that it waits so.
        close_timeout_s: Maximum time to send queued messages at shutdown.
        max_message_bytes: Maximum size of a message, sent or received.
        max_queued_messages: Maximum number of messages in the send queue of a
            link.
        max_queued_bytes: Maximum size of the messages in the send queue of a
            link.
        max_handshakes: Maximum number of incoming connections that are not yet
            authenticated.
    """

    heartbeat_interval_s: float = 1.0
    max_heartbeats_per_s: float = 8.0
    max_background_heartbeats_per_s: float = 8.0
    background_probe_interval_s: float = 1.0
    silence_timeout_s: float = 3.0
    connect_timeout_s: float = 2.0
    handshake_timeout_s: float = 2.0
    max_dials: int = 4
    dial_turn_s: float = 0.3
    min_backoff_s: float = 0.1
    max_backoff_s: float = 3.0
    higher_id_delay_s: float = 1.0
    max_peer_dial_wait_s: float = 3.0
    close_timeout_s: float = 1.0
    max_message_bytes: int = 16 * 1024 * 1024
    max_queued_messages: int = 4_096
    max_queued_bytes: int = 32 * 1024 * 1024
    max_handshakes: int = 64
