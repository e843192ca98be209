"""Tests that the documentation matches the code."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import unittest
from typing import Any

from godwitnotch.core import model
from godwitnotch.net import http_types
from godwitnotch.net import peer_link
from tests import serving

ROOT = pathlib.Path(__file__).parent.parent
CALLERS = (ROOT / "docs" / "callers.md").read_text()
REASONS = (ROOT / "docs" / "operators" / "reasons.md").read_text()
EVENTS = (ROOT / "docs" / "operators" / "events.md").read_text()
JOB = {"template": "t", "tasks": [1]}

# Ends the processes that the page starts by their ids. The host ends first,
# since it needs the platform while it drains.
_TRIAL_SETUP = """
set -e
trap 'kill $!; wait $!; kill $(jobs -p); wait' EXIT
"""
_TRIAL_PORTS = ("9101", "9000", "8080", "8081")

# Matches calls that log or note an event under a literal name.
_EVENT_CALL = re.compile(
    r'(?:\.event|[nN]ote|_note_attempt)\(\s*"([a-z_]+)"|"event": "([a-z_]+)"'
)


def _run_example() -> dict[str, Any]:
    """Runs the Python example of the callers' page; returns its globals."""
    (code,) = re.findall(r"```python\n(.*?)```", CALLERS, re.DOTALL)
    names: dict[str, Any] = {}
    exec(code, names)
    return names


def _with_free_ports(text: str) -> str:
    """Returns the text of the page with its ports replaced by free ports."""
    with contextlib.ExitStack() as stack:
        for port in _TRIAL_PORTS:
            probe = stack.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            text = text.replace(f":{port}", f":{probe.getsockname()[1]}")
    return text


class CallersExampleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers: list[dict[str, object] | None] = []
        self.paths: list[str] = []
        self.address = self.enterContext(serving.serving(self.handle))
        self.names = _run_example()

    async def handle(
        self, request: http_types.HttpRequest
    ) -> http_types.HttpResponse:
        if request.path.endswith("/reservations"):
            return http_types.HttpResponse(201, b'{"ids": ["a.b"]}')
        self.paths.append(request.path)
        answer = self.answers.pop(0)
        if answer is None:
            return http_types.HttpResponse(502, b"<html>")
        await asyncio.sleep(0)
        return http_types.HttpResponse(200, json.dumps(answer).encode())

    def run_job(self) -> Any:
        return self.names["run_job"](
            [self.address], "acme", "t", JOB, attempts=3, pause_s=0.0
        )

    def test_it_retries_under_the_same_id_until_the_answer_is_known(
        self,
    ) -> None:
        self.answers = [
            None,
            {"outcome": "refused", "retry_after_s": 0.0},
            {"outcome": "complete", "results": [1]},
        ]
        self.assertEqual(self.run_job()["results"], [1])
        self.assertEqual(self.paths, ["/v1/acme/jobs/a.b"] * 3)

    def test_it_returns_a_failed_job_without_a_retry(self) -> None:
        self.answers = [{"outcome": "failed"}]
        self.assertEqual(self.run_job()["outcome"], "failed")

    def test_it_raises_an_error_when_the_outcome_stays_unknown(self) -> None:
        self.answers = [{"outcome": "unknown"}] * 3
        with self.assertRaises(self.names["NotKnown"]):
            self.run_job()


class InstallPageTest(unittest.TestCase):
    def test_the_commands_of_the_trial_complete_a_job(self) -> None:
        page = (ROOT / "docs" / "operators" / "install.md").read_text()
        trial = page.split("## A trial on one machine")[1]
        trial = _with_free_ports(trial.split("## In production")[0])
        lines = re.findall(r"(?m)^    (.*)$", trial)
        with tempfile.TemporaryDirectory() as folder:
            command = pathlib.Path(folder, "godwitnotch")
            command.write_text(
                f'#!/bin/sh\nexec {sys.executable} -m godwitnotch "$@"\n'
            )
            command.chmod(0o755)
            path = f"{folder}:{pathlib.Path(sys.executable).parent}"
            completed = subprocess.run(
                ["bash", "-c", "\n".join((_TRIAL_SETUP, *lines))],
                cwd=folder,
                env={
                    "PATH": f"{path}:{os.environ['PATH']}",
                    "PYTHONPATH": str(ROOT),
                },
                capture_output=True,
                text=True,
                timeout=60,
            )
        output = completed.stdout + completed.stderr
        self.assertEqual(completed.returncode, 0, output)
        self.assertIn("outcome=complete ran=something answers=2", output)


class ListsTest(unittest.TestCase):
    def test_the_reasons_page_lists_every_reason(self) -> None:
        for value in (*model.Reason, *model.AttemptOutcome):
            with self.subTest(value=value):
                self.assertRegex(REASONS, rf"(?m)^\| `{value.value}` \|")

    def test_the_callers_page_lists_every_outcome(self) -> None:
        for outcome in model.Outcome:
            self.assertRegex(CALLERS, rf"(?m)^\| `{outcome.value}` \|")

    def test_the_events_page_lists_every_event(self) -> None:
        named = set()
        for file in (ROOT / "godwitnotch").rglob("*.py"):
            for match in _EVENT_CALL.finditer(file.read_text()):
                named.add(match[1] or match[2])
        self.assertGreater(len(named), 20)
        for name in sorted(named):
            with self.subTest(name=name):
                self.assertIn(f"| `{name}` |", EVENTS)

    def test_the_events_page_lists_every_end_of_a_link(self) -> None:
        for end in peer_link.LinkEndReason:
            self.assertIn(f"`peer_link_{end.value}`", EVENTS)
