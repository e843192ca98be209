"""How many runs a host can order a second, and how many a fleet may need."""

import msgspec

# What a leader on a core of relative speed 1 can order, with room for bursts.
RUNS_PER_CORE_S = 1_000.0
# Traffic of a leader with an upstream for the start and the end of a run.
BYTES_PER_RUN = 1_500
# Runs of a busy upstream: two at a time, a fifth of a second each.
RUNS_PER_UPSTREAM_S = 10.0
# Relays send a leader's calls when it orders more than the first of these shares
# of its runs, until it orders less than the second. A run costs a leader some
# 1.7 ms of a reference core without relays, so that it can order little more than
# half of RUNS_PER_CORE_S by itself. Quiet load of 340 starts a second on 1.07
# cores stays below the first share; with 0.45 relays began three times as often.
RELAY_START_SHARE = 0.5
RELAY_STOP_SHARE = 0.4
# With more hosts, a link between each two of them costs more than it serves.
MAX_LINKED_HOSTS = 80

_BYTES_PER_MBIT = 125_000


class HostCapacity(msgspec.Struct, frozen=True):
    """What a host has for leading.

    Attributes:
        cores: Processor, as a multiple of a reference core.
        link_mbps: Bandwidth of its network link, in Mbit/s.
    """

    cores: float
    link_mbps: float

    @property
    def runs_per_s(self) -> float:
        """How many runs a second this host can order as a leader."""
        by_link = self.link_mbps * _BYTES_PER_MBIT / BYTES_PER_RUN
        return min(self.cores * RUNS_PER_CORE_S, by_link)


def exceeds_one_leader(upstream_count: int, *, runs_per_s: float) -> bool:
    """Returns whether the upstreams can run more than one leader can order.

    Args:
        upstream_count: Number of upstreams of the fleet.
        runs_per_s: How many runs a second the leader can order.
    """
    return upstream_count * RUNS_PER_UPSTREAM_S > runs_per_s
