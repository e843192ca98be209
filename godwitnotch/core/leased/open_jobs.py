"""The leader's open jobs: they are added, and answered, moved or dropped once."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Protocol

from godwitnotch.core import ids
from godwitnotch.core.leased import job_admission
from godwitnotch.core.leased import jobs
from godwitnotch.core.leased import lease as lease_module
from godwitnotch.core.leased import model
from godwitnotch.core.leased import outbox as outbox_module
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import retained_answers
from godwitnotch.core.leased import waiting

Send = Callable[[ids.HostId, peer_messages.Message], None]


class StopRuns(Protocol):
    """Orders all runs of a job to stop."""

    def __call__(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Stops the runs."""


class OpenJobs:
    """The jobs that owners have handed over and that have not ended.

    Args:
        out: Collects the actions to execute.
        queue: The jobs that wait.
        send: Sends a message to the owner of a job.
        stop_runs: Stops the runs of a job that ends without having finished.
        on_removed: Called after a job was removed, as its room may be free.
    """

    def __init__(
        self,
        out: outbox_module.Outbox,
        queue: waiting.WaitingQueue,
        *,
        send: Send,
        stop_runs: StopRuns,
        on_removed: Callable[[], None],
    ) -> None:
        self._out = out
        self._queue = queue
        self._send = send
        self._stop_runs = stop_runs
        self._on_removed = on_removed
        self._jobs: dict[model.JobName, jobs.LeasedJob] = {}
        self._retained_answers = retained_answers.RetainedAnswers()

    def __iter__(self) -> Iterator[jobs.LeasedJob]:
        """Yields the jobs; some may end meanwhile."""
        return iter(tuple(self._jobs.values()))

    def __contains__(self, name: model.JobName) -> bool:
        """Returns whether a job is open."""
        return name in self._jobs

    @property
    def by_name(self) -> Mapping[model.JobName, jobs.LeasedJob]:
        """All open jobs."""
        return self._jobs

    @property
    def any_started(self) -> bool:
        """Whether any job has, or may have, runs."""
        return any(job.started for job in self._jobs.values())

    @property
    def unstarted_count(self) -> int:
        """How many jobs have not had a run."""
        return sum(not job.started for job in self._jobs.values())

    def get(self, name: model.JobName) -> jobs.LeasedJob | None:
        """Returns an open job; None if there is none of this name."""
        return self._jobs.get(name)

    def of_run(self, run: lease_module.Run) -> jobs.LeasedJob | None:
        """Returns the job of a run; None if the job has ended."""
        job = run.job
        if job is None or self._jobs.get(job.name) is not job:
            return None
        return job

    def claimed(self, key: model.RunKey) -> jobs.LeasedJob | None:
        """Returns the job of a run, if an owner has claimed it."""
        job = self._jobs.get(key.task.job)
        if job is None or key.task.index >= len(job.tasks):
            return None
        return job

    def kept_answer(
        self, message: peer_messages.JobHandedOver
    ) -> model.Answer | None:
        """Returns the answer for a job that has ended lately, if it holds."""
        return self._retained_answers.find(
            message.request, had_earlier_leader=message.had_earlier_leader
        )

    def add(self, job: jobs.LeasedJob) -> None:
        """Adds a job, which isn't queued yet."""
        self._jobs[job.name] = job

    def apply(
        self, verdict: job_admission.Verdict, job: jobs.LeasedJob, *, now: float
    ) -> None:
        """Moves or ends a job, as the admission has decided."""
        match verdict:
            case job_admission.Kept(event=event, detail=detail) if event:
                self._out.add_decision(
                    event,
                    job=job.name,
                    detail=detail,
                    route=job.request.settings.route,
                )
            case job_admission.Moved(leader=leader):
                self._out.add_decision(
                    "job_redirected", job=job.name, detail=f"leader={leader}"
                )
                self._remove(job, now=now)
                redirected = peer_messages.JobRedirected(job.name, leader)
                self._send(job.owner, redirected)
            case job_admission.Ended(answer=answer, event=event):
                if event:
                    self._out.add_decision(
                        event,
                        job=job.name,
                        reason=verdict.cause or answer.reason.value,
                        detail=verdict.detail,
                        route=job.request.settings.route,
                    )
                self.end(job, answer, now=now)

    def complete(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Answers a job whose tasks have all succeeded."""
        self.end(job, model.Answer(model.JobEnd.COMPLETED), now=now)

    def fail(
        self, job: jobs.LeasedJob, reason: model.EndReason, *, now: float
    ) -> None:
        """Answers a job that can't succeed."""
        self.end(job, model.Answer(model.JobEnd.FAILED, reason), now=now)

    def end(
        self, job: jobs.LeasedJob, answer: model.Answer, *, now: float
    ) -> None:
        """Removes a job and answers its owner."""
        self._retained_answers.add(job.request, answer, now=now)
        self._remove(job, now=now)
        self.tell_answer(job.owner, job.name, answer)

    def drop(self, job: jobs.LeasedJob, *, reason: str, now: float) -> None:
        """Removes a job that nobody waits for."""
        self._out.add_decision("job_dropped", job=job.name, reason=reason)
        self._remove(job, now=now)

    def drop_all_of(self, owner: ids.HostId, *, now: float) -> None:
        """Removes the jobs of an owner that is lost."""
        for job in self:
            if job.owner == owner:
                self.drop(job, reason="owner_lost", now=now)

    def tell_answer(
        self, owner: ids.HostId, name: model.JobName, answer: model.Answer
    ) -> None:
        """Tells an owner the answer for its job."""
        self._send(owner, peer_messages.JobAnswered(name, answer))

    def forget_expired(self, *, now: float) -> None:
        """Forgets the answers of jobs that ended long ago."""
        self._retained_answers.forget_expired(now=now)

    def clear(self) -> None:
        """Forgets all jobs and answers."""
        self._jobs.clear()
        self._retained_answers.clear()

    def _remove(self, job: jobs.LeasedJob, *, now: float) -> None:
        """Removes a job and stops its runs."""
        del self._jobs[job.name]
        self._queue.discard(job)
        self._on_removed()
        if not job.finished():
            self._stop_runs(job, now=now)
