"""Reports of where a job would go now, and why; nothing is sent or recorded."""

import enum

import msgspec

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.core.leased import shares


class AdmissionOutcome(enum.Enum):
    """What the leader would do with a job on arrival."""

    KEPT = "kept"
    MOVED = "moved"  # To the leader of another cell.
    ENDED = "ended"  # Answered at once, without a start.
    OPEN = "open"  # The leader has a job of this name; it would go on.


class PlacementOutcome(enum.Enum):
    """What would become of the first task of a job at the head of the queue."""

    NOT_ASKED = "not_asked"  # The job isn't kept.
    PLACED = "placed"
    NO_ROOM = "no_room"
    WAITS_FOR_RACK = "waits_for_rack"
    WAITS_FOR_FASTER = "waits_for_faster"
    SUSPECT = "suspect"  # A job of this name may have crashed upstreams.


class AdmissionReport(msgspec.Struct, frozen=True):
    """The verdict of the admission, with its figures.

    Attributes:
        outcome: What would become of the job.
        reason: Why it would be answered at once; else none.
        event: The log event of the verdict; empty for none.
        detail: The inputs of that event as key=value pairs.
        retry_after_s: When its caller should retry; 0 if it is kept.
        moved_to: The leader that would take it; empty if it doesn't move.
        settling: Whether the new leader refuses nothing by load yet.
        any_open: Whether the leader holds a lease under which tasks start.
        slots: How many tasks of average size can run at once.
        free_slots: How many of them have no run.
        ahead_ms: Expected run time of the waiting tasks ahead of the job.
        wait_s: Expected time until its last task starts.
        base_ms: Expected run time of a task on an average upstream.
        target_s: Its target response time.
        in_time: Whether it is expected to meet that time.
        share: Where it stands in regard to its route's share of room.
        evacuated: The evacuated failure domains.
    """

    outcome: AdmissionOutcome
    reason: model.EndReason
    event: str
    detail: str
    retry_after_s: float
    moved_to: ids.HostId
    settling: bool
    any_open: bool
    slots: float
    free_slots: float
    ahead_ms: float
    wait_s: float
    base_ms: float
    target_s: float
    in_time: bool
    share: shares.Standing
    evacuated: tuple[ids.DomainId, ...]


class PlacementReport(msgspec.Struct, frozen=True):
    """Where the first task would go.

    Attributes:
        outcome: What would become of the task.
        upstream: The upstream that it would run on or wait for; empty if none.
        domain: Failure domain of that upstream; empty if none.
        in_rack: Whether that upstream is in the rack of the task's data.
        expected_ms: Expected run time there; 0 without an upstream.
        wait_s: How long it would wait for a place there, at most.
        accepting: How many upstreams accept runs.
        suitable: How many of them can run the task once they have room.
    """

    outcome: PlacementOutcome
    upstream: ids.UpstreamId
    domain: ids.DomainId
    in_rack: bool
    expected_ms: float
    wait_s: float
    accepting: int
    suitable: int


class JobReport(msgspec.Struct, frozen=True):
    """A leader's report on a job.

    Attributes:
        leader: The leader.
        term: Its term.
        admission: What it would do with the job on arrival.
        placement: Where the first task would go.
    """

    leader: ids.HostId
    term: model.Term
    admission: AdmissionReport
    placement: PlacementReport
