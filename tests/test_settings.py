"""Tests of settings files, of workspace files and of their problems."""

import hashlib
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from returns.result import Failure

from godwitnotch import checked_yaml
from godwitnotch import deployment
from godwitnotch import settings
from godwitnotch import settings_file
from godwitnotch import workspace_file

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SECRET = "s" * 32
ENVIRONMENT = {"SECRET": SECRET, "TOKEN": "operator-token"}
VALID = """\
host: h1
domain: d1
listen:
  callers: 127.0.0.1:8080
  peers: "[::1]:0"
platform: 127.0.0.1:9000
secret: {environment: SECRET}
operator_token: {environment: TOKEN}
"""
WORKSPACE = """\
workspace: acme
token_sha256: %s
templates:
  check: {path: /check}
""" % ("a" * 64)


def _problems(
    text: str, environment: dict[str, str] | None = None
) -> list[checked_yaml.Problem]:
    parsed = settings_file.parse(
        text,
        source="host.yaml",
        environment=ENVIRONMENT if environment is None else environment,
    )
    assert isinstance(parsed, Failure), parsed
    return list(parsed.failure().problems)


def _locations(
    problems: list[checked_yaml.Problem],
) -> list[tuple[object, str]]:
    return [(problem.line, problem.key) for problem in problems]


class HostSettingsTest(unittest.TestCase):
    def parse(self, text: str) -> settings.HostSettings:
        return settings_file.parse(
            text, source="host.yaml", environment=ENVIRONMENT
        ).unwrap()

    def test_a_valid_file_is_read(self) -> None:
        parsed = self.parse(VALID)
        self.assertEqual(parsed.callers, settings.Address("127.0.0.1", 8080))
        self.assertEqual(str(parsed.peers), "[::1]:0")
        self.assertEqual(parsed.secret, SECRET.encode())
        self.assertEqual(
            parsed.operator_token_sha256,
            hashlib.sha256(b"operator-token").hexdigest(),
        )
        self.assertEqual(parsed.limits, settings.Limits())

    def test_a_file_without_limits_gets_the_defaults_of_the_code(self) -> None:
        self.assertEqual(
            self.parse(VALID + "limits: {}\n").limits, settings.Limits()
        )

    def test_limits_of_the_core_are_read(self) -> None:
        parsed = self.parse(VALID + "limits: {answer_keep_s: 5}\n")
        self.assertEqual(parsed.limits.host.answer_keep_s, 5.0)
        self.assertIn("answer_keep_s: 5.0", settings_file.show(parsed))

    def test_all_problems_are_reported_with_their_lines(self) -> None:
        text = VALID.replace("127.0.0.1:8080", "localhost:8080")
        text = text.replace("domain: d1", "domain: D1")
        text += "limits:\n  drain_timeout_s: 0\n  max_conections: 5\n"
        text += "log: {level: loud}\n"
        self.assertEqual(
            _locations(_problems(text)),
            [
                (2, "domain"),
                (4, "listen.callers"),
                (10, "limits.drain_timeout_s"),
                (11, "limits.max_conections"),
                (12, "log.level"),
            ],
        )

    def test_a_problem_names_the_value_found_and_the_remedy(self) -> None:
        (problem,) = _problems(VALID.replace("host: h1", "host: -h1"))
        self.assertEqual(
            str(problem),
            "host.yaml:1: host: found '-h1'; allowed: name of this host: 1 to "
            "63 lower case letters, digits and hyphens, no hyphen first; "
            "remedy: give an allowed value, for example 'lucerne-1'",
        )

    def test_an_unknown_key_is_reported_with_the_nearest_known(self) -> None:
        (problem,) = _problems(VALID + "polcy: uniform\n")
        self.assertEqual(problem.remedy, "write 'policy'")
        (problem,) = _problems(VALID + "zzz: 1\n")
        self.assertEqual(problem.remedy, "remove it")

    def test_a_missing_key_is_reported_at_its_section(self) -> None:
        (problem,) = _problems(VALID.replace('  peers: "[::1]:0"\n', ""))
        self.assertEqual((problem.line, problem.key), (3, "listen.peers"))
        self.assertIn("add the key, for example", problem.remedy)

    def test_a_repeated_key_is_rejected(self) -> None:
        (problem,) = _problems(VALID + "host: h2\n")
        self.assertEqual((problem.line, problem.key), (9, "host"))

    def test_an_unknown_policy_is_reported_with_the_registered_ones(
        self,
    ) -> None:
        (problem,) = _problems(VALID + "policy: fastest\n")
        self.assertIn("uniform", problem.allowed)

    def test_secrets_are_never_shown(self) -> None:
        secret = "hunter2-hunter2-hunter2-hunter2!"
        texts = [
            VALID.replace("{environment: SECRET}", secret),
            VALID.replace("{environment: TOKEN}", f"{{sha256: {secret}}}"),
            VALID.replace("{environment: SECRET}", f"[{secret}]"),
        ]
        for text in texts:
            for problem in _problems(text):
                self.assertNotIn("hunter2", str(problem))
        parsed = self.parse(VALID)
        self.assertNotIn(SECRET, settings_file.show(parsed) + repr(parsed))

    def test_missing_and_short_secrets_are_reported(self) -> None:
        self.assertEqual(
            _locations(_problems(VALID, {})),
            [
                (None, "secret.environment"),
                (None, "operator_token.environment"),
            ],
        )
        (problem,) = _problems(VALID, {**ENVIRONMENT, "SECRET": "short"})
        self.assertIn("5 bytes", problem.found)
        (problem,) = _problems(
            VALID.replace("environment: SECRET", "file: /nonexistent")
        )
        self.assertEqual(problem.key, "secret.file")

    def test_two_sources_of_a_secret_are_rejected(self) -> None:
        (problem,) = _problems(
            VALID.replace("environment: SECRET", "environment: A, file: /b")
        )
        self.assertIn("exactly one", problem.allowed)

    def test_a_text_that_is_no_settings_file_is_reported(self) -> None:
        for text in ("", "[1]", "a: [", "\x00", "a: &a [*a]", "--- 1\n--- 2"):
            with self.subTest(text=text):
                self.assertTrue(_problems(text))

    def test_an_unreadable_file_is_reported(self) -> None:
        loaded = settings_file.load(pathlib.Path("/nonexistent/host.yaml"))
        self.assertIn("nonexistent", str(loaded.failure()))

    @hypothesis_settings(derandomize=True, deadline=None)
    @given(strategies.text(max_size=200))
    def test_no_text_raises(self, text: str) -> None:
        parsed = settings_file.parse(text, source="x", environment={})
        self.assertIsInstance(parsed, Failure)

    def test_addresses_are_ip_numbers_with_ports(self) -> None:
        for text in (
            "1.2.3.4",
            "h:1",
            "::1:80",
            "[1.2.3.4]:1",
            "1.2.3.4:65536",
        ):
            with self.subTest(text=text), self.assertRaises(ValueError):
                settings.parse_address(text)


class DeploymentTest(unittest.TestCase):
    def check(self, text: str, secret: str = SECRET) -> list[str]:
        hosts = {
            name: settings_file.parse(
                file, source=name, environment={**ENVIRONMENT, "SECRET": key}
            ).unwrap()
            for name, file, key in (("a", VALID, SECRET), ("b", text, secret))
        }
        problems = deployment.check(hosts)
        self.assertNotIn(secret, str(problems))
        return [f"{problem.source} {problem.key}" for problem in problems]

    def test_consistent_hosts_have_no_problems(self) -> None:
        text = VALID.replace("h1", "h2").replace("8080", "8090")
        self.assertEqual(self.check(text), [])

    def test_duplicate_and_differing_settings_are_reported(self) -> None:
        text = VALID.replace("9000", "9001").replace("h1", "h2")
        self.assertEqual(
            self.check(text, "t" * 32),
            ["b listen.callers", "b secret", "b platform"],
        )
        text = VALID.replace("8080", "8090")
        self.assertEqual(self.check(text), ["b host"])


class WorkspaceFileTest(unittest.TestCase):
    def check(self, text: str) -> list[checked_yaml.Problem]:
        checked = checked_yaml.validate_text(
            text, workspace_file.WorkspaceDocument, source="acme.yaml"
        )
        assert isinstance(checked, Failure), checked
        return list(checked.failure().problems)

    def test_settings_survive_a_round_trip(self) -> None:
        document = checked_yaml.validate_text(
            WORKSPACE, workspace_file.WorkspaceDocument, source="acme.yaml"
        ).unwrap()
        config = workspace_file.to_config(document, version=4)
        again = workspace_file.validate_json(
            workspace_file.to_json(config), source="request"
        ).unwrap()
        self.assertEqual(workspace_file.to_config(again, version=4), config)

    def test_problems_in_templates_are_reported_with_their_lines(self) -> None:
        text = WORKSPACE + (
            "  slow:\n    path: no-slash\n    upstreams: [w1, W2]\n"
            "    max_wait_s: 601\n    idempotnt: true\n  Bad Name: {path: /}\n"
        )
        self.assertEqual(
            _locations(self.check(text)),
            [
                (6, "templates.slow.path"),
                (7, "templates.slow.upstreams.1"),
                (8, "templates.slow.max_wait_s"),
                (9, "templates.slow.idempotnt"),
                (10, "templates.Bad Name"),
            ],
        )

    def test_a_string_is_not_accepted_as_a_number(self) -> None:
        (problem,) = self.check(WORKSPACE + 'max_running_tasks: "5"\n')
        self.assertEqual(problem.found, "'5'")

    def test_a_difference_shows_both_sides(self) -> None:
        shown = workspace_file.unified_diff(
            {"a": 1}, {"a": 2}, old_name="old", new_name="new"
        )
        self.assertIn("-a: 1\n+a: 2\n", shown)


class ExamplesTest(unittest.TestCase):
    def test_host_settings_load(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for name in ("godwitnotch", "godwitnotch-operator"):
                pathlib.Path(folder, name).write_text(SECRET + "\n")
            files = sorted(EXAMPLES.glob("*/host*.yaml"))
            self.assertEqual(len(files), 2)
            for file in files:
                text = file.read_text().replace("/run/secrets", folder)
                environment = {"GODWITNOTCH_SECRET": SECRET}
                with self.subTest(file=file):
                    settings_file.parse(
                        text, source=str(file), environment=environment
                    ).unwrap()

    def test_workspaces_load(self) -> None:
        files = set(EXAMPLES.glob("*/*.yaml")) - set(
            EXAMPLES.glob("*/host*.yaml")
        )
        self.assertEqual(len(files), 2)
        for file in files:
            with self.subTest(file=file):
                workspace_file.load(file).unwrap()
