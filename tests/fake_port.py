"""A fake of the running host, for tests of the HTTP routes."""

import asyncio
from collections.abc import Mapping

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import core_port

CALL = ids.CallId(1)
HOST = model.HostEntry(
    ids.HostId("h1"),
    ids.DomainId("d1"),
    ids.Incarnation("0a"),
    "127.0.0.1:1",
)


def reply_with(answer: model.JobAnswer) -> actions.Reply:
    """Returns a reply with an answer."""
    return actions.Reply(CALL, answer)


class FakePort:
    """Answers each event with what the test put there, and keeps it."""

    def __init__(
        self, configs: Mapping[ids.WorkspaceId, model.WorkspaceConfig]
    ) -> None:
        self.ready = True
        self.configs = configs
        self.time = 100.0
        self.upstreams: tuple[core_port.UpstreamStatus, ...] = ()
        self.answer: core_port.Answer | Exception | None = None
        self.events: list[events.Event] = []
        self.drain_deadline: float | None = None
        self.cancelled = False

    def now(self) -> float:
        return self.time

    def status(self) -> core_port.HostStatus:
        return core_port.HostStatus(
            HOST, ready=self.ready, draining=False, upstreams=self.upstreams
        )

    async def ask(self, make_event: core_port.EventFactory) -> core_port.Answer:
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
