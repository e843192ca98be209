"""A reference dispatcher: a single process without faults or queues."""

from dataclasses import dataclass
from dataclasses import field

from tests import fakes

Payloads = tuple[bytes, ...]


@dataclass(slots=True)
class NaiveDispatcher:
    """Runs each job once and returns the same results for resubmissions."""

    starts: list[bytes] = field(default_factory=list)
    _jobs: dict[str, Payloads] = field(default_factory=dict)

    def submit(self, job_name: str, payloads: Payloads) -> Payloads:
        """Returns the results; none if the name was used for another body."""
        if job_name not in self._jobs:
            self._jobs[job_name] = payloads
            self.starts += payloads
        if self._jobs[job_name] != payloads:
            return ()
        return tuple(map(fakes.expected_result, payloads))
