"""Messages about reports on jobs, for the tests of their encoding."""

from godwitnotch.core import ids
from godwitnotch.core.leased import explanation
from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.core.leased import shares
from tests import leased_world

REPORT = explanation.JobReport(
    ids.HostId("a"),
    model.Term(5),
    explanation.AdmissionReport(
        outcome=explanation.AdmissionOutcome.ENDED,
        reason=model.EndReason.OVERLOADED,
        event="job_refused",
        detail="wait_s=1.500",
        retry_after_s=0.5,
        moved_to=ids.HostId(""),
        settling=False,
        any_open=True,
        slots=12.5,
        free_slots=0.0,
        ahead_ms=18_000.0,
        wait_s=1.5,
        base_ms=100.0,
        target_s=0.25,
        in_time=False,
        share=shares.Standing.EXCESS,
        evacuated=(ids.DomainId("b"),),
    ),
    explanation.PlacementReport(
        outcome=explanation.PlacementOutcome.WAITS_FOR_RACK,
        upstream=ids.UpstreamId("u"),
        domain=ids.DomainId("a"),
        in_rack=True,
        expected_ms=100.0,
        wait_s=0.05,
        accepting=4,
        suitable=2,
    ),
)
EXAMPLES: tuple[peer_messages.Message, ...] = (
    peer_messages.JobReportWanted(
        ids.CallId(7), leased_world.request("j", 3), 1.5
    ),
    peer_messages.JobReported(ids.CallId(7), REPORT),
    peer_messages.JobReported(ids.CallId(70_000), None),
)
