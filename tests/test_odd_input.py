"""Fuzzes what reads data that others write: only its own errors may come out.

An error of another kind passes by those who expect a decoder's own, and ended the
use of an upstream or the reading of a table.
"""

import base64
import json
import unittest
from collections.abc import Callable
from typing import Any

import hypothesis
from hypothesis import strategies

from godwitnotch.core.leased import model
from godwitnotch.core.leased import peer_messages
from godwitnotch.net import addresses
from godwitnotch.net import codec
from godwitnotch.net import http_types
from godwitnotch.platform import configuration
from godwitnotch.platform import evacuations
from godwitnotch.platform import fields
from godwitnotch.platform import hosts
from godwitnotch.platform import jobs
from godwitnotch.platform import store
from godwitnotch.platform import upstreams
from tests import test_wire_bytes

EXAMPLES = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
ODD_TEXTS = (
    "",
    "\u00b2",
    "\ud800",
    "9" * 400,
    "0.0.0.0",
    "127.0.0.1:99999",
    "a\r\nb",
    "x" * 300,
)
ODD_NUMBERS = (
    -1,
    0,
    2**31,
    2**53,
    2**63 - 1,
    2**63,
    2**70,
    10**400,
    -(10**400),
    0.5,
    1e308,
    float("inf"),
    float("-inf"),
    float("nan"),
)
# As an odd number is written only in the text of a document.
RAW_DOCUMENTS = (
    b"",
    b"\xff\xfe",
    b"1e400",
    b"[" * 100_000,
    b"[" * 900 + b"]" * 900,
    b'{"a":' * 900 + b"1" + b"}" * 900,
    b'{"slots":' + b"9" * 5_000 + b"}",
)
LEAVES = (
    strategies.sampled_from(ODD_TEXTS)
    | strategies.sampled_from(ODD_NUMBERS)
    | strategies.none()
    | strategies.booleans()
    | strategies.text(max_size=20)
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=8,
)
ENTRY = {
    "service": "s",
    "address": "1.2.3.4:5",
    "zone": "d",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 1_700_000_000_000,
    "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 0},
    "labels": ["a", "r1"],
}
RUNS = {
    "clock_ms": 5,
    "born": 7,
    "reason": "fence",
    "running": [["0123456789abcdef.0.0.1", 2, "", 100, 5]],
    "finished": [[1, "0123456789abcdef.0.0.2", 1, "done", ""]],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/p/",
            "timeout_ms": 1_500,
            "target_duration_ms": 60,
            "priority": 0,
            "service": "s",
            "max_attempts": 3,
            "stretch": 1.6,
        }
    ],
    "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144},
}
JOB = {
    "spec": "text",
    "best_effort": True,
    "steps": [
        {
            "count": 2,
            "cpu": 100,
            "mem_mb": 5,
            "estimate_ms": 60,
            "required_label": "a",
            "affinity": "r1",
            "max_per_server": 2,
        }
    ],
}
ROWS = {
    "rows": [
        {
            "table": "servers",
            "part": "",
            "key": "i-1",
            "value": base64.b64encode(b"{}").decode(),
            "ver": 3,
        }
    ],
    "ver": 4,
}


def _paths(value: Any) -> list[tuple[Any, ...]]:
    """Returns the path of each value in a document, and of the whole."""
    children: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        children = list(value.items())
    elif isinstance(value, list):
        children = list(enumerate(value))
    return [()] + [
        (key, *path) for key, child in children for path in _paths(child)
    ]


def _replaced(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = _replaced(value[path[0]], path[1:], new)
    return copy


def _documents(valid: Any) -> strategies.SearchStrategy[bytes]:
    """Yields documents in which one value or more is odd."""
    edits = strategies.lists(
        strategies.tuples(strategies.sampled_from(_paths(valid)), VALUES),
        min_size=1,
        max_size=2,
    )

    def edit(edited: list[tuple[tuple[Any, ...], Any]]) -> bytes:
        document = valid
        for path, new in edited:
            if path in _paths(document):
                document = _replaced(document, path, new)
        return json.dumps(document).encode()

    return edits.map(edit) | strategies.sampled_from(RAW_DOCUMENTS)


def _response(body: bytes, status: int = 200) -> http_types.HttpResponse:
    return http_types.HttpResponse(status, body)


def _assert_sendable(value: object) -> None:
    """Checks that a decoded value can be told to another host."""
    match value:
        case upstreams.ListedUpstream(upstream=upstream):
            message = peer_messages.ListedUpstreams((upstream,))
            decoded = codec.MESSAGES.decode(codec.MESSAGES.encode(message))
            assert decoded.unwrap() == message
            assert addresses.is_address(upstream.address)
        case model.RunList():
            for key in (*value.running, *(end.key for end in value.ended)):
                key.task.job.encode()


class OddInputTest(unittest.TestCase):
    def fuzz(self, valid: Any, decode: Callable[[bytes], object]) -> None:
        def check(document: bytes) -> None:
            try:
                decoded = decode(document)
            except (
                fields.WrongFormatError,
                jobs.ShapeNotServedError,
                store.StoreUnavailable,
            ) as error:
                self.assertTrue(str(error))
                str(error).encode()
                return
            _assert_sendable(decoded)

        decode(json.dumps(valid).encode())
        for path in _paths(valid):
            for odd in (*ODD_TEXTS, *ODD_NUMBERS, None, [], {}, [[]]):
                check(json.dumps(_replaced(valid, path, odd)).encode())
        EXAMPLES(hypothesis.given(_documents(valid))(check))()

    def test_entry_of_the_list_of_upstreams(self) -> None:
        self.fuzz(ENTRY, lambda data: upstreams.decode_upstream("i-1", data))

    def test_key_of_an_entry(self) -> None:
        data = json.dumps(ENTRY).encode()
        for key in ("", "a b", "a\r\nb", "\ud800", "\u00e4", "a\x00"):
            with self.assertRaises(fields.WrongFormatError):
                upstreams.decode_upstream(key, data)

    def test_list_of_runs(self) -> None:
        self.fuzz(RUNS, lambda data: upstreams.decode_run_list(_response(data)))

    def test_other_answers_of_an_upstream(self) -> None:
        self.fuzz(RUNS, lambda data: upstreams.decode_clock(_response(data)))
        self.fuzz(RUNS, lambda data: upstreams.decode_instance(_response(data)))
        for status in (200, 400, 409, 421, 429, 500, 503):
            self.fuzz(
                RUNS,
                lambda data, status=status: upstreams.decode_rejection(
                    _response(data, status)
                ),
            )

    def test_configuration(self) -> None:
        self.fuzz(CONFIGURATION, configuration.decode)

    def test_evacuation(self) -> None:
        self.fuzz({}, lambda data: evacuations.decode_row("evacuate/d", data))

    def test_host(self) -> None:
        self.fuzz(
            {"domain": "d"}, lambda data: hosts.decode_host("1.2.3.4:5", data)
        )
        for key in ("", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "h:1"):
            with self.assertRaises(fields.WrongFormatError):
                hosts.decode_host(key, b'{"domain": "d"}')

    def test_job_of_a_caller(self) -> None:
        route = configuration.decode(json.dumps(CONFIGURATION).encode())
        (only,) = route.routes["h"]
        name = model.JobName("0123456789abcdef")
        self.fuzz(JOB, lambda data: jobs.decode(name, data, only))

    def test_rows_of_the_store(self) -> None:
        def decode(data: bytes) -> object:
            values = store._parse_response(_response(data))
            return store._decode_rows(values), store._decode_version(values)

        self.fuzz(ROWS, decode)

    def test_bytes_of_a_message(self) -> None:
        recorded = [
            bytes.fromhex(row)
            for rows in test_wire_bytes.RECORDED["messages"].values()
            for row in rows
        ]

        @EXAMPLES
        @hypothesis.given(
            strategies.sampled_from(recorded),
            strategies.integers(0, 10_000),
            strategies.binary(max_size=12),
        )
        def check(data: bytes, position: int, odd: bytes) -> None:
            cut = position % len(data)
            codec.MESSAGES.decode(data[:cut] + odd + data[cut + len(odd) :])

        check()

    def test_number_that_fits_into_no_float_is_no_field_of_a_message(
        self,
    ) -> None:
        bignum = b"\xc2\x58\xff" + b"\xff" * 255
        result = codec.MESSAGES.decode(
            b"\x83\x03\x69cell_load\x83" + bignum + b"\x00\x00"
        )
        problem = result.failure().problem
        self.assertIs(problem, codec.CodecProblem.WRONG_FIELDS)


class AddressTest(unittest.TestCase):
    def test_sound_addresses(self) -> None:
        self.assertEqual(addresses.parse("127.0.0.1:1").port, 1)
        self.assertEqual(addresses.parse("[::1]:65535").ip, "::1")

    def test_what_can_not_be_called_is_none(self) -> None:
        for text in (
            "127.0.0.1:65536",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:+1",
            "127.0.0.1: 1",
            "127.0.0.1:1_0",
            "127.0.0.1:" + "9" * 5_000,
            "127.0.0.1:\u0661",
            "127.0.0.1",
            "[::1:80",
            "example.com:80",
            "\ud800:80",
            "",
        ):
            self.assertFalse(addresses.is_address(text), text)


if __name__ == "__main__":
    unittest.main()
