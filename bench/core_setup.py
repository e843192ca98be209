"""Creates host cores with upstreams, peers and workspaces for benchmarks."""

import random

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import host
from godwitnotch.core import ids
from godwitnotch.core import limits
from godwitnotch.core import model
from godwitnotch.core import records
from godwitnotch.core import scheduler

TEMPLATE = ids.TemplateName("check")
TEMPLATES_PER_WORKSPACE = 4
SLOTS_PER_UPSTREAM = 8
CONNECTIONS_PER_UPSTREAM = 64
DOMAIN_COUNT = 7


def workspace_id(number: int) -> ids.WorkspaceId:
    """Returns the id of a numbered workspace."""
    return ids.WorkspaceId(f"team-{number}")


def domain_id(number: int) -> ids.DomainId:
    """Returns the failure domain of a numbered host or upstream."""
    return ids.DomainId(f"d{number % DOMAIN_COUNT}")


def upstream_entries(count: int) -> tuple[model.UpstreamEntry, ...]:
    """Returns directory entries of upstreams that have no process."""
    return tuple(_upstream_entry(number) for number in range(count))


def create_core(
    policy: str,
    *,
    seed: int = 0,
    upstream_count: int = 24,
    host_count: int = 1,
    workspace_count: int = 1,
) -> host.HostCore:
    """Creates a host core that knows its upstreams, peers and workspaces.

    Args:
        policy: Name of the scheduling policy.
        seed: Seed of the random numbers of the core.
        upstream_count: Number of upstreams in the directory.
        host_count: Number of hosts, this one included.
        workspace_count: Number of configured workspaces.

    Returns:
        A core that is ready to accept jobs.
    """
    rng = random.Random(seed)
    identity = model.HostEntry(
        ids.HostId("h0"), domain_id(0), ids.Incarnation("0a" * 8), ""
    )
    core = host.HostCore(
        identity=identity,
        issuer=ids.IdIssuer(secret=b"s" * 32),
        scheduler=scheduler.create(
            policy, host=identity.host, domain=identity.domain, rng=rng
        ),
        rng=rng,
        limits=limits.HostLimits(),
    )
    _configure(core, upstream_count, workspace_count)
    for number in range(1, host_count):
        peer_up = events.PeerUp(
            ids.HostId(f"h{number}"),
            domain_id(number),
            ids.Incarnation(f"{number:016x}"),
        )
        core.handle(peer_up, now=0.0)
    return core


def _configure(
    core: host.HostCore, upstream_count: int, workspace_count: int
) -> None:
    """Gives the directory and the workspace settings to a core."""
    directory = model.Directory((), upstream_entries(upstream_count))
    directory_actions = core.handle(events.DirectorySeen(directory), now=0.0)
    config_log_read = next(
        action
        for action in directory_actions
        if isinstance(action, actions.StoreRead)
    )
    change = records.LoggedChange(workspace_id(0), 1, "n")
    config_log = model.Row(
        records.CONFIG_LOG_KEY, 1, records.encode_log([change])
    )
    config_log_actions = core.handle(
        events.StoreRows(config_log_read.call, (config_log,)), now=0.0
    )
    workspace_scan = next(
        action
        for action in config_log_actions
        if isinstance(action, actions.StoreScan)
    )
    rows = tuple(_config_row(number) for number in range(workspace_count))
    core.handle(events.StoreRows(workspace_scan.call, rows), now=0.0)


def _upstream_entry(number: int) -> model.UpstreamEntry:
    return model.UpstreamEntry(
        ids.UpstreamId(f"worker-{number}"),
        domain_id(number),
        f"rack-{number // 8}",
        f"127.0.0.1:{number + 1}",
        SLOTS_PER_UPSTREAM,
        CONNECTIONS_PER_UPSTREAM,
    )


def _config_row(number: int) -> model.Row:
    names = [TEMPLATE] + [
        ids.TemplateName(f"template-{template_number}")
        for template_number in range(1, TEMPLATES_PER_WORKSPACE)
    ]
    config = model.WorkspaceConfig(
        workspace_id(number),
        1,
        {name: model.Template(name, f"/{name}") for name in names},
    )
    value = records.encode_config(config, nonce="n")
    return model.Row(records.config_key(config.workspace), 1, value)
