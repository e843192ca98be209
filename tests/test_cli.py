"""Tests of the command line against a host with a fake runtime."""

import hashlib
import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

import typer.main
import typer.testing

from godwitnotch import cli
from godwitnotch import event_ring
from godwitnotch import metrics
from godwitnotch import workspace_file
from godwitnotch.commands import options
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import caller_api
from godwitnotch.net import http_types
from godwitnotch.net import runtime_port
from tests import fake_port
from tests import serving

ACME = ids.WorkspaceId("acme")
SUBMISSION = ids.SubmissionId("d1.h1.0a.7.tag")
ENVIRONMENT = {
    options.TOKEN_VARIABLE: "secret-a",
    options.OPERATOR_TOKEN_VARIABLE: "secret-op",
    "COLUMNS": "200",
}


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        template = model.Template(ids.TemplateName("check"), "/check")
        config = model.WorkspaceConfig(
            ACME, 3, {template.name: template}, _sha256("secret-a")
        )
        self.port = fake_port.FakePort({ACME: config})
        self.ring = event_ring.EventRing(max_notes=10)
        api = caller_api.CallerApi(
            self.port,
            operator_token_sha256=_sha256("secret-op"),
            counts=metrics.Metrics(),
            ring=self.ring,
        )
        self.address = self.enterContext(serving.serving(api.handle))
        self.folder = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )
        self.enterContext(mock.patch.dict(os.environ, ENVIRONMENT))

    def invoke(self, *arguments: str) -> typer.testing.Result:
        return typer.testing.CliRunner().invoke(cli.app, list(arguments))

    def call_host(self, *arguments: str) -> typer.testing.Result:
        return self.invoke(*arguments, "--host", self.address)

    def call_as_caller(self, *arguments: str) -> typer.testing.Result:
        return self.call_host(*arguments, "--workspace", "acme")

    def set_answer(
        self, outcome: model.Outcome, reason: model.Reason | None = None
    ) -> None:
        results = (b"1",) if outcome is model.Outcome.COMPLETE else ()
        self.port.answer = fake_port.reply_with(
            model.JobAnswer(
                SUBMISSION, outcome, model.Ran.NOTHING, reason, "", results
            )
        )

    def write(self, name: str, text: str) -> str:
        file = self.folder / name
        file.write_text(text)
        return str(file)


class CallerCommandsTest(CommandTest):
    def submit(self, *more: str) -> typer.testing.Result:
        tasks = self.write("tasks.json", "[1]")
        return self.call_as_caller(
            "submit", "--template", "check", "--tasks", tasks, *more
        )

    def test_reserve_prints_one_id_per_line(self) -> None:
        self.port.answer = actions.ReplyReserved(
            fake_port.CALL, (SUBMISSION, SUBMISSION), 600.0
        )
        result = self.call_as_caller("reserve", "--count", "2")
        self.assertEqual(result.stdout, f"{SUBMISSION}\n{SUBMISSION}\n")

    def test_submit_under_an_id_prints_the_answer(self) -> None:
        self.set_answer(model.Outcome.COMPLETE)
        result = self.submit("--id", SUBMISSION)
        self.assertEqual(result.exit_code, 0)
        self.assertEqual(json.loads(result.stdout)["results"], [1])
        self.assertIn("outcome=complete ran=nothing answers=1", result.stderr)

    def test_submit_under_a_key_sends_it(self) -> None:
        self.set_answer(model.Outcome.COMPLETE)
        self.submit("--key", "order-7", "--timeout-ms", "2000")
        (event,) = self.port.events
        assert isinstance(event, events.KeyedSubmitAsked)
        self.assertEqual(event.key, "order-7")
        self.assertEqual(event.deadline, 102.0)

    def test_outcomes_have_their_own_exit_codes(self) -> None:
        for outcome, code in (
            (model.Outcome.REFUSED, options.ExitCode.REFUSED),
            (model.Outcome.FAILED, options.ExitCode.FAILED),
            (model.Outcome.UNKNOWN, options.ExitCode.UNKNOWN),
        ):
            with self.subTest(outcome=outcome):
                self.set_answer(outcome, model.Reason.CANCELLED)
                result = self.submit("--id", SUBMISSION)
                self.assertEqual(result.exit_code, code)
                result = self.call_as_caller("status", SUBMISSION)
                self.assertEqual(result.exit_code, code)

    def test_no_answer_is_reported_as_an_unknown_effect(self) -> None:
        unused = "127.0.0.1:1"
        result = self.invoke(
            "status", SUBMISSION, "--workspace", "acme", "--host", unused
        )
        self.assertEqual(result.exit_code, options.ExitCode.UNREACHABLE)
        self.assertIn("effect is not known", result.stderr)

    def test_the_next_host_is_asked_when_a_host_gives_no_answer(self) -> None:
        self.set_answer(model.Outcome.COMPLETE)
        result = self.invoke(
            "status",
            SUBMISSION,
            "--workspace",
            "acme",
            "--host",
            "127.0.0.1:1",
            "--host",
            self.address,
        )
        self.assertEqual(result.exit_code, 0, result.output)

    def test_the_next_host_is_asked_when_a_host_is_draining(self) -> None:
        self.set_answer(model.Outcome.REFUSED, model.Reason.DRAINING)
        result = self.submit("--id", SUBMISSION, "--host", self.address)
        self.assertEqual(len(self.port.events), 2)
        self.assertEqual(result.exit_code, options.ExitCode.REFUSED)

    def test_a_refusal_while_draining_does_not_hide_an_unreachable_host(
        self,
    ) -> None:
        self.set_answer(model.Outcome.REFUSED, model.Reason.DRAINING)
        result = self.submit("--id", SUBMISSION, "--host", "127.0.0.1:1")
        self.assertEqual(result.exit_code, options.ExitCode.UNREACHABLE)
        self.assertIn("effect is not known", result.stderr)

    def test_a_missing_token_is_reported(self) -> None:
        del os.environ[options.TOKEN_VARIABLE]
        result = self.call_as_caller("status", SUBMISSION)
        self.assertEqual(result.exit_code, options.ExitCode.USAGE)
        self.assertIn(options.TOKEN_VARIABLE, result.stderr)

    def test_a_token_that_is_invalid_in_a_header_is_reported(self) -> None:
        for token in ("sécret", "two\nlines"):
            os.environ[options.TOKEN_VARIABLE] = token
            result = self.call_as_caller("status", SUBMISSION)
            self.assertEqual(result.exit_code, options.ExitCode.USAGE)

    def test_a_wrong_token_is_refused(self) -> None:
        token = self.write("token", "wrong\n")
        result = self.call_as_caller(
            "status", SUBMISSION, "--token-file", token
        )
        self.assertEqual(result.exit_code, options.ExitCode.REFUSED)
        self.assertIn("unauthorized", result.stdout)

    def test_invalid_usage_sends_nothing(self) -> None:
        for more in (("--id", "a", "--key", "b"), ("--tasks", "/nonexistent")):
            result = self.submit(*more)
            self.assertEqual(result.exit_code, options.ExitCode.USAGE)
        self.assertEqual(self.port.events, [])


class WorkspaceCommandsTest(CommandTest):
    def setUp(self) -> None:
        super().setUp()
        self.document = workspace_file.to_json(self.port.configs[ACME])
        self.document["max_running_tasks"] = 7

    def put(self, *more: str) -> typer.testing.Result:
        file = self.write("acme.yaml", workspace_file.to_yaml(self.document))
        return self.call_host("workspace", "put", file, *more)

    def set_reply(
        self,
        recorded: bool | None,
        *,
        current: model.WorkspaceConfig | None = None,
        lagging: tuple[str, ...] = (),
    ) -> None:
        hosts = tuple(ids.HostId(name) for name in lagging)
        self.port.answer = actions.ReplyConfig(
            fake_port.CALL, recorded, current, hosts, "because"
        )

    def test_a_dry_run_shows_the_change_and_sends_nothing(self) -> None:
        result = self.put("--dry-run")
        self.assertIn(
            "-max_running_tasks: 1000\n+max_running_tasks: 7\n", result.stdout
        )
        self.assertEqual(self.port.events, [])

    def test_upstreams_that_the_platform_does_not_list_cause_warnings(
        self,
    ) -> None:
        self.port.upstreams = (
            runtime_port.UpstreamStatus(
                ids.UpstreamId("w01"), ids.DomainId("d1"), 8, 0, False
            ),
        )
        self.document["templates"]["check"]["upstreams"] = ["w01", "w1"]
        result = self.put("--dry-run")
        self.assertEqual(result.stderr.count("warning:"), 1)
        self.assertIn("'w1'", result.stderr)
        self.assertIn("did you mean 'w01'?", result.stderr)

    def test_the_output_of_get_can_be_put_without_a_change(self) -> None:
        document = self.call_host("workspace", "get", "acme").stdout
        file = self.write("acme.yaml", document)
        result = self.call_host("workspace", "put", file)
        self.assertEqual(result.stdout, "no change\n")

    def test_a_put_waits_until_in_force(self) -> None:
        self.set_reply(True)
        result = self.put()
        self.assertIn("state=in_force version=4", result.stdout)

    def test_lagging_hosts_are_named_with_an_exit_code(self) -> None:
        self.set_reply(True, lagging=("h2", "h3"))
        result = self.put()
        self.assertIn("state=recorded version=4 lagging=h2,h3", result.stdout)
        self.assertEqual(result.exit_code, options.ExitCode.NOT_IN_FORCE)

    def test_a_conflict_shows_what_the_other_operator_changed(self) -> None:
        old = self.port.configs[ACME]
        changed = model.WorkspaceConfig(
            ACME, 4, old.templates, old.token_sha256, 1_000, 55
        )
        self.set_reply(False, current=changed)
        result = self.put()
        self.assertIn("-max_queued_tasks: 10000", result.stderr)
        self.assertIn("+max_queued_tasks: 55", result.stderr)
        self.assertIn("--version 4", result.stderr)
        self.assertEqual(result.exit_code, options.ExitCode.REFUSED)

    def test_an_unknown_write_result_is_reported(self) -> None:
        self.set_reply(None)
        self.assertEqual(self.put().exit_code, options.ExitCode.UNKNOWN)

    def test_problems_of_the_file_are_reported_before_anything_is_sent(
        self,
    ) -> None:
        self.document["max_running_tasks"] = 0
        result = self.put()
        self.assertEqual(result.exit_code, options.ExitCode.USAGE)
        self.assertIn("max_running_tasks: found 0", result.stderr)
        self.assertEqual(self.port.events, [])

    def test_list_prints_the_versions(self) -> None:
        result = self.call_host("workspace", "list")
        self.assertEqual(result.stdout, "workspace=acme version=3\n")


class OperatorCommandsTest(CommandTest):
    def test_drain_sets_a_deadline(self) -> None:
        result = self.call_host("host", "drain", "--timeout", "7")
        self.assertEqual(result.stdout, "state=draining timeout_s=7\n")
        self.assertEqual(self.port.drain_deadline, 107.0)

    def test_explain_sorts_the_events_of_several_hosts(self) -> None:
        for name, time in (("job_ended", 99.0), ("job_admitted", 98.0)):
            self.ring.add(actions.Note(name, SUBMISSION), now=time)
        result = self.call_host("explain", SUBMISSION, "--host", self.address)
        events_shown = [
            line.rsplit("event=", 1)[1] for line in result.stdout.splitlines()
        ]
        self.assertEqual(
            events_shown,
            ["job_admitted", "job_admitted", "job_ended", "job_ended"],
        )

    def test_explain_names_hosts_that_gave_no_answer(self) -> None:
        result = self.call_host("explain", SUBMISSION, "--host", "127.0.0.1:1")
        self.assertIn("host 127.0.0.1:1 gave no answer", result.stderr)
        self.assertEqual(result.exit_code, options.ExitCode.UNREACHABLE)

    def test_top_shows_hosts_that_answer_and_those_that_do_not(self) -> None:
        result = self.call_host(
            "top", "--host", "127.0.0.1:1", "--updates", "1"
        )
        self.assertRegex(result.stdout, r"h1 +│ d1 +│ ready")
        self.assertRegex(result.stdout, r"127\.0\.0\.1:1 +│ +│ no answer")

    def test_host_status_is_json(self) -> None:
        result = self.call_host("host", "status")
        self.assertEqual(json.loads(result.stdout)["host"], "h1")


class StandinCommandsTest(CommandTest):
    def test_faults_are_set_without_a_token(self) -> None:
        requests: list[http_types.HttpRequest] = []

        async def handle(
            request: http_types.HttpRequest,
        ) -> http_types.HttpResponse:
            requests.append(request)
            return http_types.HttpResponse(200, request.body)

        with serving.serving(handle) as address:
            result = self.invoke(
                "standin", "faults", address, "down=true", "not_started=full"
            )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(
            json.loads(result.stdout), {"down": True, "not_started": "full"}
        )
        self.assertNotIn("authorization", requests[0].headers)


class SettingsCommandsTest(CommandTest):
    def test_check_prints_every_problem(self) -> None:
        file = self.write("host.yaml", "host: H\ndomian: d\n")
        result = self.invoke("settings", "check", file)
        self.assertEqual(result.exit_code, options.ExitCode.USAGE)
        self.assertIn(f"{file}:1: host: found 'H'", result.stderr)
        self.assertIn("write 'domain'", result.stderr)

    def test_schema_is_json(self) -> None:
        for kind in ("host", "workspace"):
            result = self.invoke("settings", "schema", "--kind", kind)
            self.assertIn("properties", json.loads(result.stdout))


class StartTest(CommandTest):
    def setUp(self) -> None:
        super().setUp()
        os.environ["SECRET"] = "s" * 32

    def run_host(self, callers: str) -> typer.testing.Result:
        file = self.write(
            "host.yaml",
            f"""
            host: h1
            domain: d1
            listen: {{callers: "{callers}", peers: "127.0.0.1:0"}}
            platform: 127.0.0.1:1
            secret: {{environment: SECRET}}
            operator_token: {{environment: SECRET}}
            """,
        )
        return self.invoke("host", "--settings", file)

    def test_an_address_in_use_is_reported_with_the_remedy(self) -> None:
        result = self.run_host(self.address)
        self.assertEqual(result.exit_code, options.ExitCode.FAILED)
        self.assertIn("free the address", result.stderr)

    def test_an_unexpected_failure_is_one_log_line(self) -> None:
        disabled = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, disabled)
        broken = mock.patch("godwitnotch.root.run_host", side_effect=KeyError)
        with broken, self.assertLogs("godwitnotch") as logs:
            result = self.run_host("127.0.0.1:0")
        self.assertEqual(result.exit_code, options.ExitCode.FAILED)
        (record,) = logs.records
        self.assertEqual(record.event, "host_failed")


class HelpTest(unittest.TestCase):
    def test_the_version_is_that_of_the_package(self) -> None:
        text = pathlib.Path("pyproject.toml").read_text()
        version = tomllib.loads(text)["project"]["version"]
        result = typer.testing.CliRunner().invoke(cli.app, ["--version"])
        self.assertEqual(result.stdout, f"godwitnotch {version}\n")

    def test_every_command_has_help_with_an_example(self) -> None:
        commands = list(_commands(typer.main.get_command(cli.app), ()))
        self.assertGreater(len(commands), 15)
        for path, command in commands:
            with self.subTest(command=" ".join(path)):
                self.assertIn("Example: godwitnotch " + path[0], command.help)


class ProcessTest(unittest.TestCase):
    def test_the_demo_is_complete(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "godwitnotch", "demo"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(
            completed.returncode, 0, completed.stdout + completed.stderr
        )
        self.assertRegex(
            completed.stdout.splitlines()[-1],
            r"^outcome=complete tasks=48 answers=48 starts=48 ",
        )

    def test_caller_commands_import_no_host_code(self) -> None:
        script = (
            "import sys; from godwitnotch import cli; "
            "print([name for name in sys.modules if name.startswith("
            "('godwitnotch.core', 'godwitnotch.net', 'websockets', 'h11'))])"
        )
        completed = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(completed.stdout, "[]\n")


def _commands(
    command: Any, path: tuple[str, ...]
) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yields the path, such as ("host", "drain"), of each runnable command."""
    members = getattr(command, "commands", {})
    if not members or getattr(command, "invoke_without_command", False):
        yield path, command
    for name, member in members.items():
        yield from _commands(member, (*path, name))
