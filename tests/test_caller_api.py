"""Tests of the HTTP routes with a fake runtime port."""

import asyncio
import hashlib
import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from godwitnotch import event_ring
from godwitnotch import metrics
from godwitnotch import workspace_file
from godwitnotch.core import actions
from godwitnotch.core import events
from godwitnotch.core import ids
from godwitnotch.core import model
from godwitnotch.net import caller_api
from godwitnotch.net import http_types
from tests import fake_port

ACME = ids.WorkspaceId("acme")
OTHER = ids.WorkspaceId("other")
CHECK = ids.TemplateName("check")
SUBMISSION = ids.SubmissionId("d1.h1.0a.7.tag")
JOB_PATH = f"/v1/acme/jobs/{SUBMISSION}"


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _config(workspace: ids.WorkspaceId, token: str) -> model.WorkspaceConfig:
    template = model.Template(CHECK, "/check", max_wait_s=5.0)
    return model.WorkspaceConfig(
        workspace, 3, {CHECK: template}, _sha256(token)
    )


def _answer(
    outcome: model.Outcome,
    reason: model.Reason | None = None,
    *,
    ran: model.Ran = model.Ran.NOTHING,
    results: tuple[bytes, ...] = (),
    retry_after_s: float | None = None,
) -> actions.Reply:
    return fake_port.reply_with(
        model.JobAnswer(
            SUBMISSION, outcome, ran, reason, "why", results, retry_after_s
        )
    )


class RoutesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.port = fake_port.FakePort(
            {ACME: _config(ACME, "secret-a"), OTHER: _config(OTHER, "secret-o")}
        )
        self.counts = metrics.Metrics()
        self.ring = event_ring.EventRing(max_notes=10)
        self.api = caller_api.CallerApi(
            self.port,
            operator_token_sha256=_sha256("secret-op"),
            counts=self.counts,
            ring=self.ring,
        )

    def send(
        self,
        method: str,
        path: str,
        value: object = None,
        *,
        token: str = "secret-a",
        headers: dict[str, str] | None = None,
        query: dict[str, str] | None = None,
    ) -> http_types.HttpResponse:
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        request = http_types.HttpRequest(
            method,
            path,
            query or {},
            {"authorization": f"Bearer {token}", **(headers or {})},
            body,
        )
        return asyncio.run(self.api.handle(request))

    def send_as_operator(
        self, method: str, path: str, value: object = None, **more: Any
    ) -> http_types.HttpResponse:
        return self.send(method, path, value, token="secret-op", **more)


class CallerRoutesTest(RoutesTest):
    def test_reserve_returns_the_ids(self) -> None:
        self.port.answer = actions.ReplyReserved(
            fake_port.CALL, (SUBMISSION,), 600.0
        )
        response = self.send("POST", "/v1/acme/reservations", {"count": 1})
        self.assertEqual(response.status, 201)
        self.assertEqual(
            json.loads(response.body), {"ids": [SUBMISSION], "open_for_s": 600}
        )

    def test_reserve_with_a_key_passes_the_key_on(self) -> None:
        self.port.answer = actions.ReplyReserved(fake_port.CALL, (), 1.0)
        self.send("POST", "/v1/acme/reservations", {"key": "order-7"})
        self.assertEqual(
            self.port.events,
            [
                events.ReserveAsked(
                    fake_port.CALL, ACME, 1, ids.IdempotencyKey("order-7")
                )
            ],
        )

    def test_submit_passes_on_the_job_with_its_deadline(self) -> None:
        self.port.answer = _answer(
            model.Outcome.COMPLETE, ran=model.Ran.SOMETHING, results=(b"1",)
        )
        tasks = [{"b": 1, "a": 2}, {"payload": "x", "declared_ms": 80}]
        self.send(
            "PUT",
            JOB_PATH,
            {"template": "check", "tasks": tasks, "timeout_ms": 1500},
        )
        body = model.JobBody(
            CHECK,
            (
                model.TaskSpec(b'{"a":2,"b":1}'),
                model.TaskSpec(b'"x"', declared_ms=80.0),
            ),
        )
        self.assertEqual(
            self.port.events,
            [events.SubmitAsked(fake_port.CALL, ACME, SUBMISSION, body, 101.5)],
        )

    def test_no_caller_waits_longer_than_the_template_allows(self) -> None:
        self.port.answer = _answer(model.Outcome.RUNNING)
        for job in ({}, {"timeout_ms": 60_000}):
            value = {"template": "check", "tasks": [1], **job}
            self.send("PUT", JOB_PATH, value)
        deadlines = {event.deadline for event in self.port.events}
        self.assertEqual(deadlines, {105.0})

    def test_results_are_returned_unchanged_and_in_task_order(
        self,
    ) -> None:
        self.port.answer = _answer(
            model.Outcome.COMPLETE, results=(b'{"x": 1.10}', b"null")
        )
        response = self.send("PUT", JOB_PATH, {"template": "c", "tasks": [1]})
        self.assertEqual(response.status, 200)
        self.assertTrue(
            response.body.endswith(b'"results": [{"x": 1.10},null]}')
        )

    def test_a_keyed_job_accepts_its_key_bare_or_quoted(self) -> None:
        self.port.answer = _answer(model.Outcome.RUNNING)
        for key in ("order-7", '"order-7"'):
            response = self.send(
                "POST",
                "/v1/acme/jobs",
                {"template": "check", "tasks": [1]},
                headers={"idempotency-key": key},
            )
            self.assertEqual(response.status, 202)
        keys = {event.key for event in self.port.events}
        self.assertEqual(keys, {"order-7"})

    def test_a_keyed_job_without_a_key_is_refused_with_a_remedy(self) -> None:
        response = self.send(
            "POST", "/v1/acme/jobs", {"template": "check", "tasks": [1]}
        )
        self.assertEqual(response.status, 400)
        self.assertIn(b"Idempotency-Key", response.body)
        self.assertEqual(self.port.events, [])

    def test_each_invalid_body_is_refused_before_the_core_is_asked(
        self,
    ) -> None:
        good = {"template": "check", "tasks": [1]}
        bodies: list[object] = [
            b"",
            b"\xff",
            b"[1]",
            b'{"template": "check", "tasks": [NaN]}',
            b'{"template": "check", "tasks": [1e999]}',
            b"[" * 100_000,
            {"tasks": [1]},
            {"template": 7, "tasks": [1]},
            {"template": "check"},
            {"template": "check", "tasks": []},
            {"template": "check", "tasks": [1] * 111},
            {**good, "timeout_ms": 0},
            {**good, "timeout_ms": True},
            {**good, "timeout_ms": "5"},
            {**good, "timeout_ms": 10**400},
            {**good, "timeut_ms": 5},
            {"template": "check", "tasks": [{"payload": 1, "more": 2}]},
            {"template": "check", "tasks": [{"payload": 1, "declared_ms": -1}]},
        ]
        for body in bodies:
            with self.subTest(body=str(body)[:60]):
                response = self.send("PUT", JOB_PATH, body)
                answer = json.loads(response.body)
                self.assertEqual(response.status, 400)
                self.assertEqual(answer["reason"], "bad_request")
                self.assertEqual(answer["ran"], "nothing")
        self.assertEqual(self.port.events, [])

    def test_an_unknown_field_is_answered_with_the_nearest_known(self) -> None:
        job = {"template": "check", "tasks": [1], "timeut_ms": 5}
        response = self.send("PUT", JOB_PATH, job)
        self.assertIn("'timeout_ms'", json.loads(response.body)["detail"])

    def test_invalid_reservations_are_refused(self) -> None:
        for body in ({"count": 0}, {"count": 2, "key": "k"}, {"key": "a b"}):
            with self.subTest(body=body):
                path = "/v1/acme/reservations"
                response = self.send("POST", path, body)
                self.assertEqual(response.status, 400)

    def test_outcomes_map_to_status_codes(self) -> None:
        refused, failed = model.Outcome.REFUSED, model.Outcome.FAILED
        reasons = model.Reason
        expected = {
            (refused, reasons.INVALID_ID): (404, 404),
            (refused, reasons.BODY_MISMATCH): (409, 200),
            (refused, reasons.RESERVATION_EXPIRED): (410, 200),
            (refused, reasons.QUOTA_EXCEEDED): (429, 200),
            (refused, reasons.QUEUE_FULL): (503, 200),
            (refused, reasons.DRAINING): (503, 503),
            (failed, reasons.UPSTREAM_TIMEOUT): (502, 200),
            (failed, reasons.DEADLINE_EXCEEDED): (500, 200),
            (model.Outcome.UNKNOWN, reasons.OWNER_GONE): (504, 504),
        }
        for (outcome, reason), codes in expected.items():
            with self.subTest(outcome=outcome, reason=reason):
                self.port.answer = _answer(outcome, reason)
                job = {"template": "check", "tasks": [1]}
                submit_code = self.send("PUT", JOB_PATH, job).status
                query_code = self.send("GET", JOB_PATH).status
                self.assertEqual((submit_code, query_code), codes)

    def test_a_refusal_gives_the_retry_time_in_whole_seconds(self) -> None:
        self.port.answer = _answer(
            model.Outcome.REFUSED, model.Reason.QUEUE_FULL, retry_after_s=0.2
        )
        response = self.send("PUT", JOB_PATH, {"template": "c", "tasks": [1]})
        self.assertEqual(response.headers["retry-after"], "1")

    def test_cancel_asks_the_core(self) -> None:
        self.port.answer = _answer(model.Outcome.FAILED, model.Reason.CANCELLED)
        response = self.send("DELETE", JOB_PATH)
        self.assertEqual(response.status, 200)
        self.assertEqual(
            self.port.events,
            [events.CancelAsked(fake_port.CALL, ACME, SUBMISSION)],
        )

    def test_answers_are_counted_by_reason(self) -> None:
        self.port.answer = _answer(
            model.Outcome.REFUSED, model.Reason.QUEUE_FULL
        )
        self.send("PUT", JOB_PATH, {"template": "check", "tasks": [1]})
        self.send("PUT", JOB_PATH, {})
        self.assertEqual(
            self.counts.counts_by_reason(),
            {"queue_full": 1, "bad_request": 1},
        )

    def test_a_caller_that_disconnects_cancels_the_wait(self) -> None:
        async def disconnect() -> None:
            request = http_types.HttpRequest(
                "GET", JOB_PATH, {}, {"authorization": "Bearer secret-a"}
            )
            task = asyncio.ensure_future(self.api.handle(request))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(disconnect())
        self.assertTrue(self.port.cancelled)

    def test_an_internal_error_is_answered_as_unknown(self) -> None:
        self.port.answer = ZeroDivisionError()
        response = self.send("GET", JOB_PATH)
        self.assertEqual(response.status, 500)
        self.assertIn(b"can't tell what ran", response.body)


class AnyInputTest(RoutesTest):
    @hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ("template", "tasks", "timeout_ms", "payload", "count")
                    ),
                    inner,
                )
            ),
        )
    )
    def test_every_body_is_a_job_or_a_bad_request(self, value: object) -> None:
        self.port.answer = _answer(model.Outcome.RUNNING)
        for method, path in (
            ("PUT", JOB_PATH),
            ("POST", "/v1/acme/reservations"),
        ):
            response = self.send(method, path, value)
            self.assertIn(response.status, (202, 400))

    @hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.binary(max_size=50), strategies.text(max_size=20))
    def test_no_bytes_and_no_path_are_a_defect(
        self, body: bytes, part: str
    ) -> None:
        self.port.answer = _answer(model.Outcome.RUNNING)
        for method, path, token in (
            ("PUT", JOB_PATH, "secret-a"),
            ("GET", f"/v1/acme/jobs/{part}", "secret-a"),
            ("PUT", f"/v1/workspaces/{part}", "secret-op"),
            ("GET", f"/v1/explain/{part}", "secret-op"),
        ):
            response = self.send(
                method, path, body, token=token, headers={"if-match": "1"}
            )
            self.assertNotEqual(response.status, 500)


class AccessTest(RoutesTest):
    def test_no_other_token_gives_access_to_a_workspace(self) -> None:
        for token in ("secret-o", "secret-op", "", "secret-a2", "é"):
            with self.subTest(token=token):
                response = self.send("GET", JOB_PATH, token=token)
                self.assertEqual(response.status, 401)
                self.assertEqual(response.headers["www-authenticate"], "Bearer")
        self.assertEqual(self.port.events, [])

    def test_an_unknown_workspace_gets_the_response_to_a_wrong_token(
        self,
    ) -> None:
        known = self.send("GET", "/v1/acme/jobs/x", token="no")
        unknown = self.send("GET", "/v1/nobody/jobs/x", token="no")
        self.assertEqual(known, unknown)

    def test_a_workspace_without_a_token_rejects_every_caller(self) -> None:
        self.port.configs = {ACME: model.WorkspaceConfig(ACME, 1)}
        for token in ("", "x"):
            response = self.send("GET", JOB_PATH, token=token)
            self.assertEqual(response.status, 401)

    def test_a_host_without_configuration_refuses_with_a_retry_time(
        self,
    ) -> None:
        self.port.configs = {}
        self.port.ready = False
        response = self.send("GET", JOB_PATH)
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    def test_caller_tokens_reach_no_operator_route(self) -> None:
        for method, path in (
            ("GET", "/v1/workspaces"),
            ("GET", "/v1/workspaces/acme"),
            ("PUT", "/v1/workspaces/acme"),
            ("GET", "/v1/host"),
            ("POST", "/v1/host/drain"),
            ("PUT", "/v1/host/log"),
            ("GET", f"/v1/explain/{SUBMISSION}"),
        ):
            with self.subTest(path=path):
                self.assertEqual(self.send(method, path).status, 401)
        self.assertIsNone(self.port.drain_deadline)

    def test_an_overlong_id_is_refused(self) -> None:
        response = self.send("GET", "/v1/acme/jobs/" + "a" * 500)
        self.assertEqual(response.status, 404)

    def test_unknown_paths_and_methods(self) -> None:
        self.assertEqual(self.send("GET", "/v2").status, 404)
        response = self.send("PATCH", JOB_PATH)
        self.assertEqual(response.status, 405)
        self.assertEqual(response.headers["allow"], "DELETE, GET, PUT")


class OperatorRoutesTest(RoutesTest):
    def setUp(self) -> None:
        super().setUp()
        config = self.port.configs[ACME]
        self.document = workspace_file.to_json(config)

    def put(self, **more: Any) -> http_types.HttpResponse:
        headers = {"if-match": '"3"'}
        path = "/v1/workspaces/acme"
        return self.send_as_operator(
            "PUT", path, self.document, headers=headers, **more
        )

    def test_settings_are_shown_with_their_version(self) -> None:
        response = self.send_as_operator("GET", "/v1/workspaces/acme")
        self.assertEqual(response.headers["etag"], '"3"')
        self.assertEqual(
            json.loads(response.body),
            {"version": 3, "settings": self.document},
        )

    def test_a_put_requests_the_version_after_the_current_one(self) -> None:
        self.port.answer = actions.ReplyConfig(
            fake_port.CALL, True, None, (), ""
        )
        response = self.put(query={"wait_s": "2"})
        self.assertEqual(response.status, 200)
        self.assertEqual(json.loads(response.body)["state"], "in_force")
        (event,) = self.port.events
        assert isinstance(event, events.ConfigPutAsked)
        self.assertEqual(event.config.version, 4)
        self.assertEqual(
            event.config.templates, self.port.configs[ACME].templates
        )
        self.assertEqual(event.deadline, 102.0)

    def test_lagging_hosts_are_named(self) -> None:
        self.port.answer = actions.ReplyConfig(
            fake_port.CALL, True, None, (ids.HostId("h2"),), "cut off"
        )
        response = self.put()
        self.assertEqual(response.status, 202)
        answer = json.loads(response.body)
        self.assertEqual(answer["state"], "recorded")
        self.assertEqual(answer["lagging"], ["h2"])

    def test_a_conflict_shows_the_newer_version(self) -> None:
        newer = model.WorkspaceConfig(ACME, 9, {}, "f" * 64)
        self.port.answer = actions.ReplyConfig(
            fake_port.CALL, False, newer, (), "newer"
        )
        response = self.put()
        self.assertEqual(response.status, 409)
        current = json.loads(response.body)["error"]["current"]
        self.assertEqual(current["version"], 9)

    def test_an_outage_is_answered_as_not_recorded_or_unknown(self) -> None:
        for recorded, code in ((False, 503), (None, 504)):
            self.port.answer = actions.ReplyConfig(
                fake_port.CALL, recorded, None, (), "store down"
            )
            self.assertEqual(self.put().status, code)

    def test_a_put_without_a_version_is_refused(self) -> None:
        for headers in ({}, {"if-match": "*"}, {"if-match": "-1"}):
            response = self.send_as_operator(
                "PUT", "/v1/workspaces/acme", self.document, headers=headers
            )
            self.assertEqual(response.status, 428)
        self.assertEqual(self.port.events, [])

    def test_invalid_settings_are_refused_with_every_problem(self) -> None:
        self.document["max_running_tasks"] = 0
        self.document["tokn"] = "x"
        response = self.put()
        self.assertEqual(response.status, 422)
        problems = json.loads(response.body)["error"]["problems"]
        self.assertEqual(len(problems), 2)

    def test_a_body_of_another_workspace_is_refused(self) -> None:
        self.document["workspace"] = "other"
        self.assertEqual(self.put().status, 400)

    def test_drain_sets_a_deadline(self) -> None:
        response = self.send_as_operator(
            "POST", "/v1/host/drain", query={"timeout_s": "7"}
        )
        self.assertEqual(response.status, 202)
        self.assertEqual(self.port.drain_deadline, 107.0)

    def test_an_invalid_number_of_seconds_is_refused(self) -> None:
        for text in ("-1", "nan", "inf", "x", "1e9"):
            with self.subTest(text=text):
                query = {"timeout_s": text}
                path = "/v1/host/drain"
                response = self.send_as_operator("POST", path, query=query)
                self.assertEqual(response.status, 400)

    def test_explain_lists_the_events_with_their_age(self) -> None:
        note = actions.Note(
            "retried", SUBMISSION, model.AttemptOutcome.REFUSED_FULL, "n=1"
        )
        self.ring.add(note, now=98.0)
        response = self.send_as_operator("GET", f"/v1/explain/{SUBMISSION}")
        self.assertEqual(
            json.loads(response.body)["events"],
            [
                {
                    "ago_s": 2.0,
                    "event": "retried",
                    "reason": "refused_full",
                    "detail": "n=1",
                }
            ],
        )

    def test_host_status_describes_the_host(self) -> None:
        status = json.loads(self.send_as_operator("GET", "/v1/host").body)
        self.assertEqual(status["host"], "h1")
        self.assertEqual(status["workspaces"], 2)


class ProbeTest(RoutesTest):
    def test_readiness_follows_the_host(self) -> None:
        self.assertEqual(self.send("GET", "/readyz", token="").status, 200)
        self.port.ready = False
        self.assertEqual(self.send("GET", "/readyz", token="").status, 503)
        self.assertEqual(self.send("GET", "/healthz", token="").status, 200)

    def test_metrics_are_text(self) -> None:
        response = self.send("GET", "/metrics", token="")
        self.assertEqual(response.headers["content-type"], metrics.CONTENT_TYPE)
        self.assertIn(b"godwitnotch_ready 1\n", response.body)
