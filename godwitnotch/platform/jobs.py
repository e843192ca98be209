"""Decodes callers' jobs and encodes the answers, in the platform's format."""

import json
from typing import Any

from godwitnotch.core.leased import model
from godwitnotch.platform import configuration
from godwitnotch.platform import fields

JOB_ID_HEX_DIGITS = 16
MAX_SPEC_BYTES = 4_000
MAX_TASKS_PER_JOB = 1_000
DEADLINE_HEADER = "x-request-deadline"
# A job that sets one of these fields is refused, since it asks for a feature
# that isn't supported yet.
_UNSUPPORTED_JOB_FIELDS = ("times", "persistent")
_UNSUPPORTED_STEP_FIELDS = (
    "after",
    "gang",
    "checkpointing",
    "speculative",
    "persistent",
    "fills",
    "may_miss",
    "target_ms",
    "image",
    "same_rack",
)


class ShapeNotServedError(Exception):
    """A job asks for an unsupported feature; the message names the feature.

    The job is refused and never runs.
    """


def parse_job_name(path: str, prefix: str) -> model.JobName | None:
    """Returns the job id that follows the prefix; None if it is malformed."""
    name = path[len(prefix) :]
    if len(name) != JOB_ID_HEX_DIGITS or not all(
        digit in "0123456789abcdefABCDEF" for digit in name
    ):
        return None
    return model.JobName(name)


def decode(
    name: model.JobName, body: bytes, route: configuration.Route
) -> model.JobRequest:
    """Decodes a job.

    Args:
        name: Name of the job, which is its id.
        body: Body of the caller's request.
        route: Route of the request.

    Raises:
        WrongFormatError: The body is malformed.
        ShapeNotServedError: The job asks for an unsupported feature.
    """
    values = fields.parse_object(body)
    _check_features(values, route)
    steps = fields.array(values, "steps")
    spec = fields.text(values, "spec", "")
    if len(spec.encode()) > MAX_SPEC_BYTES:
        raise fields.WrongFormatError(
            f"spec has more than {MAX_SPEC_BYTES} bytes; send a shorter one"
        )
    return model.JobRequest(
        name, spec, _decode_task_group(steps[0]), route.settings
    )


def _check_features(values: dict[str, Any], route: configuration.Route) -> None:
    steps = fields.array(values, "steps")
    if not steps or not all(isinstance(step, dict) for step in steps):
        raise fields.WrongFormatError("steps holds no step; send at least one")
    if not fields.flag(values, "best_effort"):
        raise ShapeNotServedError("stored")
    if len(steps) > 1:
        raise ShapeNotServedError("steps")
    if route.needs_external_placement:
        raise ShapeNotServedError("advice")
    for name in _UNSUPPORTED_JOB_FIELDS:
        if values.get(name):
            raise ShapeNotServedError(name)
    for name in _UNSUPPORTED_STEP_FIELDS:
        if steps[0].get(name):
            raise ShapeNotServedError(name)


def _decode_task_group(step: dict[str, Any]) -> model.TaskGroup:
    count = fields.integer(step, "count", 1)
    if not 1 <= count <= MAX_TASKS_PER_JOB:
        raise fields.WrongFormatError(
            f"count is {count}; send 1 to {MAX_TASKS_PER_JOB} tasks"
        )
    return model.TaskGroup(
        count=count,
        needs=decode_resources(step),
        estimate_ms=fields.number(step, "estimate_ms", 0.0),
        required_label=fields.text(step, "required_label", ""),
        # The platform's "affinity" names the rack that holds the task's data.
        preferred_rack=fields.text(step, "affinity", ""),
        max_per_upstream=fields.integer(step, "max_per_server", 0),
    )


def decode_resources(values: dict[str, Any]) -> model.Resources:
    """Decodes the resources that a step needs or an upstream has."""
    return model.Resources(
        # The platform's "cpu" counts thousandths of a core.
        cpu_millis=fields.integer(values, "cpu", 0),
        memory_mb=fields.integer(values, "mem_mb", 0),
        gpus=fields.integer(values, "gpu", 0),
    )


def answer_body(answer: model.Answer) -> bytes:
    """Encodes the answer to a job as the body of a response."""
    if answer.end in (model.JobEnd.COMPLETED, model.JobEnd.FAILED):
        return json.dumps({"state": answer.end.value}).encode()
    return json.dumps({"error": answer.reason.value}).encode()


def pending_body(count: int) -> bytes:
    """Encodes the number of jobs that wait for their first run."""
    return json.dumps({"pending": count}).encode()
