"""Values shared by the tests of scheduling policies."""

from collections.abc import Iterable

from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.core import scheduler


def upstream(
    name: str, domain: str = "d0", *, slots: int = 8, leaving: bool = False
) -> model.UpstreamEntry:
    """Returns an upstream entry of the platform's list."""
    return model.UpstreamEntry(
        ids.UpstreamId(name),
        ids.DomainId(domain),
        "r0",
        "127.0.0.1:1",
        slots,
        64,
        leaving,
    )


def host(name: str, domain: str = "d0") -> model.HostEntry:
    """Returns a host entry of the platform's list."""
    return model.HostEntry(
        ids.HostId(name),
        ids.DomainId(domain),
        ids.Incarnation("i0"),
        "127.0.0.1:2",
    )


def job(
    name: str,
    tasks: int,
    *,
    workspace: str = "acme",
    upstreams: Iterable[str] = (),
    deadline: float = 30.0,
    max_running: int = 1_000,
    max_queued: int = 10_000,
) -> scheduler.JobRequest:
    """Returns a job request whose tasks have no declared run times."""
    return scheduler.JobRequest(
        ids.SubmissionId(name),
        model.WorkspaceConfig(
            ids.WorkspaceId(workspace),
            1,
            max_running_tasks=max_running,
            max_queued_tasks=max_queued,
        ),
        model.Template(
            ids.TemplateName("check"),
            "/run",
            frozenset(ids.UpstreamId(each) for each in upstreams),
        ),
        (None,) * tasks,
        deadline,
    )
