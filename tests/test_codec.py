"""Tests of the codec of peer messages."""

import unittest

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure
from returns.result import Success

from godwitnotch.core import ids
from godwitnotch.core import messages
from godwitnotch.core import model
from godwitnotch.net import codec

TEMPLATE = model.Template(
    ids.TemplateName("price"),
    "/price",
    upstreams=frozenset({ids.UpstreamId("u2"), ids.UpstreamId("u1")}),
)
SUBMIT = messages.ForwardSubmit(
    ids.CallId(7),
    ids.WorkspaceId("orders"),
    ids.SubmissionId("d.h.i.1.tag"),
    model.JobBody(
        TEMPLATE.name, (model.TaskSpec(b"{}"), model.TaskSpec(b"1", 2.5))
    ),
    1.5,
)
VERSION = messages.PROTOCOL_VERSION
EXAMPLES: tuple[messages.Message, ...] = (
    messages.Hello(1, ids.HostId("h"), ids.DomainId("d"), ids.Incarnation("i")),
    messages.Heartbeat(3, False),
    SUBMIT,
    messages.ForwardStatus(SUBMIT.call, SUBMIT.workspace, SUBMIT.submission),
    messages.ForwardCancel(SUBMIT.call, SUBMIT.workspace, SUBMIT.submission),
    messages.ForwardReply(
        SUBMIT.call,
        model.JobAnswer(
            SUBMIT.submission,
            model.Outcome.FAILED,
            model.Ran.SOMETHING,
            model.Reason.TASK_FAILED,
            "why",
            (b"1", b"2"),
            0.5,
        ),
    ),
    messages.ConfigChanged(4),
    messages.ConfigApplied(4),
    messages.ConfigWanted(),
    messages.ConfigSnapshot(
        2,
        (
            model.WorkspaceConfig(
                SUBMIT.workspace, 2, {TEMPLATE.name: TEMPLATE}, "ab"
            ),
        ),
    ),
    messages.DirectoryWanted(),
    messages.DirectorySnapshot(
        model.Directory(
            (
                model.HostEntry(
                    ids.HostId("h"),
                    ids.DomainId("d"),
                    ids.Incarnation("i"),
                    "127.0.0.1:1",
                ),
            ),
            (
                model.UpstreamEntry(
                    ids.UpstreamId("u1"),
                    ids.DomainId("d"),
                    "r1",
                    "127.0.0.1:2",
                    8,
                    64,
                    True,
                ),
            ),
        )
    ),
    messages.SlotsWanted(ids.UpstreamId("u1"), 1, 2, 3),
    messages.SlotsLent(ids.UpstreamId("u1"), 1, 3, -20),
    messages.SlotsAsked(4, -30),
    messages.SlotsBatch(
        (messages.SlotsWanted(ids.UpstreamId("u1"), 1, 2, 3),),
        (messages.SlotsLent(ids.UpstreamId("u1"), 1, 3),),
    ),
    messages.QuotaWanted(SUBMIT.workspace, 1, 2, 3, 40),
    messages.QuotaLent(SUBMIT.workspace, 1, 3),
)


class CodecTest(unittest.TestCase):
    def decode_problem(self, data: bytes) -> codec.CodecProblem:
        result = codec.MESSAGES.decode(data)
        self.assertIsInstance(result, Failure)
        return result.failure().problem

    def with_field(self, index: int, value: object) -> bytes:
        frame = cbor2.loads(codec.MESSAGES.encode(SUBMIT))
        frame[2][index] = value
        return cbor2.dumps(frame)

    def test_every_message_survives_a_round_trip(self) -> None:
        for message in EXAMPLES:
            data = codec.MESSAGES.encode(message)
            self.assertEqual(codec.MESSAGES.decode(data), Success(message))

    def test_examples_cover_every_message_type(self) -> None:
        kinds = {type(message) for message in EXAMPLES}
        self.assertEqual(kinds, set(messages.Message.__args__))

    def test_unknown_version_and_kind(self) -> None:
        problem = codec.CodecProblem
        self.assertEqual(
            self.decode_problem(
                cbor2.dumps([VERSION - 1, "config_wanted", []])
            ),
            problem.UNKNOWN_VERSION,
        )
        self.assertEqual(
            self.decode_problem(
                cbor2.dumps([VERSION + 1, "config_wanted", []])
            ),
            problem.UNKNOWN_VERSION,
        )
        self.assertEqual(
            self.decode_problem(cbor2.dumps([True, "config_wanted", []])),
            problem.UNKNOWN_VERSION,
        )
        for name in ("nonsense", 3, []):
            self.assertEqual(
                self.decode_problem(cbor2.dumps([VERSION, name, []])),
                problem.UNKNOWN_KIND,
            )

    def test_missing_extra_and_mistyped_fields(self) -> None:
        frames = [
            cbor2.dumps([VERSION, "config_changed", []]),
            cbor2.dumps([VERSION, "config_changed", [1, 2]]),
            cbor2.dumps([VERSION, "config_changed", {"counter": 1}]),
            cbor2.dumps([VERSION, "config_changed", [True]]),
            cbor2.dumps([VERSION, "config_changed", ["1"]]),
            self.with_field(3, ["price", [["text", None]]]),
            self.with_field(3, ["price", [[b"{}", "1"]]]),
            self.with_field(3, ["price", {}]),
            self.with_field(4, float("nan")),
            self.with_field(4, None),
        ]
        for frame in frames:
            self.assertEqual(
                self.decode_problem(frame), codec.CodecProblem.WRONG_FIELDS
            )

    def test_unknown_enum_value(self) -> None:
        frame = cbor2.loads(codec.MESSAGES.encode(EXAMPLES[5]))
        frame[2][1][1] = "sort_of"
        self.assertEqual(
            self.decode_problem(cbor2.dumps(frame)),
            codec.CodecProblem.WRONG_FIELDS,
        )

    def test_bytes_after_the_message_are_rejected(self) -> None:
        data = codec.MESSAGES.encode(SUBMIT)
        self.assertIsInstance(codec.MESSAGES.decode(data + b"\x00"), Failure)

    def test_deep_nesting_is_rejected(self) -> None:
        self.assertIsInstance(
            codec.MESSAGES.decode(b"\x81" * 100_000 + b"\x00"), Failure
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(0, 1000), st.binary(min_size=1, max_size=4))
    def test_damaged_bytes_never_raise(self, at: int, noise: bytes) -> None:
        data = bytearray(codec.MESSAGES.encode(SUBMIT))
        at %= len(data)
        data[at : at + len(noise)] = noise
        codec.MESSAGES.decode(bytes(data))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=64))
    def test_any_bytes_never_raise(self, data: bytes) -> None:
        codec.MESSAGES.decode(data)


if __name__ == "__main__":
    unittest.main()
