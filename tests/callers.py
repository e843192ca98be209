"""Callers and operators of a simulated world, and checks of their answers."""

import functools
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from tests import fakes
from tests import world as worlds

ANSWER_SLACK_S = 1.0
CALL_TIMEOUT_S = 10.0  # For reservations, status queries and cancellations.
SETTLE_TIME_S = 20.0
_FINAL_OUTCOMES = (
    model.Outcome.COMPLETE,
    model.Outcome.FAILED,
    model.Outcome.REFUSED,
)


@dataclass(slots=True)
class JobCall:
    """A call about a job.

    Attributes:
        identity: Name of the reserved id, or `key:` and the idempotency key. If
            the id is submitted with another body, "/" and the body's name
            follow.
        is_submission: Whether the call submits the job.
        call: The call.
    """

    identity: str
    is_submission: bool
    call: fakes.Call


@dataclass(slots=True)
class Callers:
    """Sends calls to the hosts of a world and checks the answers.

    Attributes:
        world: The world that is called.
        calls: All calls by label.
        job_calls: The calls about jobs.
    """

    world: worlds.World
    calls: dict[str, fakes.Call] = field(default_factory=dict)
    job_calls: list[JobCall] = field(default_factory=list)
    _numbers: int = 0

    def reserve(
        self,
        label: str,
        *,
        host: str,
        workspace: str,
        count: int = 1,
        key: str | None = None,
    ) -> fakes.Call:
        """Reserves submission ids."""
        call = self._call(label, host, timeout_s=CALL_TIMEOUT_S)
        self._send(
            call,
            functools.partial(
                events.ReserveAsked,
                workspace=ids.WorkspaceId(workspace),
                count=count,
                key=ids.IdempotencyKey(key) if key else None,
            ),
        )
        return call

    def submit(
        self,
        label: str,
        *,
        host: str,
        workspace: str,
        submission: ids.SubmissionId,
        body: model.JobBody,
        identity: str,
        timeout_s: float = 10.0,
    ) -> fakes.Call:
        """Submits a job under a reserved id."""
        call = self._job_call(label, host, body, identity, timeout_s)
        self._send(
            call,
            functools.partial(
                events.SubmitAsked,
                workspace=ids.WorkspaceId(workspace),
                submission=submission,
                body=body,
                deadline=call.host.clock + timeout_s,
            ),
        )
        return call

    def submit_keyed(
        self,
        label: str,
        *,
        host: str,
        workspace: str,
        key: str,
        body: model.JobBody,
        timeout_s: float = 10.0,
    ) -> fakes.Call:
        """Submits a job under an idempotency key."""
        call = self._job_call(label, host, body, f"key:{key}", timeout_s)
        self._send(
            call,
            functools.partial(
                events.KeyedSubmitAsked,
                workspace=ids.WorkspaceId(workspace),
                key=ids.IdempotencyKey(key),
                body=body,
                deadline=call.host.clock + timeout_s,
            ),
        )
        return call

    def query_or_cancel(
        self,
        event_type: type[events.StatusAsked] | type[events.CancelAsked],
        label: str,
        *,
        host: str,
        workspace: str,
        submission: ids.SubmissionId,
        identity: str,
    ) -> fakes.Call:
        """Queries the status of a job, or cancels the job."""
        call = self._call(label, host, timeout_s=CALL_TIMEOUT_S)
        self.job_calls.append(JobCall(identity, False, call))
        self._send(
            call,
            functools.partial(
                event_type,
                workspace=ids.WorkspaceId(workspace),
                submission=submission,
            ),
        )
        return call

    def put_config(
        self,
        label: str,
        *,
        host: str,
        config: model.WorkspaceConfig,
        timeout_s: float = 10.0,
    ) -> fakes.Call:
        """Replaces a workspace's settings."""
        call = self._call(label, host, timeout_s=timeout_s)
        call.config = config
        self._send(
            call,
            functools.partial(
                events.ConfigPutAsked,
                config=config,
                deadline=call.host.clock + timeout_s,
            ),
        )
        return call

    def check(self) -> list[str]:
        """Returns a line for each promise that was broken so far."""
        found = list(self.world.violations)
        self.world.violations.clear()
        for job_call in self.job_calls:
            if (answer := job_call.call.answer) is not None:
                found += self._check_answer(job_call, answer)
        found += self._check_agreement()
        found += self._check_unanswered()
        return found

    def settle(self) -> list[str]:
        """Waits for late effects, then returns a line per broken promise."""
        self.world.run(SETTLE_TIME_S)
        self.world.check_versions()
        return self.check()

    def _call(self, label: str, host: str, *, timeout_s: float) -> fakes.Call:
        sim = self.world.hosts[host]
        now = self.world.now
        call = fakes.Call(label, now, sim, now + timeout_s)
        self.calls[label] = call
        self.world.calls.append(call)
        return call

    def _job_call(
        self,
        label: str,
        host: str,
        body: model.JobBody,
        identity: str,
        timeout_s: float,
    ) -> fakes.Call:
        call = self._call(label, host, timeout_s=timeout_s)
        call.payloads = _payloads(body)
        self.job_calls.append(JobCall(identity, True, call))
        return call

    def _send(
        self, call: fakes.Call, event: "functools.partial[events.Event]"
    ) -> None:
        self._numbers += 1
        number = ids.CallId(self._numbers)
        call.host.calls[number] = call
        call.host.deliver(event(call=number))

    def _check_answer(
        self, job_call: JobCall, answer: model.JobAnswer
    ) -> list[str]:
        call = job_call.call
        found = []
        if answer.outcome is model.Outcome.COMPLETE:
            if answer.results not in self._correct_results(job_call):
                found.append(f"{call.label}: not the answer to this request")
        elif answer.results:
            found.append(f"{call.label}: a partial answer")
        refused = answer.outcome is model.Outcome.REFUSED
        if refused and answer.ran is not model.Ran.NOTHING:
            found.append(f"{call.label}: refused, but not as not run")
        unknown = answer.outcome is model.Outcome.UNKNOWN
        if unknown and answer.ran is model.Ran.NOTHING:
            found.append(f"{call.label}: unknown, but claims {answer.ran}")
        if (
            answer.outcome in _FINAL_OUTCOMES
            and answer.ran is model.Ran.NOTHING
        ):
            found += self._check_nothing_ran(job_call)
        claims_start = answer.ran is model.Ran.SOMETHING and (
            unknown or answer.outcome in _FINAL_OUTCOMES
        )
        if job_call.is_submission and claims_start and not self._starts(call):
            found.append(f"{call.label}: said that something ran")
        return found

    def _correct_results(self, job_call: JobCall) -> set[tuple[bytes, ...]]:
        """Returns the correct results of each body that may have been run."""
        bodies = {job_call.call.payloads}
        if not job_call.is_submission:
            prefix = job_call.identity + "/"
            bodies = {
                other.call.payloads
                for other in self.job_calls
                if other.is_submission
                and (other.identity + "/").startswith(prefix)
            }
        return {tuple(map(fakes.expected_result, body)) for body in bodies}

    def _check_nothing_ran(self, job_call: JobCall) -> list[str]:
        """Returns the starts that contradict an answer of "not run".

        No task may have started before the answer. Later starts are allowed
        only if another call had submitted the job before the start, and had
        no final answer at the time of this answer.
        """
        answered_at = job_call.call.answered_at
        copies = [
            other.call
            for other in self.job_calls
            if other.is_submission
            and other.call is not job_call.call
            and other.identity == job_call.identity
            and not _is_final_at(other.call, answered_at)
        ]
        return [
            f"{job_call.call.label}: said not run at "
            f"{answered_at - worlds.EPOCH_S:.3f} s, but task "
            f"{start.task_index} started at "
            f"{start.started_at - worlds.EPOCH_S:.3f} s"
            for start in self._starts(job_call.call)
            if start.started_at <= answered_at
            or not any(copy.sent_at <= start.started_at for copy in copies)
        ]

    def _check_agreement(self) -> list[str]:
        finals: dict[tuple[bytes, ...], set[model.Outcome]] = {}
        for job_call in self.job_calls:
            answer = job_call.call.answer
            if answer is None or answer.outcome not in _FINAL_OUTCOMES:
                continue
            if answer.ran is model.Ran.SOMETHING:
                outcomes = finals.setdefault(job_call.call.payloads, set())
                outcomes.add(answer.outcome)
        return [
            f"{payloads[:1]}: told both complete and failed"
            for payloads, outcomes in finals.items()
            if payloads and len(outcomes) > 1
        ]

    def _check_unanswered(self) -> list[str]:
        now = self.world.now
        return [
            f"{call.label}: no answer by its deadline"
            for call in self.world.calls
            if call.reply is None
            and call.host.alive
            and not call.host.paused
            and now
            > max(call.deadline, call.host.resumed_at + CALL_TIMEOUT_S)
            + ANSWER_SLACK_S
        ]

    def _starts(self, call: fakes.Call) -> Sequence[fakes.Start]:
        return self.world.starts_of(call.payloads)


def body_of(
    identity: str, *, tasks: int, template: str = "check"
) -> model.JobBody:
    """Returns the body of a job; its payloads occur in no other job."""
    specs = tuple(
        model.TaskSpec(f'"{identity}/{index}"'.encode())
        for index in range(tasks)
    )
    return model.JobBody(ids.TemplateName(template), specs)


def reserved(call: fakes.Call) -> tuple[ids.SubmissionId, ...]:
    """Returns the reserved ids; none before the reservation is answered."""
    if isinstance(call.reply, actions.ReplyReserved):
        return call.reply.submissions
    return ()


def _is_final_at(call: fakes.Call, time: float) -> bool:
    answer = call.answer
    if answer is None or call.answered_at > time:
        return False
    return answer.outcome in _FINAL_OUTCOMES


def _payloads(body: model.JobBody) -> tuple[bytes, ...]:
    return tuple(task.payload for task in body.tasks)
