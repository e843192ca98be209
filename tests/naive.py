"""The plainest dispatcher: one process, one table, no faults, no waiting."""

from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import model
from tests import world


@dataclass(slots=True)
class NaiveDispatcher:
    """Runs a job when it first comes, and repeats the answer afterwards."""

    starts: list[bytes] = field(default_factory=list)
    _jobs: dict[str, model.JobBody] = field(default_factory=dict)

    def submit(self, identity: str, body: model.JobBody) -> tuple[bytes, ...]:
        """Returns the results; none where the identity has another body."""
        if identity not in self._jobs:
            self._jobs[identity] = body
            self.starts += [task.payload for task in body.tasks]
        if self._jobs[identity] != body:
            return ()
        return tuple(world.result_of(task.payload) for task in body.tasks)
