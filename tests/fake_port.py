"""A fake runtime port for the tests of the HTTP routes."""

import asyncio
from collections.abc import Mapping

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import runtime_port

CALL = ids.CallId(1)
HOST = model.HostEntry(
    ids.HostId("h1"),
    ids.DomainId("d1"),
    ids.Incarnation("0a"),
    "127.0.0.1:1",
)


def reply_with(answer: model.JobAnswer) -> actions.Reply:
    """Returns a reply to CALL with a job answer."""
    return actions.Reply(CALL, answer)


class FakePort:
    """Records each event and returns the answer that the test has set.

    Args:
        configs: Settings of each workspace.

    Attributes:
        ready: Whether the host is ready.
        configs: Settings of each workspace.
        time: Current time, in seconds.
        upstreams: Upstreams that the status lists.
        answer: Answer to each event, or the exception that each call raises. If
            None, calls wait until they are cancelled.
        events: Events received so far.
        drain_deadline: Deadline of the last drain.
        cancelled: Whether a waiting call was cancelled.
    """

    def __init__(
        self, configs: Mapping[ids.WorkspaceId, model.WorkspaceConfig]
    ) -> None:
        self.ready = True
        self.configs = configs
        self.time = 100.0
        self.upstreams: tuple[runtime_port.UpstreamStatus, ...] = ()
        self.answer: runtime_port.Answer | Exception | None = None
        self.events: list[events.Event] = []
        self.drain_deadline: float | None = None
        self.cancelled = False

    def now(self) -> float:
        return self.time

    def status(self) -> runtime_port.HostStatus:
        return runtime_port.HostStatus(
            HOST, ready=self.ready, draining=False, upstreams=self.upstreams
        )

    async def ask(
        self, make_event: runtime_port.EventFactory
    ) -> runtime_port.Answer:
        self.events.append(make_event(CALL))
        if isinstance(self.answer, Exception):
            raise self.answer
        if self.answer is not None:
            return self.answer
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        raise AssertionError

    def drain(self, *, deadline: float) -> None:
        self.drain_deadline = deadline
