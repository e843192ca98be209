"""A host core with upstreams, peers and workspaces, for measurements."""

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
SLOTS = 8
CONNECTIONS = 64
DOMAINS = 7


def workspace(number: int) -> ids.WorkspaceId:
    """Returns the name of one workspace."""
    return ids.WorkspaceId(f"team-{number}")


def domain(number: int) -> ids.DomainId:
    """Returns the failure domain that a numbered host or upstream is in."""
    return ids.DomainId(f"d{number % DOMAINS}")


def upstreams(count: int) -> tuple[model.UpstreamEntry, ...]:
    """Returns entries of upstreams that don't run."""
    return tuple(_upstream(number) for number in range(count))


def create(
    policy: str,
    *,
    seed: int = 0,
    upstream_count: int = 24,
    hosts: int = 1,
    workspaces: int = 1,
) -> host.HostCore:
    """Returns a configured core that is ready to serve."""
    chance = random.Random(seed)
    identity = model.HostEntry(
        ids.HostId("h0"), domain(0), ids.Incarnation("0a" * 8), ""
    )
    core = host.HostCore(
        identity=identity,
        issuer=ids.IdIssuer(secret=b"s" * 32),
        scheduler=scheduler.create(
            policy, host=identity.host, domain=identity.domain, rng=chance
        ),
        rng=chance,
        limits=limits.HostLimits(),
    )
    _configure(core, upstream_count, workspaces)
    for number in range(1, hosts):
        up = events.PeerUp(
            ids.HostId(f"h{number}"),
            domain(number),
            ids.Incarnation(f"{number:016x}"),
        )
        core.handle(up, now=0.0)
    return core


def _configure(
    core: host.HostCore, upstream_count: int, workspaces: int
) -> None:
    directory = model.Directory((), upstreams(upstream_count))
    first = core.handle(events.DirectorySeen(directory), now=0.0)
    read = next(each for each in first if isinstance(each, actions.StoreRead))
    change = records.LoggedChange(workspace(0), 1, "n")
    log = model.Row(records.CONFIG_LOG_KEY, 1, records.encode_log([change]))
    second = core.handle(events.StoreRows(read.call, (log,)), now=0.0)
    scan = next(each for each in second if isinstance(each, actions.StoreScan))
    rows = tuple(_config_row(number) for number in range(workspaces))
    core.handle(events.StoreRows(scan.call, rows), now=0.0)


def _upstream(number: int) -> model.UpstreamEntry:
    return model.UpstreamEntry(
        ids.UpstreamId(f"worker-{number}"),
        domain(number),
        f"rack-{number // 8}",
        f"127.0.0.1:{number + 1}",
        SLOTS,
        CONNECTIONS,
    )


def _config_row(number: int) -> model.Row:
    names = [TEMPLATE] + [
        ids.TemplateName(f"template-{each}")
        for each in range(1, TEMPLATES_PER_WORKSPACE)
    ]
    config = model.WorkspaceConfig(
        workspace(number),
        1,
        {name: model.Template(name, f"/{name}") for name in names},
    )
    value = records.encode_config(config, nonce="n")
    return model.Row(records.config_key(config.workspace), 1, value)
